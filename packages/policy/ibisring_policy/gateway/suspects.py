"""Which requests are suspected of crashing the endpoints that run them.

A request may crash each endpoint that starts to run it, and be submitted again
under another id at any router.  Requests that only ran beside it see their
endpoints crash as well, and are retried together with it.  They differ in that
they are answered sooner or later, and that all the crashes they saw may be a
strict subset of those that another request saw.

An answer may be lost without a sign whether the endpoint crashed, for example
where something else keeps its port open.  Such a loss is unresolved: it counts
for a moment, until the same process answers another request, or until a later
start shows that it crashed.  A loss at a router that reaches no endpoint at
all is most likely due to its own links: it counts only after such a start.

The evidence of all routers is combined: each sends the crashes that it has
seen to others, which forward what is new to them.

References
----------
B. Beyer et al., "Site Reliability Engineering", 2016, chapter 22, on queries
of death.
"""

__all__ = ['Suspects', 'Verdict', 'SuspectUpdate', 'make_suspects']

import math

import msgspec

from ibisring_policy.gateway import crashids
from ibisring_records import received

# Crashes from which on a request is refused instead of being retried.
MAX_CRASHES = 3
# How long it is refused after the last crash: long enough to replace the
# software of the endpoints.  After that it may run once more.
REFUSAL_SECONDS = 600.0
# How long an unresolved loss counts, and until when a later start turns it
# into a crash.
UNRESOLVED_SECONDS = 5.0
RESTART_SECONDS = 30.0
# How long a suspect is kept without new evidence.  One that was answered is
# kept only until its answer has reached all routers.
SUSPECT_TTL_SECONDS = 1800.0
CLEARED_TTL_SECONDS = 60.0
# A suspect that may crash only once more before it is refused waits, after its
# last crash, for a number of slots that its digest selects.  Suspects that
# share a crash then run one after another, and the next crash counts against
# only one of them.
SLOT_SECONDS = 0.15
SLOTS = 8
# A lost answer counts against a request only within this time after sending.
LOST_ANSWER_SECONDS = 3.0
# Bound on the suspects that are kept.  Each has crashed an endpoint or run
# beside a request that did.
MAX_SUSPECTS = 1000
# Bound on the crashes that are kept of one suspect.
MAX_KEPT_CRASHES = 16
# How long a changed suspect is part of every update, and bounds on the changed
# and the unchanged suspects in one update.
NEW_SECONDS = 2.0
MAX_NEW_SENT = 16
MAX_OLD_SENT = 4
MS_PER_SECOND = 1000.0


class SuspectUpdate(msgspec.Struct, array_like=True):
    """What a router sends to others about a suspect.

    `crashes` gives the age in milliseconds of each crash by its id, which
    stands for the endpoint and the start of its process; `cleared_ms` is the
    time since the suspect was last answered, None if no answer is known;
    `unresolved` gives the ages of unresolved losses like `crashes`.
    """

    digest: received.Digest
    crashes: dict[received.CrashId, received.Integer]
    cleared_ms: received.Integer | None = None
    unresolved: dict[received.CrashId, received.Integer] = {}


class Verdict(msgspec.Struct, frozen=True):
    """How a request is restricted; times are monotonic seconds.

    `crashes` is how many endpoints it is suspected of having crashed.  It is
    refused until `refused_until` and should not start before `not_before`.
    `is_running` says that this router is running it already, so that its
    outcome will soon be known.
    """

    crashes: int = 0
    refused_until: float = 0.0
    not_before: float = 0.0
    is_running: bool = False


class _Suspect(msgspec.Struct):
    """`crashes` gives the monotonic time of each crash by its id.

    `unresolved` and `cut_off` do so for unresolved losses, the latter for
    those at a router that reached no endpoint.
    """

    changed_at: float
    crashes: dict[int, float] = {}
    cleared_at: float = -1e9
    unresolved: dict[int, float] = {}
    cut_off: dict[int, float] = {}

    @property
    def has_evidence(self):
        """Whether it has crashed an endpoint, or may have."""
        return bool(self.crashes or self.unresolved or self.cut_off)

    def clear(self, before):
        """Drop the evidence up to a time."""
        self.crashes = _later(self.crashes, before)
        self.unresolved = _later(self.unresolved, before)
        self.cut_off = _later(self.cut_off, before)

    def forget_loss(self, crash_id, until):
        """Drop a loss up to a time, since its cause is known."""
        for losses in (self.unresolved, self.cut_off):
            if losses.get(crash_id, math.inf) <= until:
                del losses[crash_id]

    def losses_elsewhere(self, processes):
        """Remove the losses at other processes, and return them by id."""
        found = {}
        for losses in (self.unresolved, self.cut_off):
            for crash_id in losses.keys() - processes:
                found[crash_id] = losses.pop(crash_id)
        return found


def _later(times, than):
    return {name: at for name, at in times.items() if at > than}


class Suspects:
    """Suspects by digest; the caller holds a lock around each call.

    Attributes
    ----------
    running : dict of bytes to str
        Endpoints at which this router runs suspects that have not been
        answered yet.
    local_changes, changes : int
        Counters of the changes that this router found out itself, and of
        all changes, including those received from others.
    evicted : int
        Suspects that were dropped because the table was full.

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
        self.answered_at = {}

    def crashed(self, digest, endpoint, started, now):
        """Record that an endpoint crashed while it ran a request.

        Parameters
        ----------
        digest : bytes
        endpoint : str
        started : int
            Distinguishes processes that used the same endpoint id.
        now : float
        """
        suspect = self._get_or_add(digest, now)
        crash_id = crashids.make_crash_id(endpoint, started)
        suspect.forget_loss(crash_id, now)
        self._add_crash(suspect, crash_id, now, now)

    def _add_crash(self, suspect, crash_id, at, now):
        if (
            crash_id not in suspect.crashes
            and len(suspect.crashes) < MAX_KEPT_CRASHES
        ):
            suspect.crashes[crash_id] = at
            self._mark_changed(suspect, now)
            self.local_changes += 1

    def answer_lost(self, digest, endpoint, started, now, counts=True):
        """Record a lost answer of an endpoint that may have crashed.

        Parameters
        ----------
        digest : bytes
        endpoint : str
        started : int
        now : float
        counts : bool
            False if this router reached no endpoint: the loss restricts the
            request only if a later start shows that the endpoint crashed.
        """
        suspect = self._get_or_add(digest, now)
        crash_id = crashids.make_crash_id(endpoint, started)
        if crash_id in suspect.crashes:
            return
        if not counts:
            if len(suspect.cut_off) < MAX_KEPT_CRASHES:
                suspect.cut_off[crash_id] = now
        elif len(suspect.unresolved) < MAX_KEPT_CRASHES:
            suspect.unresolved[crash_id] = now
            self._mark_changed(suspect, now)
            self.local_changes += 1

    def process_answered(self, endpoint, started, sent_at, now):
        """Record an answer to a request that was sent at `sent_at`.

        The losses at the same process before that were no crashes.
        """
        if not any(
            each.unresolved or each.cut_off for each in self.by_digest.values()
        ):
            return
        crash_id = crashids.make_crash_id(endpoint, started)
        self.answered_at = _later(self.answered_at, now - RESTART_SECONDS)
        self.answered_at[crash_id] = now
        for suspect in self.by_digest.values():
            suspect.forget_loss(crash_id, sent_at)

    def processes_known(self, processes, now):
        """Turn losses at processes that have ended into crashes.

        Parameters
        ----------
        processes : dict of str to int
            Start time of each endpoint that exists, by its id.
        now : float

        Returns
        -------
        list of bytes
            Digests of the requests that are charged with a crash.
        """
        charged = []
        current = {
            crashids.make_crash_id(*process) for process in processes.items()
        }
        for digest, suspect in self.by_digest.items():
            found = suspect.losses_elsewhere(current)
            for crash_id, lost_at in found.items():
                if now - lost_at < RESTART_SECONDS:
                    self._add_crash(suspect, crash_id, lost_at, now)
                    charged.append(digest)
        return charged

    def answered(self, digest, now):
        """Record that an endpoint has answered a request, or begun to."""
        suspect = self.by_digest.get(digest)
        if suspect is None or not suspect.has_evidence:
            return
        suspect.clear(now)
        suspect.cleared_at = now
        self._mark_changed(suspect, now)
        self.local_changes += 1

    def _mark_changed(self, suspect, now):
        suspect.changed_at = now
        self.changes += 1

    def _get_or_add(self, digest, now):
        suspect = self.by_digest.get(digest)
        if suspect is None:
            self._make_room(now)
            suspect = self.by_digest[digest] = _Suspect(now)
        return suspect

    def _make_room(self, now):
        """Drop expired suspects, or else the one with the least evidence."""
        if len(self.by_digest) < MAX_SUSPECTS:
            return
        self.expire(now)
        if len(self.by_digest) < MAX_SUSPECTS:
            return
        known = self.by_digest.items()
        weakest = min(
            known, key=lambda e: (len(e[1].crashes), e[1].changed_at)
        )
        del self.by_digest[weakest[0]]
        self.evicted += 1

    def expire(self, now):
        """Drop suspects that have not changed for their time to live."""
        for digest, suspect in list(self.by_digest.items()):
            since = now - RESTART_SECONDS
            suspect.unresolved = _later(suspect.unresolved, since)
            suspect.cut_off = _later(suspect.cut_off, since)
            ttl = (
                SUSPECT_TTL_SECONDS if suspect.crashes else CLEARED_TTL_SECONDS
            )
            if now - suspect.changed_at > ttl:
                del self.by_digest[digest]

    def verdict(self, digest, now):
        """Return how a request is restricted.

        Returns
        -------
        Verdict
        """
        suspect = self.by_digest.get(digest)
        if suspect is None:
            return Verdict()
        unresolved = _later(suspect.unresolved, now - UNRESOLVED_SECONDS)
        evidence = suspect.crashes | unresolved
        count = len(evidence)
        # One lost answer is no sign of a crash; links lose answers as well.
        if not suspect.crashes and count < MAX_CRASHES - 1:
            return Verdict()
        if self._is_bystander(evidence.keys()):
            return Verdict()
        last = max(evidence.values())
        refused_until = last + UNRESOLVED_SECONDS
        if len(suspect.crashes) >= MAX_CRASHES:
            refused_until = max(suspect.crashes.values()) + REFUSAL_SECONDS
        is_running = digest in self.running
        if count >= MAX_CRASHES and now < refused_until:
            return Verdict(count, refused_until=refused_until)
        not_before = 0.0
        if count >= MAX_CRASHES - 1:
            # The byte depends on the count, so that two suspects with the
            # same slot now are likely to get different ones next time.
            slot = digest[count % len(digest)] if digest else 0
            not_before = last + SLOT_SECONDS * (slot % SLOTS)
        return Verdict(count, not_before=not_before, is_running=is_running)

    def _is_bystander(self, evidence):
        """Whether another suspect saw all the same crashes, and more."""
        return any(
            evidence < other.crashes.keys() | other.unresolved.keys()
            for other in self.by_digest.values()
        )

    def mark_running(self, digest, endpoint):
        """Record that this router sends a suspect to an endpoint."""
        self.running[digest] = endpoint

    def mark_finished(self, digest):
        """Record that the outcome of a suspect that was sent is known."""
        self.running.pop(digest, None)

    def endpoints_at_risk(self, digest):
        """Return the endpoints that run other suspects of this router.

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
        """Return the updates to send to other routers.

        Changes are forwarded by each router that receives them, so that they
        reach all.  A sample of unchanged suspects goes along for routers that
        start or were disconnected.

        Parameters
        ----------
        now : float
        rng : random.Random
        old_share : float
            Probability of including unchanged suspects: where many routers
            send to one, not all have to include them each time.

        Returns
        -------
        list of SuspectUpdate
        """
        self.expire(now)
        new, old = [], []
        for digest, suspect in self.by_digest.items():
            if now - suspect.changed_at < NEW_SECONDS:
                new.append((suspect.changed_at, digest))
            elif len(suspect.crashes) >= MAX_CRASHES - 1:
                old.append(digest)
        new.sort(reverse=True)
        chosen = [digest for _, digest in new[:MAX_NEW_SENT]]
        if rng.random() < old_share:
            chosen += rng.sample(old, min(MAX_OLD_SENT, len(old)))
        return [self._make_update(digest, now) for digest in chosen]

    def _make_update(self, digest, now):
        suspect = self.by_digest[digest]
        cleared_ms = None
        if now - suspect.cleared_at < CLEARED_TTL_SECONDS:
            cleared_ms = int((now - suspect.cleared_at) * MS_PER_SECOND)
        return SuspectUpdate(
            digest,
            _ages_ms(suspect.crashes, now),
            cleared_ms,
            _ages_ms(suspect.unresolved, now),
        )

    def receive_updates(self, updates, now):
        """Merge the updates of another router.

        Parameters
        ----------
        updates : list of SuspectUpdate
        now : float

        Returns
        -------
        list of bytes
            Digests of the suspects that changed.
        """
        return [each.digest for each in updates if self._merge(each, now)]

    def _merge(self, update, now):
        cleared_at = -1e9
        if update.cleared_ms is not None:
            cleared_at = now - update.cleared_ms / MS_PER_SECOND
        crashes = _times(update.crashes, now, SUSPECT_TTL_SECONDS)
        unresolved = _times(update.unresolved, now, UNRESOLVED_SECONDS)
        unresolved = {
            crash_id: at
            for crash_id, at in unresolved.items()
            if at > self.answered_at.get(crash_id, -1e9)
        }
        if not (crashes or unresolved or update.digest in self.by_digest):
            return False
        suspect = self._get_or_add(update.digest, now)
        before = set(suspect.crashes), set(suspect.unresolved)
        suspect.cleared_at = max(suspect.cleared_at, cleared_at)
        _add_times(suspect.crashes, crashes)
        _add_times(suspect.unresolved, unresolved)
        for crash_id in suspect.crashes.keys() & suspect.unresolved.keys():
            del suspect.unresolved[crash_id]
        suspect.clear(suspect.cleared_at)
        if (set(suspect.crashes), set(suspect.unresolved)) == before:
            return False
        self._mark_changed(suspect, now)
        return True


def _ages_ms(times, now):
    return {
        crash_id: int((now - at) * MS_PER_SECOND)
        for crash_id, at in times.items()
    }


def _times(ages_ms, now, max_seconds):
    """Return the times of ages, without those that are out of range."""
    return {
        crash_id: now - age / MS_PER_SECOND
        for crash_id, age in ages_ms.items()
        if 0 <= age <= max_seconds * MS_PER_SECOND
    }


def _add_times(known, times):
    for crash_id, at in times.items():
        if len(known) < MAX_KEPT_CRASHES:
            known.setdefault(crash_id, at)


def make_suspects():
    """Make an empty `Suspects`."""
    return Suspects()
