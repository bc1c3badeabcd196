"""The log line of each request that has ended: what came, and who ended it."""

__all__ = ['RequestLog', 'make_request_log']

import logging

from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import endings
from ibisring_router import logs
import msgspec

LOG = logging.getLogger(__name__)
MS_PER_SECOND = 1000.0


class RequestLog:
    """Writes one line for each request.

    Parameters
    ----------
    view : view.View
    metrics : metrics.Metrics
    retries_left : callable
        Returns how many retries the limit on them allows now.
    """

    def __init__(self, view, metrics, retries_left):
        self.view = view
        self.metrics = metrics
        self.retries_left = retries_left
        self.clock = view.clock

    def write(self, request_id, outcome, started, job, party, why, **facts):
        """Write the line of a request.

        Parameters
        ----------
        request_id, outcome : str
        started : float
            Monotonic time in seconds at which the request was read.
        job : jobs.Job or None
            None if its route is not known.
        party : endings.Party
            Who ended the answer.
        why : str
        """
        now = self.clock()
        seconds = now - started
        self.metrics.time('request', seconds)
        self.metrics.count(f'outcome.{outcome}')
        self.metrics.count(f'ended_by.{party}')
        logs.event(
            LOG,
            'request',
            id=request_id,
            outcome=outcome,
            ms=round(seconds * MS_PER_SECOND, 1),
            ended_by=party.value,
            why=why,
            **self._job_facts(job),
            **self._allowed(job, now),
            **facts,
        )

    def write_answered(self, job):
        """Write the line of a request that has its final answer."""
        answer = job.answer
        party = endings.party(job.last_result)
        if job.late:
            self.metrics.count(f'late.{job.late}')
        self.write(
            job.request.id,
            _outcome(job),
            job.started,
            job,
            party,
            job.last_result.value if job.last_result else 'whole',
            status=answer.status if answer else None,
            digest=job.digest.hex(),
            tries=job.progress.tries,
            endpoints=job.sent_to,
            relayed_by=job.relayed_by,
            relayed_to=job.relayed_to,
            limit=answer.limit if answer else None,
            events=job.splitter.count,
            framing=answer.framing if answer else None,
            rest_bytes=len(job.splitter.rest),
            first_ms=_rounded_ms(job.first_seconds),
            longest_pause_ms=_rounded_ms(job.longest_pause),
            late=job.late,
            chain=job.chain,
            table=self.view.snapshot.version,
            endpoints_age_ms=_rounded_ms(
                self.clock() - self.view.snapshot.endpoints_read_at
            ),
        )

    def write_error(self, request_id, error, started, job, status):
        """Write the line of a request that this router answers itself."""
        snapshot = self.view.snapshot
        self.write(
            request_id,
            error.code,
            started,
            job,
            _party_of_error(job),
            error.detail,
            status=status,
            retry_after=error.retry_after,
            table=snapshot.version,
            table_age_ms=_rounded_ms(self.clock() - snapshot.table_read_at),
            **error.facts,
        )

    def write_broken_off(self, request_id, error, started, job):
        """Write the line of an answer that this router does not complete."""
        self.write(
            request_id,
            'broken_off',
            started,
            job,
            _party_of_error(job),
            str(error),
        )

    def _job_facts(self, job):
        if job is None:
            return {}
        return {
            'route': job.route.name,
            'service': job.service.name,
            'account': job.match.account,
            'rank': job.rank_text,
            'waited_ms': _rounded_ms(job.waited),
            'after_event': job.splitter.last_position,
        }

    def _allowed(self, job, now):
        """Return what else a request was allowed, {} if it was answered."""
        if job is None or job.last_result is None:
            return {}
        found = msgspec.to_builtins(endings.allowance(job.progress))
        left = {f'{name}_left': found[name] for name in _COUNTS}
        return {
            **left,
            'may_repeat': found['may_repeat'],
            'retries_left': self.retries_left(),
            'left_ms': _rounded_ms(job.deadline - now),
        }


_COUNTS = ('tries', 'refusals', 'endpoints')


def _party_of_error(job):
    """Return who ended an answer that became an error of this router."""
    if job is None or job.last_result is None:
        return endings.Party.ROUTER
    return endings.party(job.last_result)


def _outcome(job):
    """Return the outcome of a request that has its final answer."""
    if job.relayed_refusal and job.answer is job.relayed_refusal[0]:
        return attempts.Result.TURNED_AWAY.value
    answer = job.answer
    return 'answered' if answer and answer.status < 400 else 'failed'


def _rounded_ms(seconds):
    return None if seconds is None else round(seconds * MS_PER_SECOND)


def make_request_log(view, metrics, retries_left):
    """Make a `RequestLog`."""
    return RequestLog(view, metrics, retries_left)
