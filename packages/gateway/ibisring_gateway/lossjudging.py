"""The judgement of engines that don't answer, and what follows from it."""

__all__ = ['LossJudge', 'make_loss_judge']

import logging
import math
import threading

from ibisring_policy.gateway import losses
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Others must have been heard in this last part of a silence, or in as many
# limits if that is longer: what was heard before says nothing of the rest.
HEARD_SECONDS = 0.5
HEARD_LIMITS = 2.0
# Engines in doubt at once, and their share of all, from which on a common
# cause is more likely than as many losses, if answers are late as well.
MIN_DOUBTED = 3
DOUBTED_SHARE = 0.2
MS_PER_SECOND = 1000.0


class LossJudge:
    """Judges silent engines; any thread may call it.

    Parameters
    ----------
    view : view.View
    metrics : metrics.Metrics

    Attributes
    ----------
    silent_since : dict of str to float
        Engines that are asked again, and when their silence began.
    acknowledged : set of str
        Those of them whose hosts have acknowledged the last query.
    engines_heard : callable
        Returns the engines of which an event has come since a time.
    """

    def __init__(self, view, metrics):
        self.view = view
        self.metrics = metrics
        self.limit = losses.make_silence_limit()
        self.lock = threading.Lock()
        self.silent_since = {}
        self.acknowledged = set()
        self.engines_heard = lambda since: frozenset()

    def limit_seconds(self, usual):
        """Return the time limit of silence.

        Parameters
        ----------
        usual : float
            Limit by measured answers alone.

        Returns
        -------
        float
        """
        now = self.view.clock()
        lateness = self.view.health.lateness(now - losses.STALL_SECONDS, now)
        with self.lock:
            return self.limit.seconds(usual, lateness, now)

    def evidence(
        self, name, since, usual, until=0.0, asked_at=math.inf, **signs
    ):
        """Return the `losses.Evidence` against an engine.

        Parameters
        ----------
        name : str
        since : float
            When the first query was sent that has no answer.
        usual : float
            Limit by measured answers alone.
        until : float
            End of the last query, if it is later than now.
        asked_at : float
            When the last query was sent, and controls with it.
        **signs
            Other attributes of the evidence.

        Returns
        -------
        losses.Evidence
        """
        now = max(self.view.clock(), until)
        with self.lock:
            since = min(since, self.silent_since.get(name, since))
        with self.view.lock:
            since = max(since, self.view.estimates.get(name).answered_at)
        limit = self.limit_seconds(usual)
        if limit > usual and self._are_many_doubted():
            signs['is_one_of_many'] = True
        heard_since = now - max(HEARD_SECONDS, HEARD_LIMITS * limit)
        heard_since = max(since, min(heard_since, asked_at))
        return losses.Evidence(
            self.view.health.running_seconds(since, now),
            limit,
            self.hears_others(name, heard_since),
            **signs,
        )

    def _are_many_doubted(self):
        engines = self.view.snapshot.endpoints.values()
        count = sum(each.holding is not None for each in engines)
        with self.lock:
            doubted = len(self.silent_since)
        return doubted >= max(MIN_DOUBTED, DOUBTED_SHARE * count)

    def hears_others(self, name, since):
        """Return whether another endpoint than one was heard since a time."""
        with self.view.lock:
            if self.view.estimates.has_answered({name}, since):
                return True
        return bool(set(self.engines_heard(since)) - {name})

    def judge(self, name, evidence, since):
        """Return the `losses.Verdict`, and write what it rests on."""
        verdict = losses.judge(evidence)
        kind = 'proven' if verdict is losses.Verdict.LOST else 'undecided'
        self.metrics.count(f'losses.{kind}')
        if evidence.is_acknowledged:
            self.metrics.count(f'losses.acknowledged.{kind}')
        self._note_acknowledgement(name, verdict, evidence)
        logs.event(
            LOG,
            'silence_judged',
            endpoint=name,
            verdict=verdict.value,
            refused=evidence.is_refused,
            failed=evidence.has_failed,
            acknowledged=evidence.is_acknowledged,
            ran_ms=round(evidence.ran_seconds * MS_PER_SECOND),
            limit_ms=round(losses.required_seconds(evidence) * MS_PER_SECOND),
            hears_others=evidence.hears_others,
            many=evidence.is_one_of_many,
            late_ms=self.view.late_ms(since),
        )
        return verdict

    def _note_acknowledgement(self, name, verdict, evidence):
        is_open = verdict is losses.Verdict.UNDECIDED
        with self.lock:
            self.acknowledged.discard(name)
            if is_open and evidence.is_acknowledged:
                self.acknowledged.add(name)

    def is_acknowledged(self, name):
        """Return whether an undecided engine's host acknowledged a query.

        The last query decides.
        """
        with self.lock:
            return name in self.acknowledged

    def note_lost(self, endpoint, since, evidence):
        """Take an engine out whose loss is proven."""
        by_silence = not (evidence.is_refused or evidence.has_failed)
        with self.view.lock:
            self.view.estimates.note_lost(
                endpoint.id, self.view.clock(), since, by_silence
            )

    def is_lost_by_silence(self, name):
        """Return whether this router found an engine lost by its silence."""
        now = self.view.clock()
        with self.view.lock:
            table = self.view.estimates
            return table.silent_loss_seconds(name, now) is not None

    def note_silent(self, name, since):
        """Record that an engine is asked again until the matter is decided.

        Returns
        -------
        bool
            Whether it wasn't asked again yet.
        """
        with self.lock:
            is_new = name not in self.silent_since
            self.silent_since.setdefault(name, since)
            return is_new

    def begin_silence(self, name, since):
        """Record when the first query was sent to an engine in doubt."""
        with self.lock:
            if name in self.silent_since:
                self.silent_since[name] = since

    def open_since(self, name):
        """Return when the silence of an engine began that is asked again.

        None if it isn't asked again, or has not been asked yet.
        """
        with self.lock:
            since = self.silent_since.get(name, math.inf)
        return None if math.isinf(since) else since

    def is_asked(self, name):
        """Return whether an engine is asked again, or will be."""
        with self.lock:
            return name in self.silent_since

    def end_silence(self, name):
        """Record that an engine is no longer asked again."""
        with self.lock:
            self.silent_since.pop(name, None)
            self.acknowledged.discard(name)

    def note_answer(self, name, took, usual):
        """Record an answer to a status query; it refutes a loss.

        Parameters
        ----------
        name : str
        took : float
            Seconds from the query to its answer.
        usual : float
            Longest limit by measured answers alone.
        """
        now = self.view.clock()
        with self.view.lock:
            table = self.view.estimates
            is_refuted = table.is_dead(name)
            lost_for = table.silent_loss_seconds(name, now) or 0.0
            table.note_reachable(name, now)
        if is_refuted:
            self.metrics.count('losses.refuted')
        with self.lock:
            since = self.silent_since.get(name, now)
            if took > usual:
                self.limit.note_answer(took, now)
            self.limit.note_refuted(max(lost_for, now - since), now)


def make_loss_judge(view, metrics):
    """Make a `LossJudge`."""
    return LossJudge(view, metrics)
