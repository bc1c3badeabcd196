"""Which requests are suspected of ending the endpoints that run them.

A request may end each endpoint that begins to run it, and come again under
another name at any router.  Requests that only ran beside it see their
endpoints end as well, and are sent on together with it.  What tells them apart
is that they are answered sooner or later, and that all the ends they saw may
be among those that another request saw, beside further ones.

The routers' evidence is added up: each tells the ends that it has seen, and
whoever hears of them tells them on.

References
----------
B. Beyer et al., "Site Reliability Engineering", 2016, chapter 22, on queries
of death.
"""

__all__ = ['Suspects', 'Verdict', 'SuspectUpdate', 'make_suspects']

import zlib

import msgspec

# Ends of endpoints from which on a request is sent on no more.
MAX_CRASHES = 3
# Seconds for which it is refused after the last of them: long enough to
# replace what the endpoints run.  Then it may run once more.
REFUSED_FOR = 600.0
# Seconds after which a suspect that nothing was heard of is forgotten, and
# one that was answered, whose answer has reached all routers by then.
FORGOTTEN_AFTER = 1800.0
CLEARED_FOR = 60.0
# After the last end but one, a suspect waits for so many steps of this length,
# in seconds, as its digest says: those that saw the same end then run one
# after another, and an end that follows speaks against one of them only.
STEP = 0.15
STEPS = 8
# Seconds after its sending within which a lost answer counts against it.
LOST_ANSWER_SECONDS = 3.0
# Suspects that are known at most.  Each has ended an endpoint or run beside
# one that did.
MOST_KNOWN = 1000
# Ends that are kept of one suspect.
MOST_KEPT = 16
# Seconds for which all of what is new of a suspect is told, and how many are
# told at once, new ones and old ones.
TOLD_FOR = 2.0
MOST_NEW = 16
MOST_OLD = 4
SECOND_MS = 1000.0


class SuspectUpdate(msgspec.Struct, array_like=True):
    """What a router tells of a suspect.

    `ends` gives milliseconds since the end of an endpoint by a number that
    stands for that endpoint and its start; `cleared_ms` those since the
    suspect was last answered, None if it is not known to have been.
    """

    digest: bytes
    ends: dict[int, int]
    cleared_ms: int | None = None


class Verdict(msgspec.Struct, frozen=True):
    """What follows for a request; times are monotonic seconds.

    `crashes` is how many endpoints it is believed to have ended.  It may not
    run until `refused_until`, should not begin before `not_before`, and
    `is_running` says that this router is running it already, so that its
    outcome is about to be known.
    """

    crashes: int = 0
    refused_until: float = 0.0
    not_before: float = 0.0
    is_running: bool = False


class _Suspect(msgspec.Struct):
    """`ends` gives monotonic seconds by number of the end."""

    changed_at: float
    ends: dict[int, float] = {}
    cleared_at: float = -1e9


class Suspects:
    """Suspects by digest; the caller holds a lock around each call.

    Attributes
    ----------
    running : dict of bytes to str
        Endpoints at which this router runs suspects that have not been
        answered yet.
    local_changes, changes : int
        Rise with each thing that this router found out itself, and with
        each that it found out or was told.
    evicted : int
        Suspects that were dropped for want of room.

    Examples
    --------
    >>> suspects = make_suspects()
    >>> for number in range(3):
    ...     suspects.crashed(b'bad', f'e{number}', 0, 10.0 + number)
    >>> suspects.verdict(b'bad', 13.0).refused_until
    612.0
    """

    def __init__(self):
        self.by_digest = {}
        self.running = {}
        self.local_changes = 0
        self.changes = 0
        self.evicted = 0

    def crashed(self, digest, endpoint, started, now):
        """Note that an endpoint ended while it had a request.

        Parameters
        ----------
        digest : bytes
        endpoint : str
        started : int
            Tells its lifetimes under one id apart.
        now : float
        """
        suspect = self._of(digest, now)
        number = zlib.crc32(f'{endpoint} {started}'.encode())
        if number not in suspect.ends and len(suspect.ends) < MOST_KEPT:
            suspect.ends[number] = now
            self._changed(suspect, now)
            self.local_changes += 1

    def answered(self, digest, now):
        """Note that an endpoint has answered a request, or begun to."""
        suspect = self.by_digest.get(digest)
        if suspect is None or not suspect.ends:
            return
        suspect.ends = {}
        suspect.cleared_at = now
        self._changed(suspect, now)
        self.local_changes += 1

    def _changed(self, suspect, now):
        suspect.changed_at = now
        self.changes += 1

    def _of(self, digest, now):
        suspect = self.by_digest.get(digest)
        if suspect is None:
            self._make_room(now)
            suspect = self.by_digest[digest] = _Suspect(now)
        return suspect

    def _make_room(self, now):
        """Drop what is old, and else what least is known against."""
        if len(self.by_digest) < MOST_KNOWN:
            return
        self.expire(now)
        if len(self.by_digest) < MOST_KNOWN:
            return
        known = self.by_digest.items()
        weakest = min(known, key=lambda e: (len(e[1].ends), e[1].changed_at))
        del self.by_digest[weakest[0]]
        self.evicted += 1

    def expire(self, now):
        """Forget suspects of which nothing was heard for long."""
        for digest, suspect in list(self.by_digest.items()):
            limit = FORGOTTEN_AFTER if suspect.ends else CLEARED_FOR
            if now - suspect.changed_at > limit:
                del self.by_digest[digest]

    def verdict(self, digest, now):
        """Give what follows for a request.

        Returns
        -------
        Verdict
        """
        suspect = self.by_digest.get(digest)
        if suspect is None:
            return Verdict()
        count = len(suspect.ends)
        if not count or self._is_bystander(suspect):
            return Verdict()
        last = max(suspect.ends.values())
        is_running = digest in self.running
        if count >= MAX_CRASHES and now < last + REFUSED_FOR:
            return Verdict(count, refused_until=last + REFUSED_FOR)
        not_before = 0.0
        if count >= MAX_CRASHES - 1:
            # Two suspects that draw the same step now draw anew next time.
            drawn = digest[count % len(digest)] if digest else 0
            not_before = last + STEP * (drawn % STEPS)
        return Verdict(count, not_before=not_before, is_running=is_running)

    def _is_bystander(self, suspect):
        """Say whether another suspect saw the same ends, and more."""
        mine = suspect.ends.keys()
        return any(mine < o.ends.keys() for o in self.by_digest.values())

    def mark_running(self, digest, endpoint):
        """Note that this router sends a suspect to an endpoint."""
        self.running[digest] = endpoint

    def mark_finished(self, digest):
        """Note that its outcome there is known."""
        self.running.pop(digest, None)

    def endpoints_at_risk(self, digest):
        """Give the endpoints that run other suspects of this router.

        Returns
        -------
        set of str
        """
        return {
            endpoint
            for other, endpoint in self.running.items()
            if other != digest
        }

    def updates_to_send(self, now, rng, old_share=1.0):
        """Give what to tell other routers.

        What is new is told by whoever hears of it, so that it reaches all;
        of what is old, some, for routers that start or were cut off.

        Parameters
        ----------
        now : float
        rng : random.Random
        old_share : float
            How often what is old is told too: where many tell one router,
            each need not do so each time.

        Returns
        -------
        list of SuspectUpdate
        """
        self.expire(now)
        new, old = [], []
        for digest, suspect in self.by_digest.items():
            if now - suspect.changed_at < TOLD_FOR:
                new.append((suspect.changed_at, digest))
            elif len(suspect.ends) >= MAX_CRASHES - 1:
                old.append(digest)
        new.sort(reverse=True)
        told = [digest for _, digest in new[:MOST_NEW]]
        if rng.random() < old_share:
            told += rng.sample(old, min(MOST_OLD, len(old)))
        return [self._word(digest, now) for digest in told]

    def _word(self, digest, now):
        suspect = self.by_digest[digest]
        ends = {
            number: int((now - at) * SECOND_MS)
            for number, at in suspect.ends.items()
        }
        cleared_ms = None
        if now - suspect.cleared_at < CLEARED_FOR:
            cleared_ms = int((now - suspect.cleared_at) * SECOND_MS)
        return SuspectUpdate(digest, ends, cleared_ms)

    def receive_updates(self, words, now):
        """Take what another router tells.

        Parameters
        ----------
        words : list of SuspectUpdate
        now : float

        Returns
        -------
        list of bytes
            Digests of which something was new.
        """
        return [word.digest for word in words if self._take(word, now)]

    def _take(self, word, now):
        cleared_at = -1e9
        if word.cleared_ms is not None:
            cleared_at = now - word.cleared_ms / SECOND_MS
        ends = {
            number: now - age / SECOND_MS
            for number, age in word.ends.items()
            if 0 <= age <= FORGOTTEN_AFTER * SECOND_MS
        }
        if not ends and word.digest not in self.by_digest:
            return False
        suspect = self._of(word.digest, now)
        before = set(suspect.ends)
        suspect.cleared_at = max(suspect.cleared_at, cleared_at)
        for number, at in ends.items():
            if len(suspect.ends) < MOST_KEPT:
                suspect.ends.setdefault(number, at)
        suspect.ends = {
            number: at
            for number, at in suspect.ends.items()
            if at > suspect.cleared_at
        }
        if set(suspect.ends) == before:
            return False
        self._changed(suspect, now)
        return True


def make_suspects():
    """Make `Suspects` of whom nobody is known."""
    return Suspects()
