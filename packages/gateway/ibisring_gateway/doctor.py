"""Detection of lost stages of silent requests, and rerouting around them."""

__all__ = ['StallHandler', 'make_stall_handler']

import concurrent.futures
import logging

from ibisring_gateway import asking
from ibisring_gateway import ports
from ibisring_policy.gateway import attempts
from ibisring_records import routing
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Seconds for which an event of another request shows that a stage is alive.
VOUCHES = 0.05
# If more than this share of the stages queried fail at once, this router is
# more likely slow or disconnected than all of them are down.
MOST_LOST_SHARE = 0.7
# Seconds until the next check after stages were replaced, and after the first
# check that found nothing wrong; the wait doubles with each further check.
AFTER_REPAIR = 0.25
AFTER_LOOK = 0.06
# Checks without a finding before the request is sent elsewhere: a stage that
# has lost its own links to other stages still answers status queries.
MOST_LOOKS = 4
WORKERS = 24
# Limit of the times that a request is moved off engines that leave.
MOST_MOVES = 3


class StallHandler:
    """Checks the stages of silent attempts and replaces lost ones.

    Parameters
    ----------
    view : view.View
    engines : ports.EngineControl
    selector : selecting.Selector
    watcher : watching.Watcher
    metrics : metrics.Metrics
    """

    def __init__(self, view, engines, selector, watcher, metrics):
        self.view = view
        self.watcher = watcher
        self.engines = engines
        self.selector = selector
        self.metrics = metrics
        self.clock = view.clock
        self.pool = concurrent.futures.ThreadPoolExecutor(WORKERS)
        self.asker = asking.make_asker(view, engines, metrics)

    def stop(self):
        """Shut the thread pools down without waiting."""
        self.pool.shutdown(wait=False, cancel_futures=True)
        self.asker.stop()

    def handle(self, attempt):
        """Check a silent attempt in the background."""
        self.pool.submit(self._examine, attempt)

    def _examine(self, attempt):
        try:
            if attempt.stages:
                self._examine_chain(attempt)
            else:
                attempt.abort(attempts.End.SILENT)
        except Exception:
            LOG.exception('examination_failed %s', attempt.request_id)
        finally:
            attempt.is_checking = False

    def _examine_chain(self, attempt):
        attempt.checks += 1
        lost = self._find_lost(attempt)
        now = self.clock()
        if attempt.end is not None:
            return
        if not lost:
            self._nothing_found(attempt, now)
            return
        logs.event(
            LOG,
            'stages_lost',
            id=attempt.request_id,
            lost=sorted(lost),
            silent_ms=round((now - attempt.last_event_at) * 1000.0),
            events=attempt.events,
        )
        if attempt.endpoint.id in lost:
            attempt.abort(attempts.End.SILENT)
            return
        # Engines refuse a path with a stage that is leaving or has given up
        # its layers, so such stages are replaced along with the lost ones.
        lost |= _leaving(attempt, self.view.snapshot.endpoints)
        is_head = attempt.endpoint.id in lost
        if is_head or not self._go_round(attempt, lost):
            self._start_elsewhere(attempt, now)

    def _start_elsewhere(self, attempt, now):
        """End an attempt that can't be rerouted, if another chain has room.

        Otherwise the attempt stays: the lost layers may be loaded elsewhere
        before the caller gives up.
        """
        if self.selector.has_other(attempt, now):
            attempt.abort(attempts.End.SILENT)
        else:
            attempt.check_at = now + AFTER_LOOK

    def _nothing_found(self, attempt, now):
        if attempt.checks > MOST_LOOKS and self.selector.has_other(
            attempt, now
        ):
            attempt.abort(attempts.End.SILENT)
            return
        looks = min(MOST_LOOKS, attempt.checks)
        attempt.check_at = now + AFTER_LOOK * 2 ** (looks - 1)

    def _find_lost(self, attempt):
        """Return the ids of the stages that do not answer."""
        by_id = self.view.snapshot.endpoints
        names = [stage.endpoint for stage in attempt.stages]
        with self.view.lock:
            gone = {n for n in names if n not in by_id}
            gone |= {n for n in names if self.view.book.is_dead(n)}
        vouched = self._vouched(attempt)
        asked = [by_id[n] for n in names if n not in gone | vouched]
        questions = [self.asker.ask(endpoint) for endpoint in asked]
        lost = {
            endpoint.id
            for endpoint, question in zip(asked, questions)
            if not self.asker.answered(question)
        }
        if len(lost) > max(1, MOST_LOST_SHARE * len(asked)):
            logs.event(
                LOG, 'all_silent', id=attempt.request_id, asked=len(asked)
            )
            return set()
        now = self.clock()
        with self.view.lock:
            for endpoint in asked:
                if endpoint.id in lost:
                    self.view.book.unreachable(endpoint.id, now)
                else:
                    self.view.book.reached(endpoint.id, now)
        return lost | gone

    def _vouched(self, attempt):
        """Return the stages of other requests that had an event just now.

        A status query costs time at the engine and here, and a stage that
        delivers events for others is alive.  An event may be in transit for
        up to `mean_gap`, so one that arrived right after the last event of
        this request proves nothing about the time since.
        """
        since = max(
            attempt.last_event_at + attempt.mean_gap, self.clock() - VOUCHES
        )
        found = set()
        for other in self.watcher.attempts():
            if (
                other is not attempt
                and other.events
                and other.last_event_at > since
            ):
                found.update(stage.endpoint for stage in other.stages)
        return found

    def run_checks(self):
        """Move requests off leaving stages; probe unreachable engines.

        Called periodically.  An engine that leaves or gives up layers waits
        for the requests that pass through it and finally cuts them off;
        moving them early costs only a second prefill of the prompt.
        """
        snapshot = self.view.snapshot
        for attempt in self.watcher.attempts():
            if attempt.stages and attempt.events and not attempt.is_checking:
                leaving = _leaving(attempt, snapshot.endpoints)
                if leaving == attempt.unmovable_stages:
                    continue
                if leaving and attempt.reroutes < MOST_MOVES:
                    attempt.is_checking = True
                    self.pool.submit(self._evacuate, attempt, leaving)
        with self.view.lock:
            now = self.clock()
            names = self.view.book.to_revive(snapshot.endpoints, now)
            slow = self.view.book.to_ask_pace(now)
        for name in names:
            self.asker.revive(snapshot.endpoints[name])
        for name in slow:
            if name in snapshot.endpoints:
                self.asker.look_at_pace(snapshot.endpoints[name])

    def _evacuate(self, attempt, leaving):
        try:
            is_head = attempt.endpoint.id in leaving
            if not is_head and self._go_round(attempt, leaving):
                attempt.reroutes += 1
                attempt.unmovable_stages = None
            elif not self._clear_out(attempt):
                # Retried only when the set of leaving engines changes, not
                # at every check, so that failing tries don't use up moves.
                attempt.unmovable_stages = leaving
        except Exception:
            LOG.exception('evacuation_failed %s', attempt.request_id)
        finally:
            attempt.is_checking = False

    def _clear_out(self, attempt):
        """End an attempt that keeps an engine from loading new layers.

        An engine ordered to hold other layers loads them only when the
        requests that pass through it have ended; for up to ten seconds its
        failure domain lacks these layers.  The request continues elsewhere.
        An attempt on an engine that is shutting down may finish there.
        """
        endpoints = self.view.snapshot.endpoints
        if not attempt.may_change_endpoint or not _gave_up(attempt, endpoints):
            return False
        if not self.selector.has_other(attempt, self.clock()):
            return False
        logs.event(
            LOG,
            'cleared_out',
            id=attempt.request_id,
            engines=sorted(_gave_up(attempt, endpoints)),
        )
        attempt.abort(attempts.End.SILENT)
        return True

    def _go_round(self, attempt, lost):
        """Replace lost stages of a request, keeping its first one."""
        stages = self.selector.repair(attempt, lost, self.clock())
        if stages is None or stages == attempt.stages:
            logs.event(
                LOG, 'no_way_round', id=attempt.request_id, lost=sorted(lost)
            )
            return False
        result = self.engines.repath(
            attempt.endpoint, attempt.request_id, stages
        )
        self.metrics.count(f'repath.{result.value}')
        logs.event(
            LOG,
            'repath',
            id=attempt.request_id,
            lost=sorted(lost),
            stages=[f'{s.endpoint}={s.first}-{s.end}' for s in stages],
            result=result.value,
            silent_ms=round((self.clock() - attempt.last_event_at) * 1000.0),
        )
        if result not in (ports.OrderResult.BEGUN, ports.OrderResult.DONE):
            return False
        if attempt.end is None:
            self.selector.move(attempt, stages)
            attempt.check_at = self.clock() + AFTER_REPAIR
        return True


def _leaving(attempt, endpoints):
    """Return the stages whose engines leave or have given up their layers."""
    found = set()
    for stage in attempt.stages:
        endpoint = endpoints.get(stage.endpoint)
        if endpoint is None or endpoint.state is routing.State.DRAINING:
            found.add(stage.endpoint)
    return found | _gave_up(attempt, endpoints)


def _gave_up(attempt, endpoints):
    """Return the running engines that no longer hold their stage's layers."""
    found = set()
    for stage in attempt.stages:
        endpoint = endpoints.get(stage.endpoint)
        if endpoint is None or endpoint.state is routing.State.DRAINING:
            continue
        held = endpoint.holding
        if held is None or held.first > stage.first or held.end < stage.end:
            found.add(stage.endpoint)
    return found


def make_stall_handler(view, engines, selector, watcher, metrics):
    """Make a `StallHandler`."""
    return StallHandler(view, engines, selector, watcher, metrics)
