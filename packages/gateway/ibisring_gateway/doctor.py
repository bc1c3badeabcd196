"""Finding out which stage of a silent request is lost, and going round it."""

__all__ = ['StallHandler', 'make_stall_handler']

import concurrent.futures
import logging

from ibisring_gateway import asking
from ibisring_gateway import ports
from ibisring_policy.gateway import attempts
from ibisring_records import routing
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# A stage vouched for by another request's event within so many seconds.
VOUCHES = 0.05
# If so many of the stages asked fail at once, it is more likely that this
# router is slow or cut off than that they all died.
MOST_LOST_SHARE = 0.7
# Seconds to wait after a repair, and after the first look that found nothing
# wrong; each further look waits twice as long.
AFTER_REPAIR = 0.25
AFTER_LOOK = 0.06
# Looks that find nothing before the request is sent elsewhere: a stalled
# stage answers its status while its own links are gone.
MOST_LOOKS = 4
WORKERS = 24
# Times that a request is moved off engines that leave.
MOST_MOVES = 3


class StallHandler:
    """Looks at the stages of silent attempts.

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
        """End the threads."""
        self.pool.shutdown(wait=False, cancel_futures=True)
        self.asker.stop()

    def handle(self, attempt):
        """Take an attempt on; returns at once."""
        self.pool.submit(self._examine, attempt)

    def _examine(self, attempt):
        try:
            if attempt.stages:
                self._examine_chain(attempt)
            else:
                attempt.break_off(attempts.End.SILENT)
        except Exception:
            LOG.exception('examination_failed %s', attempt.request_id)
        finally:
            attempt.looking = False

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
            attempt.break_off(attempts.End.SILENT)
            return
        # A path with a stage that was given up is refused, so those that are
        # not at fault have to be replaced as well.
        lost |= _leaving(attempt, self.view.snapshot.endpoints)
        is_head = attempt.endpoint.id in lost
        if is_head or not self._go_round(attempt, lost):
            self._start_elsewhere(attempt, now)

    def _start_elsewhere(self, attempt, now):
        """End an attempt that can't be moved, if another can take its place.

        While no chain has room the stall is waited out: the lost layers may
        be loaded elsewhere before the caller gives up.
        """
        if self.selector.has_other(attempt, now):
            attempt.break_off(attempts.End.SILENT)
        else:
            attempt.check_at = now + AFTER_LOOK

    def _nothing_found(self, attempt, now):
        if attempt.checks > MOST_LOOKS and self.selector.has_other(
            attempt, now
        ):
            attempt.break_off(attempts.End.SILENT)
            return
        looks = min(MOST_LOOKS, attempt.checks)
        attempt.check_at = now + AFTER_LOOK * 2 ** (looks - 1)

    def _find_lost(self, attempt):
        """Give the ids of stages that do not answer."""
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
        """Give the stages through which other requests' events just came.

        Asking a stage costs its engine and this router time; one that
        delivers for others lives.  An event takes up to its whole time of
        passage from a stage to here, so one that came right after the last
        of this request says nothing of what happened since.
        """
        since = max(
            attempt.last_event_at + attempt.mean_gap, self.clock() - VOUCHES
        )
        found = set()
        for other in self.watcher.all():
            if (
                other is not attempt
                and other.events
                and other.last_event_at > since
            ):
                found.update(stage.endpoint for stage in other.stages)
        return found

    def run_checks(self):
        """Move requests off stages that are leaving; ask the dead again.

        Called now and then.  An engine that leaves, or gives layers up,
        waits for the requests that pass through it, and cuts them in the
        end; moving them early costs a prompt read once more.
        """
        snapshot = self.view.snapshot
        for attempt in self.watcher.all():
            if attempt.stages and attempt.events and not attempt.looking:
                leaving = _leaving(attempt, snapshot.endpoints)
                if leaving == attempt.stuck:
                    continue
                if leaving and attempt.moves < MOST_MOVES:
                    attempt.looking = True
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
                attempt.moves += 1
                attempt.stuck = None
            elif not self._clear_out(attempt):
                # Asked again once other engines leave, not at every look:
                # an attempt would have used up its moves when it needs one.
                attempt.stuck = leaving
        except Exception:
            LOG.exception('evacuation_failed %s', attempt.request_id)
        finally:
            attempt.looking = False

    def _clear_out(self, attempt):
        """End an attempt that keeps an engine from its new layers.

        An engine that was ordered to hold other layers loads them only when
        the requests that pass through it have ended: ten seconds, in which
        its failure domain lacks them.  The request goes on elsewhere.
        One whose engine is about to end may finish there instead.
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
        attempt.break_off(attempts.End.SILENT)
        return True

    def _go_round(self, attempt, lost):
        """Move the request to other stages behind the same first one."""
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
    """Give the stages whose engines leave or give their layers up."""
    found = set()
    for stage in attempt.stages:
        endpoint = endpoints.get(stage.endpoint)
        if endpoint is None or endpoint.state is routing.State.DRAINING:
            found.add(stage.endpoint)
    return found | _gave_up(attempt, endpoints)


def _gave_up(attempt, endpoints):
    """Give the engines that live but no longer hold the layers they run."""
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
