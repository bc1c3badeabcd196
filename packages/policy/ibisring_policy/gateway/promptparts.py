"""Evidence against parts of prompts that crash endpoints, of all routers.

A part may crash each endpoint that begins to answer a request on it, whatever
else the request holds.  Each router records the requests that it lost as they
began, with all their features, and the requests that were answered.  Routers
send their evidence to each other; `crashcauses` tells what explains it.

Evidence is kept by account as well.  What one account's requests crash is
refused to that account; it is refused to all from the second account on whose
requests crashed endpoints, so that no account can have another's part refused.
"""

__all__ = ['Parts', 'PartVerdict', 'make_parts']

import collections
import math
import zlib

import msgspec

from ibisring_policy.gateway import crashcauses
from ibisring_policy.gateway import crashids
from ibisring_policy.gateway import partevidence
from ibisring_policy.gateway import partjudging
from ibisring_policy.gateway import partupdates
from ibisring_policy.gateway import prioranswers

# For how long a cause is refused after its last crash, and after the last
# request that was refused for it: a trial would cost an endpoint.
REFUSAL_SECONDS = 600.0
# Until when a later start shows that a process crashed.
RESTART_SECONDS = 30.0
# Routers see the same crash at slightly different times.  Before all have, a
# part that only ran beside the cause may seem to be it.
SETTLE_SECONDS = 0.2
# Evidence that is not a cause is dropped after this time without change.
DOUBT_TTL_SECONDS = 120.0
MAX_FEATURES = 1000
# How long changed evidence is part of every update, and bounds on one update.
NEW_SECONDS = 2.0
MAX_NEW_SENT = 32
MAX_OLD_SENT = 8


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


class Parts:
    """Evidence by feature; the caller holds a lock around each call.

    Parameters
    ----------
    router : str
        Name of this router.

    Attributes
    ----------
    by_feature : dict of bytes to partevidence.FeatureEvidence
    priors : prioranswers.PriorAnswers
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
        self.priors = prioranswers.make_prior_answers()
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
            See `promptfeatures`.
        account : int
            See `promptfeatures.account_id`.
        endpoint : str
        started : int
            Distinguishes processes that used the same endpoint id.
        now : float
        certain : bool
            Whether it is known that the process has ended.
        """
        crash_id = crashids.make_crash_id(endpoint, started)
        loss = partevidence.Loss(now, account)
        for name in features:
            evidence = self._get_or_add(name, now)
            if evidence.add_loss(crash_id, loss, certain):
                self._mark_changed(evidence, now)
                self.local_changes += 1

    def answered(self, features, account, now):
        """Record that an endpoint has answered a request."""
        key = partevidence.answer_key(account, self.router_id)
        for name in features[:-1]:
            self.priors.add(name, account)
        for name in features:
            evidence = self.by_feature.get(name)
            count = evidence.add_answer(key) if evidence else None
            if count is not None:
                self._mark_answered(evidence, now)
            if count == 1:
                self.changes += 1

    def process_answered(self, endpoint, started, sent_at, now):
        """Record an answer to a request that was sent at `sent_at`.

        Unresolved losses at the same process before that were no crashes.
        """
        if not any(each.unresolved for each in self.by_feature.values()):
            return
        crash_id = crashids.make_crash_id(endpoint, started)
        since = now - RESTART_SECONDS
        self.answered_at = {
            n: at for n, at in self.answered_at.items() if at > since
        }
        self.answered_at[crash_id] = now
        for evidence in self.by_feature.values():
            loss = evidence.unresolved.get(crash_id)
            if loss is not None and loss.at <= sent_at:
                del evidence.unresolved[crash_id]
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
        current = {
            crashids.make_crash_id(*process) for process in processes.items()
        }
        charged = []
        for name, evidence in self.by_feature.items():
            for crash_id in evidence.unresolved.keys() - current:
                loss = evidence.unresolved.pop(crash_id)
                is_recent = now - loss.at < RESTART_SECONDS
                if is_recent and evidence.add_loss(crash_id, loss, True):
                    self._mark_changed(evidence, now)
                    charged.append(name)
        return charged

    def _mark_changed(self, evidence, now):
        """Record a change that others should know at once."""
        self._mark_answered(evidence, now)
        self.changes += 1

    def _mark_answered(self, evidence, now):
        evidence.changed_at = now
        self.causes_known_until = -math.inf

    def _get_or_add(self, name, now):
        evidence = self.by_feature.get(name)
        if evidence is None:
            self._make_room(now)
            evidence = partevidence.FeatureEvidence(now)
            self.by_feature[name] = evidence
        return evidence

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
        for name, evidence in list(self.by_feature.items()):
            evidence.drop_unresolved(now - RESTART_SECONDS)
            is_cause = len(evidence.crashes) >= crashcauses.MIN_CRASHES
            ttl = REFUSAL_SECONDS if is_cause else DOUBT_TTL_SECONDS
            if now - max(evidence.last_at, evidence.changed_at) > ttl:
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
        known = [name for name in features if name in self.by_feature]
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

    def _causes(self, account, now):
        """Return what is refused to an account, computed on changes."""
        if now > self.causes_known_until:
            self.causes_by_account = {}
            self.causes_known_until = now + partevidence.UNRESOLVED_SECONDS / 2
        causes = self.causes_by_account.get(account)
        if causes is None:
            causes = partjudging.find_causes(
                self.by_feature, self.priors, account, now
            )
            self.causes_by_account[account] = causes
        return causes

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
        evidence = self.by_feature[name]
        if evidence.answers or name in self.priors:
            return False
        return bool(evidence.losses(now))

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
        list of partupdates.PartUpdate
        """
        self.expire(now)
        new, old = [], []
        for name, evidence in self.by_feature.items():
            if now - evidence.changed_at < NEW_SECONDS:
                count = len(evidence.losses(now))
                new.append((count, evidence.changed_at, name))
            elif len(evidence.crashes) >= crashcauses.MIN_CRASHES - 1:
                old.append(name)
        new.sort(reverse=True)
        chosen = [name for _, _, name in new[:MAX_NEW_SENT]]
        if rng.random() < old_share:
            chosen += rng.sample(old, min(MAX_OLD_SENT, len(old)))
        return [
            partupdates.make_update(name, self.by_feature[name], now)
            for name in chosen
        ]

    def receive_updates(self, updates, now):
        """Merge the updates of another router.

        Parameters
        ----------
        updates : list of partupdates.PartUpdate
        now : float

        Returns
        -------
        list of bytes
            Features whose crashes changed.
        """
        return [each.feature for each in updates if self._merge(each, now)]

    def _merge(self, update, now):
        crashes = partupdates.read_losses(update.crashes, now)
        unresolved = self._still_unresolved(update, now)
        asked_at = partupdates.read_asked_at(update, now)
        last_at = max((loss.at for loss in crashes.values()), default=now)
        if max(last_at, asked_at) < now - REFUSAL_SECONDS:
            return False
        if not (crashes or unresolved or update.feature in self.by_feature):
            return False
        evidence = self._get_or_add(update.feature, now)
        evidence.asked_at = max(evidence.asked_at, asked_at)
        added = [
            evidence.add_loss(crash_id, loss, certain)
            for losses, certain in ((crashes, True), (unresolved, False))
            for crash_id, loss in losses.items()
        ]
        if evidence.merge_answers(update.answers):
            self._mark_answered(evidence, now)
        if not any(added):
            return False
        self._mark_changed(evidence, now)
        return True

    def _still_unresolved(self, update, now):
        """Return the unresolved losses that no answer has explained since."""
        losses = partupdates.read_losses(update.unresolved, now)
        return {
            crash_id: loss
            for crash_id, loss in losses.items()
            if loss.at > self.answered_at.get(crash_id, -math.inf)
            and loss.at > now - RESTART_SECONDS
        }


def make_parts(router):
    """Make `Parts` without evidence."""
    return Parts(router)
