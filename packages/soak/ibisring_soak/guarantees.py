"""Checks the router's guarantees against a run's history."""

__all__ = ['check']

import math

from ibisring_soak import ratelimits
from ibisring_soak import records
from ibisring_soak import soundness

# Statuses which guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time that a router may take to apply a change in the store, and the time
# without disruption before that is required of it.
APPLY_SECONDS = 2.0
UNDISRUPTED_SECONDS = 3.0
# Share of the grace time after which a shutdown may cut the streams at which
# endpoints are still at work, and how soon after its signal they were sent.
USED_GRACE_SHARE = 5 / 6
SENT_SECONDS = 3.0
# Share of the requests that must be served after the recovery.
SERVED_SHARE = 0.9
# How often a poison request may still run after all routers have been
# informed.
MAX_LATE_RUNS = 3
# Time after an endpoint asked for backoff in which requests may still be under
# way, and how many of a router may reach it later.
UNDER_WAY_SECONDS = 0.5
MAX_DURING_BACKOFF = 2


def check(history):
    """Return all violations in a history.

    Parameters
    ----------
    history : records.History

    Returns
    -------
    list of records.Violation
    """
    runs = {}
    for run in history.runs:
        runs.setdefault(run.request, []).append(run)
    found = []
    for call in history.calls:
        own_runs = runs.get(call.id, [])
        found.extend(_response_integrity(call))
        found.extend(_run_counts(call, own_runs))
    found.extend(_known_callers(history))
    found.extend(_chains(history))
    found.extend(_store_changes(history))
    found.extend(_added_routes(history))
    found.extend(_shutdowns(history, runs))
    found.extend(_recovery(history))
    found.extend(_poison_requests(history))
    found.extend(_limits(history))
    found.extend(_backoffs(history))
    found.extend(_announced_leaves(history))
    found.extend(soundness.check(history, runs))
    found.extend(
        records.Violation('a process exits only on a signal', '', crash)
        for crash in history.crashes
    )
    found.extend(
        records.Violation(
            'layers fit into the memory of the card', name, 'overloaded'
        )
        for name in history.overloaded
    )
    return found


def _response_integrity(call):
    """A success is the endpoint's complete response to this request."""
    if not 200 <= call.status < 300 or not call.complete:
        return
    if not call.signed:
        yield records.Violation(
            'a success is signed', call.id, str(call.status)
        )
    if call.response_id != call.id:
        yield records.Violation(
            'a response has the id of its request', call.id, call.response_id
        )
    if call.kind in records.STREAM_KINDS:
        expected = [f'word-{n}' for n in range(1, call.expected_events + 1)]
        if call.events != expected:
            detail = (
                f'{len(call.events)} of {call.expected_events}:'
                f' {call.events[:50]}'
            )
            yield records.Violation(
                'a stream is complete and in order', call.id, detail
            )
    elif call.body.split()[-1:] != [call.id.encode()]:
        detail = call.body[:80].decode('latin-1')
        yield records.Violation(
            'a body belongs to its request', call.id, detail
        )


def _run_counts(call, runs):
    """Non-idempotent requests run at most once, refused ones never."""
    descriptions = [f'{run.endpoint} after {run.after}' for run in runs]
    if call.kind in records.ONCE_KINDS and len(runs) > 1:
        yield records.Violation(
            'runs at most once', call.id, ', '.join(descriptions)
        )
    is_once = call.kind in records.ONCE_KINDS
    if is_once and runs and call.status in NOT_RUN_STATUSES:
        detail = f'{call.status}, ran at {descriptions[0]}'
        yield records.Violation('refused means not run', call.id, detail)
    if call.status in (401, 403, 404) and runs:
        yield records.Violation(
            'denied means not run', call.id, descriptions[0]
        )


def _known_callers(history):
    """Endpoints run only requests of callers, for the right account."""
    keys = {call.id: call.key for call in history.calls}
    for run in history.runs:
        if run.request not in keys:
            yield records.Violation(
                'runs only requests of callers', run.request, ''
            )
        elif run.account != account_of(keys[run.request]):
            yield records.Violation(
                'runs for the account of the key', run.request, run.account
            )


def account_of(key):
    """Return the client account of a key."""
    return 'account-' + key.partition('-')[2]


def _chains(history):
    """A chain runs each layer once and in order."""
    for run in history.runs:
        reached = 0
        for first, end in run.chain:
            if first != reached or end <= first:
                break
            reached = end
        if run.chain and reached != history.layers:
            yield records.Violation(
                'layers once and in order', run.request, str(run.chain)
            )


def _is_disrupted(history, names, since, until):
    return any(
        name in names and begin <= until and end >= since
        for name, begin, end in history.disruptions
    )


def _store_changes(history):
    """Draining endpoints get no new requests; revoked keys are rejected."""
    calls = {call.id: call for call in history.calls}
    for change in history.store_changes:
        if change.kind == 'added':
            continue
        deadline = change.at + APPLY_SECONDS
        for run in history.runs:
            call = calls.get(run.request)
            if call is None or run.at <= deadline:
                continue
            name = run.endpoint if change.kind == 'draining' else call.key
            if name != change.name:
                continue
            if change.kind == 'revoked' and call.sent_at <= deadline:
                continue
            targets = ('store', f'router {call.router}')
            since = change.at - UNDISRUPTED_SECONDS
            if not _is_disrupted(history, targets, since, run.at):
                detail = f'{run.at - change.at:.2f} s after'
                yield records.Violation(
                    f'{change.kind} is applied', call.id, detail
                )


def _added_routes(history):
    """Routes that the store has confirmed are not refused as unknown."""
    added = {c.name: c.at for c in history.store_changes if c.kind == 'added'}
    for call in history.calls:
        confirmed = added.get(call.route)
        if confirmed is None or call.status not in (403, 404):
            continue
        late = call.sent_at - confirmed
        targets = ('store', f'router {call.router}')
        since = call.sent_at - UNDISRUPTED_SECONDS
        if late <= APPLY_SECONDS:
            continue
        if not _is_disrupted(history, targets, since, call.ended_at):
            detail = f'{call.status} from {call.router} {late:.2f} s after'
            yield records.Violation(
                'an added route is applied', call.id, detail
            )


def _poison_requests(history):
    """What has crashed a few endpoints reaches no more of them."""
    known_after = history.crashes_until_known
    if len(history.endpoint_crashes) < known_after:
        return
    since = history.endpoint_crashes[known_after - 1] + UNDISRUPTED_SECONDS
    routers = {c.id: c.router for c in history.calls if c.kind == 'bad'}
    late = [
        run
        for run in history.runs
        if run.request in routers
        and run.at > since
        and not _is_recently_started(history, routers[run.request], run.at)
    ]
    if len(late) > MAX_LATE_RUNS:
        detail = (
            f'{len(late)} runs after {len(history.endpoint_crashes)} crashes'
        )
        yield records.Violation('a poison request is blocked', '', detail)


def _limits(history):
    """Endpoints get no more requests than their declared limits allow."""
    routers = {call.id: call.router for call in history.calls}
    for span in history.limits:
        own_runs = [
            run
            for run in history.runs
            if run.endpoint == span.endpoint
            and span.start <= run.at <= span.end
        ]
        if not own_runs:
            continue
        since = (
            min(run.at for run in own_runs) + ratelimits.PROPAGATION_SECONDS
        )
        times = [
            run.at
            for run in own_runs
            if run.at > since
            and not _is_recently_started(history, routers[run.request], run.at)
        ]
        count = ratelimits.max_in_window(times, ratelimits.WINDOW_SECONDS)
        if count > ratelimits.max_allowed_requests(span.rate):
            detail = (
                f'{count} in {ratelimits.WINDOW_SECONDS} s'
                f' at {span.rate} per second'
            )
            yield records.Violation(
                'a limit is enforced', span.endpoint, detail
            )


def _sent_arrivals(history):
    """Return each arrival with the router that sent it, in order of time.

    A request that was handed over is sent by the router that it was handed to
    last.
    """
    routers = {call.id: call.router for call in history.calls}
    relays = sorted(history.relays, key=lambda relay: relay.at)
    sent = []
    for each in sorted(history.arrivals, key=lambda arrival: arrival.at):
        router = routers.get(each.request)
        for relay in relays:
            if relay.request == each.request and relay.at <= each.at:
                router = relay.carrier
        sent.append((router, each))
    return sent


def _backoffs(history):
    """An endpoint that asked a router for backoff gets hardly any requests."""
    arrivals = {}
    for router, each in _sent_arrivals(history):
        arrivals.setdefault((each.endpoint, router), []).append(each)
    for (endpoint, router), group in arrivals.items():
        for asked in group:
            late = [
                each
                for each in group
                if asked.at + UNDER_WAY_SECONDS
                < each.at
                < asked.at + asked.backoff
                and not _is_recently_started(history, router, each.at)
            ]
            if len(late) > MAX_DURING_BACKOFF:
                detail = f'{len(late)} of {router} in {asked.backoff} s'
                yield records.Violation('a backoff is kept', endpoint, detail)


def _announced_leaves(history):
    """A router that was told of a leave sends no requests there later."""
    sent = _sent_arrivals(history)
    for leave in history.leaves:
        told = {}
        arrivals = [
            (router, each)
            for router, each in sent
            if each.endpoint == leave.endpoint and each.at > leave.at
        ]
        for router, each in arrivals:
            first = told.setdefault(router, each.at)
            late = each.at - first
            targets = ('endpoints', f'router {router}')
            since = first - UNDISRUPTED_SECONDS
            if late <= APPLY_SECONDS:
                continue
            if _is_disrupted(history, targets, since, each.at):
                continue
            if not _is_recently_started(history, router, each.at):
                detail = f'{late:.2f} s after, from {router}'
                yield records.Violation(
                    'a leave is applied', each.request, detail
                )


def _is_recently_started(history, router, now):
    """Return whether a router was disrupted or restarted recently."""
    target = (f'router {router}',)
    if _is_disrupted(history, target, now - UNDISRUPTED_SECONDS, now):
        return True
    return any(
        name == router
        and at
        <= now
        <= at + seconds + UNDISRUPTED_SECONDS + records.EXIT_SLACK_SECONDS
        for name, at, seconds in history.terminations
    )


def _shutdowns(history, runs):
    """A terminated process exits in time and truncates no response."""
    for router, at, seconds in history.terminations:
        target = f'router {router}'
        late = seconds > history.grace_seconds + records.EXIT_SLACK_SECONDS
        if late and not _is_disrupted(history, (target,), at, at + seconds):
            yield records.Violation(
                'a shutdown ends in time', router, f'{seconds:.2f} s'
            )
        targets = ('store', 'callers', 'endpoints', target)
        for call in history.calls:
            if call.router != router or call.abandoned:
                continue
            if not at - UNDISRUPTED_SECONDS < call.sent_at < at + seconds:
                continue
            since = min(at, call.sent_at) - UNDISRUPTED_SECONDS
            if _is_disrupted(history, targets, since, call.ended_at):
                continue
            if _may_be_cut(history, call, runs.get(call.id), at):
                continue
            if call.status == 200 and not call.complete:
                yield records.Violation(
                    'a shutdown truncates no response', call.id, router
                )


def _may_be_cut(history, call, runs, at):
    """Return whether the shutdown requested at `at` may cut a response.

    The endpoint must have been at work on it in the last sixth of the grace
    time.  When an endpoint ends its work is known of streams only.
    """
    if not runs or call.kind not in records.STREAM_KINDS:
        return False
    since = at + USED_GRACE_SHARE * history.grace_seconds
    finished_at = history.finished.get(call.id, math.inf)
    is_in_time = call.sent_at <= at + SENT_SECONDS
    return is_in_time and min(call.ended_at, finished_at) >= since


def _recovery(history):
    """After the last fault, requests are served as before."""
    since = history.faults_ended_at + history.recovery_seconds
    revoked = {c.name for c in history.store_changes if c.kind == 'revoked'}
    late = [
        call
        for call in history.calls
        if call.sent_at > since
        and call.kind != 'bad'
        and not call.abandoned
        and call.key not in revoked
    ]
    served = [c for c in late if c.status == 200 and c.complete]
    if not late:
        yield records.Violation(
            'requests are served after recovery',
            '',
            'no requests after the recovery time',
        )
    elif len(served) < SERVED_SHARE * len(late):
        statuses = sorted({c.status for c in late})
        detail = f'{len(served)} of {len(late)} served, {statuses}'
        yield records.Violation(
            'requests are served after recovery', '', detail
        )
