"""Evidence against parts of prompts that crash endpoints, of all routers.

A part may crash each endpoint that begins to answer a request on it, whatever
else the request holds.  Each router records the requests that it lost as they
began, with all their features, and the requests that were answered.  Routers
send their evidence to each other; `crashcauses` tells what explains it.

Evidence is kept by account as well.  What one account's requests crash is
refused to that account; it is refused to all from the second account on whose
requests crashed endpoints, so that no account can have another's part refused.
"""

__all__ = [
    'Parts',
    'PartUpdate',
    'PartVerdict',
    'features_of',
    'names_of',
    'account_id',
    'make_parts',
]

import collections
import hashlib
import math
import zlib

from ibisring_policy.gateway import crashcauses
import msgspec

# Bound on the parts of one prompt that are looked at.
MAX_PARTS = 64
HASH_BYTES = 7
# Features begin with one of these.
_PART, _WHOLE = b'p', b'w'
# For how long a cause is refused after its last crash, and after the last
# request that was refused for it: a trial would cost an endpoint.
REFUSAL_SECONDS = 600.0
# How long a loss counts while it is unknown whether the endpoint crashed, and
# until when its later start shows that it did.
UNRESOLVED_SECONDS = 5.0
RESTART_SECONDS = 30.0
# Routers see the same crash at slightly different times.  Before all have, a
# part that only ran beside the cause may seem to be it.
SETTLE_SECONDS = 0.2
# Evidence that is not a cause is dropped after this time without change.
DOUBT_TTL_SECONDS = 120.0
MAX_FEATURES = 1000
MAX_KEPT_CRASHES = 16
# Bounds on the answers that are counted, of one router and of others.
MAX_OWN_ANSWERS = 32
MAX_ANSWERERS = 32
# Answers before the first crash that count, and the features whose answers
# are remembered for that.
MAX_PRIOR_ANSWERS = 6
MAX_REMEMBERED = 4096
# How long changed evidence is part of every update, and bounds on one update.
NEW_SECONDS = 2.0
MAX_NEW_SENT = 32
MAX_OLD_SENT = 8
MAX_ANSWERERS_SENT = 8
MS_PER_SECOND = 1000.0
_ACCOUNT_BITS = 32


class PartUpdate(msgspec.Struct, array_like=True):
    """What a router sends to others about a feature.

    `crashes` and `unresolved` give the age in milliseconds and the account
    of each loss by its id; `answers` the number of answers by account and
    router; `asked_ms` the time since a request was last refused for it.
    """

    feature: bytes
    crashes: dict[int, tuple[int, int]]
    unresolved: dict[int, tuple[int, int]] = {}
    answers: dict[int, int] = {}
    asked_ms: int | None = None


class PartVerdict(msgspec.Struct, frozen=True):
    """How a request is restricted for its features.

    `refused_until` is in monotonic seconds, 0 if it is not refused, and
    `causes` are the features for which it is.  Endpoints have crashed under
    requests with the `doubtful` ones, and none has answered; `must_wait` says
    that this router already runs a request in the same doubt.  With
    `is_settling` the request will soon be refused or allowed.
    """

    refused_until: float = 0.0
    crashes: int = 0
    causes: tuple[bytes, ...] = ()
    doubtful: tuple[bytes, ...] = ()
    must_wait: bool = False
    is_settling: bool = False


_NO_VERDICT = PartVerdict()


class _Loss(msgspec.Struct, frozen=True):
    at: float
    account: int


class _Feature(msgspec.Struct):
    """Evidence on a feature; `answers` by account and router."""

    changed_at: float
    crashes: dict[int, _Loss] = {}
    unresolved: dict[int, _Loss] = {}
    answers: dict[int, int] = {}
    asked_at: float = -math.inf

    def losses(self, now):
        """Return the losses that count, by id."""
        since = now - UNRESOLVED_SECONDS
        recent = {n: e for n, e in self.unresolved.items() if e.at > since}
        return recent | self.crashes

    @property
    def last_at(self):
        """When it last crashed an endpoint, or was asked for in vain."""
        crashed_at = max((e.at for e in self.crashes.values()), default=0.0)
        return max(crashed_at, self.asked_at)


def features_of(parts, digest):
    """Return the features of a request.

    Parameters
    ----------
    parts : sequence of str
        Parts of its prompt that others may share: all but the last.
    digest : bytes
        Of the whole request.

    Returns
    -------
    tuple of bytes
        The last one is that of the whole request.  Empty for a prompt
        without such parts.

    Examples
    --------
    >>> len(features_of(['5c1e', '91bd'], b'12345678'))
    3
    >>> features_of([], b'12345678')
    ()
    """
    names = names_of(parts)
    if not names:
        return ()
    hashed = [_PART + _hash(name.encode()) for name in names]
    return (*hashed, _WHOLE + _hash(digest))


def names_of(parts):
    """Return the names of the parts that count, in the order of features."""
    return list(dict.fromkeys(part.lower() for part in parts[:MAX_PARTS]))


def _hash(value):
    return hashlib.blake2b(value, digest_size=HASH_BYTES).digest()


def account_id(name):
    """Return the number that stands for an account in updates."""
    return zlib.crc32(name.encode())


def _crash_id(endpoint, started):
    return zlib.crc32(f'{endpoint} {started}'.encode())


class Parts:
    """Evidence by feature; the caller holds a lock around each call.

    Parameters
    ----------
    router : str
        Name of this router.

    Attributes
    ----------
    local_changes, changes : int
        Counters of the crashes that this router found out itself, and of
        all changes that others should know at once.

    Examples
    --------
    >>> parts = make_parts('r1')
    >>> for number in range(3):
    ...     parts.lost([b'deadly'], 7, f'e{number}', 0, 10.0 + number)
    >>> parts.verdict([b'deadly'], 7, 13.0).refused_until
    613.0
    >>> parts.verdict([b'other'], 7, 13.0).refused_until
    0.0
    """

    def __init__(self, router):
        self.router_id = zlib.crc32(router.encode())
        self.by_feature = {}
        self.remembered = collections.OrderedDict()
        self.running = collections.Counter()
        self.answered_at = {}
        self.local_changes = 0
        self.changes = 0
        self.causes_by_account = {}
        self.causes_known_until = -math.inf

    def lost(self, features, account, endpoint, started, now, certain=True):
        """Record that an endpoint may have crashed as it began to answer.

        Parameters
        ----------
        features : sequence of bytes
        account : int
            See `account_id`.
        endpoint : str
        started : int
            Distinguishes processes that used the same endpoint id.
        now : float
        certain : bool
            Whether it is known that the process has ended.
        """
        crash_id = _crash_id(endpoint, started)
        loss = _Loss(now, account)
        for name in features:
            feature = self._get_or_add(name, now)
            if self._add_loss(feature, crash_id, loss, certain):
                self._mark_changed(feature, now)
                self.local_changes += 1

    def _add_loss(self, feature, crash_id, loss, certain):
        """Add a loss; return whether it is new."""
        if crash_id in feature.crashes:
            return False
        losses = feature.crashes if certain else feature.unresolved
        if crash_id in losses or len(losses) >= MAX_KEPT_CRASHES:
            return False
        losses[crash_id] = loss
        if certain:
            feature.unresolved.pop(crash_id, None)
        return True

    def answered(self, features, account, now):
        """Record that an endpoint has answered a request."""
        key = account << _ACCOUNT_BITS | self.router_id
        for name in features[:-1]:
            self._remember(name, account)
        for name in features:
            feature = self.by_feature.get(name)
            if feature is None:
                continue
            count = feature.answers.get(key, 0)
            if count >= MAX_OWN_ANSWERS:
                continue
            if not count and len(feature.answers) >= MAX_ANSWERERS:
                continue
            feature.answers[key] = count + 1
            feature.changed_at = now
            self.causes_known_until = -math.inf
            if not count:
                self._mark_changed(feature, now)

    def _remember(self, name, account):
        """Remember an answer from before any crash."""
        by_account = self.remembered.pop(name, {})
        count = by_account.get(account, 0)
        by_account[account] = min(MAX_PRIOR_ANSWERS, count + 1)
        self.remembered[name] = by_account
        if len(self.remembered) > MAX_REMEMBERED:
            self.remembered.popitem(last=False)

    def process_answered(self, endpoint, started, sent_at, now):
        """Record an answer to a request that was sent at `sent_at`.

        Unresolved losses at the same process before that were no crashes.
        """
        if not any(each.unresolved for each in self.by_feature.values()):
            return
        crash_id = _crash_id(endpoint, started)
        since = now - RESTART_SECONDS
        self.answered_at = {
            n: at for n, at in self.answered_at.items() if at > since
        }
        self.answered_at[crash_id] = now
        for feature in self.by_feature.values():
            loss = feature.unresolved.get(crash_id)
            if loss is not None and loss.at <= sent_at:
                del feature.unresolved[crash_id]
        self.causes_known_until = -math.inf

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
            Features that are charged with a crash.
        """
        current = {_crash_id(*process) for process in processes.items()}
        charged = []
        for name, feature in self.by_feature.items():
            for crash_id in feature.unresolved.keys() - current:
                loss = feature.unresolved.pop(crash_id)
                is_recent = now - loss.at < RESTART_SECONDS
                if is_recent and self._add_loss(feature, crash_id, loss, True):
                    self._mark_changed(feature, now)
                    charged.append(name)
        return charged

    def _mark_changed(self, feature, now):
        feature.changed_at = now
        self.changes += 1
        self.causes_known_until = -math.inf

    def _get_or_add(self, name, now):
        feature = self.by_feature.get(name)
        if feature is None:
            self._make_room(now)
            feature = self.by_feature[name] = _Feature(now)
        return feature

    def _make_room(self, now):
        """Drop expired features, or else the one with the least evidence."""
        if len(self.by_feature) >= MAX_FEATURES:
            self.expire(now)
        if len(self.by_feature) >= MAX_FEATURES:
            weakest = min(
                self.by_feature.items(),
                key=lambda each: (len(each[1].crashes), each[1].changed_at),
            )
            del self.by_feature[weakest[0]]

    def expire(self, now):
        """Drop evidence that has not changed for its time to live."""
        for name, feature in list(self.by_feature.items()):
            since = now - RESTART_SECONDS
            feature.unresolved = {
                n: e for n, e in feature.unresolved.items() if e.at > since
            }
            is_cause = len(feature.crashes) >= crashcauses.MIN_CRASHES
            ttl = REFUSAL_SECONDS if is_cause else DOUBT_TTL_SECONDS
            if now - max(feature.last_at, feature.changed_at) > ttl:
                del self.by_feature[name]
                self.causes_known_until = -math.inf

    def verdict(self, features, account, now):
        """Return how a request is restricted.

        Parameters
        ----------
        features : sequence of bytes
        account : int
        now : float

        Returns
        -------
        PartVerdict
        """
        known = [f for f in features if f in self.by_feature]
        if not known:
            return _NO_VERDICT
        for cause in self._causes(account, now):
            if cause.features.issubset(known):
                if self._is_settled(cause, now):
                    return self._refuse(cause, now)
                return PartVerdict(must_wait=True, is_settling=True)
        doubtful = [name for name in known if self._is_doubtful(name, now)]
        return PartVerdict(
            doubtful=tuple(doubtful),
            must_wait=any(self.running[name] for name in doubtful),
        )

    def _is_settled(self, cause, now):
        """Whether all routers have seen enough of its crashes."""
        since = now - SETTLE_SECONDS
        seen = set()
        for name in cause.features:
            losses = self.by_feature[name].losses(now).items()
            seen |= {n for n, loss in losses if loss.at < since}
        return len(seen) >= crashcauses.MIN_CRASHES

    def _refuse(self, cause, now):
        for name in cause.features:
            self.by_feature[name].asked_at = now
        return PartVerdict(
            now + REFUSAL_SECONDS, cause.crashes, tuple(cause.features)
        )

    def _is_doubtful(self, name, now):
        """Whether endpoints have crashed, and none has answered."""
        feature = self.by_feature[name]
        if feature.answers or name in self.remembered:
            return False
        return bool(feature.losses(now))

    def _causes(self, account, now):
        """Return what is refused to an account, computed on changes."""
        if now > self.causes_known_until:
            self.causes_by_account = {}
            self.causes_known_until = now + UNRESOLVED_SECONDS / 2
        causes = self.causes_by_account.get(account)
        if causes is None:
            causes = self._find_causes(account, now)
            self.causes_by_account[account] = causes
        return causes

    def _find_causes(self, account, now):
        """Find the causes for all, then those that an account adds to them.

        A part that others are answered on is no cause for all, yet one
        account's requests may crash endpoints under its name.
        """
        losses = {
            name: feature.losses(now)
            for name, feature in self.by_feature.items()
        }
        causes = crashcauses.find(self._evidence(losses))
        explained = set()
        found = []
        for cause in causes:
            crashes = self._crashes_of(cause, losses)
            explained |= crashes.keys()
            accounts = {loss.account for loss in crashes.values()}
            if len(accounts) > 1 or account in accounts:
                found.append(cause)
        own = {
            name: {
                crash_id: loss
                for crash_id, loss in each.items()
                if loss.account == account and crash_id not in explained
            }
            for name, each in losses.items()
        }
        return found + crashcauses.find(self._own_evidence(own, account))

    def _crashes_of(self, cause, losses):
        """Return the losses that a cause explains, by id."""
        found = {}
        for name in cause.features:
            found |= losses[name]
        return found

    def _evidence(self, losses):
        """Return the evidence of all accounts."""
        return [
            crashcauses.Evidence(
                name,
                _times(each),
                self._count_answers(name),
                is_whole=name.startswith(_WHOLE),
            )
            for name, each in losses.items()
            if each
        ]

    def _own_evidence(self, losses, account):
        """Return the evidence of one account."""
        return [
            crashcauses.Evidence(
                name,
                _times(each),
                self._count_own_answers(name, account),
                self._count_answers(name),
                is_whole=name.startswith(_WHOLE),
            )
            for name, each in losses.items()
            if each
        ]

    def _count_answers(self, name):
        prior = sum(self.remembered.get(name, {}).values())
        counted = self.by_feature[name].answers
        return min(MAX_PRIOR_ANSWERS, prior) + sum(counted.values())

    def _count_own_answers(self, name, account):
        prior = self.remembered.get(name, {}).get(account, 0)
        counted = self.by_feature[name].answers
        return prior + sum(
            count
            for key, count in counted.items()
            if key >> _ACCOUNT_BITS == account
        )

    def mark_running(self, features):
        """Record that this router sends a request in doubt."""
        self.running.update(features)

    def mark_finished(self, features):
        """Record that the outcome of such a request is known."""
        self.running.subtract(features)
        self.running += collections.Counter()

    def updates_to_send(self, now, rng, old_share=1.0):
        """Return the updates to send to other routers.

        Changes are forwarded by each router that receives them, so that they
        reach all.  A sample of what is unchanged and close to a cause goes
        along for routers that start or were disconnected.

        Parameters
        ----------
        now : float
        rng : random.Random
        old_share : float
            Probability of including what is unchanged.

        Returns
        -------
        list of PartUpdate
        """
        self.expire(now)
        new, old = [], []
        for name, feature in self.by_feature.items():
            if now - feature.changed_at < NEW_SECONDS:
                new.append(
                    (len(feature.losses(now)), feature.changed_at, name)
                )
            elif len(feature.crashes) >= crashcauses.MIN_CRASHES - 1:
                old.append(name)
        new.sort(reverse=True)
        chosen = [name for _, _, name in new[:MAX_NEW_SENT]]
        if rng.random() < old_share:
            chosen += rng.sample(old, min(MAX_OLD_SENT, len(old)))
        return [self._make_update(name, now) for name in chosen]

    def _make_update(self, name, now):
        feature = self.by_feature[name]
        answers = sorted(
            feature.answers.items(), key=lambda each: each[1], reverse=True
        )
        asked_ms = None
        if feature.asked_at > now - REFUSAL_SECONDS:
            asked_ms = _age_ms(feature.asked_at, now)
        return PartUpdate(
            name,
            _ages(feature.crashes, now),
            _ages(feature.unresolved, now),
            dict(answers[:MAX_ANSWERERS_SENT]),
            asked_ms,
        )

    def receive_updates(self, updates, now):
        """Merge the updates of another router.

        Parameters
        ----------
        updates : list of PartUpdate
        now : float

        Returns
        -------
        list of bytes
            Features whose crashes changed.
        """
        return [each.feature for each in updates if self._merge(each, now)]

    def _merge(self, update, now):
        crashes = _losses(update.crashes, now)
        asked_at = -math.inf
        if update.asked_ms is not None:
            asked_at = now - update.asked_ms / MS_PER_SECOND
        last_at = max((loss.at for loss in crashes.values()), default=asked_at)
        if crashes and max(last_at, asked_at) < now - REFUSAL_SECONDS:
            return False
        unresolved = {
            crash_id: loss
            for crash_id, loss in _losses(update.unresolved, now).items()
            if loss.at > self.answered_at.get(crash_id, -math.inf)
            and loss.at > now - RESTART_SECONDS
        }
        if not (crashes or unresolved or update.feature in self.by_feature):
            return False
        feature = self._get_or_add(update.feature, now)
        feature.asked_at = max(feature.asked_at, asked_at)
        added = [
            self._add_loss(feature, crash_id, loss, certain)
            for losses, certain in ((crashes, True), (unresolved, False))
            for crash_id, loss in losses.items()
        ]
        if self._merge_answers(feature, update.answers):
            feature.changed_at = now
            self.causes_known_until = -math.inf
        if not any(added):
            return False
        self._mark_changed(feature, now)
        return True

    def _merge_answers(self, feature, answers):
        """Take over the higher counts; return whether there were any."""
        has_changed = False
        for key, count in answers.items():
            known = feature.answers.get(key, 0)
            is_full = len(feature.answers) >= MAX_ANSWERERS and not known
            if count > known and not is_full:
                feature.answers[key] = min(count, MAX_OWN_ANSWERS)
                has_changed = True
        return has_changed


def _times(losses):
    return {crash_id: loss.at for crash_id, loss in losses.items()}


def _age_ms(at, now):
    return max(0, int((now - at) * MS_PER_SECOND))


def _ages(losses, now):
    return {n: (_age_ms(e.at, now), e.account) for n, e in losses.items()}


def _losses(ages, now):
    return {
        crash_id: _Loss(now - age_ms / MS_PER_SECOND, account)
        for crash_id, (age_ms, account) in ages.items()
        if age_ms >= 0
    }


def make_parts(router):
    """Make `Parts` without evidence."""
    return Parts(router)
