"""The promises, checked against what callers and endpoints saw."""

__all__ = ['Violation', 'check']

from ibisring_soak import limited
import msgspec

# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Seconds that a router may take to act on a change of the store that is
# well, and seconds without disturbance before that is asked of it.
FOLLOWS_WITHIN = 2.0
IN_TOUCH = 3.0
# From the end of all faults until requests are served as before, and the
# share of them that must be.
RECOVERS_WITHIN = 12.0
SERVED_SHARE = 0.9
# Ends of endpoints under one request after which it is known to be bad, and
# how often it may run later than routers can know that.
ENDS = 3
MOST_LATE = 3
# Beyond the grace time, for the operating system to reap a process.
END_SLACK = 1.0


class Violation(msgspec.Struct, frozen=True):
    """A promise that was not kept."""

    promise: str
    request: str
    detail: str


def check(history):
    """Give all violations in a history.

    Parameters
    ----------
    history : records.History

    Returns
    -------
    list of Violation
    """
    runs = {}
    for run in history.runs:
        runs.setdefault(run.request, []).append(run)
    found = []
    for call in history.calls:
        mine = runs.get(call.id, [])
        found.extend(_whole_and_own(call))
        found.extend(_run_counts(call, mine))
    found.extend(_known_callers(history))
    found.extend(_chains(history))
    found.extend(_notices(history))
    found.extend(_added_routes(history))
    found.extend(_shutdowns(history))
    found.extend(_recovery(history))
    found.extend(_bad_requests(history))
    found.extend(_limits(history))
    found.extend(
        Violation('ends only when told to', '', each)
        for each in history.crashed
    )
    found.extend(
        Violation('an engine holds no more than its card', name, 'overloaded')
        for name in history.overloaded
    )
    return found


def _whole_and_own(call):
    """A success is the endpoint's own, whole answer to this request."""
    if not 200 <= call.status < 300 or not call.whole:
        return
    if not call.signed:
        yield Violation('a success is signed', call.id, str(call.status))
    if call.answered_id != call.id:
        yield Violation('an answer is the own one', call.id, call.answered_id)
    if call.kind == 'stream':
        wanted = [f'word-{n}' for n in range(1, call.length + 1)]
        if call.words != wanted:
            detail = f'{len(call.words)} of {call.length}: {call.words[:50]}'
            yield Violation('a stream is whole and in order', call.id, detail)
    elif call.body.split()[-1:] != [call.id.encode()]:
        detail = call.body[:80].decode('latin-1')
        yield Violation('a body is the own one', call.id, detail)


def _run_counts(call, runs):
    """What may not repeat runs once; what is refused as not run did not."""
    places = [f'{run.endpoint} after {run.after}' for run in runs]
    if call.kind == 'once' and len(runs) > 1:
        yield Violation('runs at most once', call.id, ', '.join(places))
    if call.kind == 'once' and runs and call.status in NOT_RUN:
        detail = f'{call.status}, ran at {places[0]}'
        yield Violation('refused means not run', call.id, detail)
    if call.status in (401, 403, 404) and runs:
        yield Violation('denied means not run', call.id, places[0])


def _known_callers(history):
    """Endpoints run what a caller asked, for its own client account."""
    keys = {call.id: call.key for call in history.calls}
    for run in history.runs:
        if run.request not in keys:
            yield Violation('runs only what was asked', run.request, '')
        elif run.account != account_of(keys[run.request]):
            yield Violation('account of the key', run.request, run.account)


def account_of(key):
    """Give the client account that holds a key in these runs."""
    return 'account-' + key.partition('-')[2]


def _chains(history):
    """Each layer runs once and in order."""
    for run in history.runs:
        reached = 0
        for first, end in run.chain:
            if first != reached or end <= first:
                break
            reached = end
        if run.chain and reached != history.layers:
            yield Violation(
                'layers once and in order', run.request, str(run.chain)
            )


def _is_disturbed(history, names, since, until):
    return any(
        name in names and begin <= until and end >= since
        for name, begin, end in history.disturbed
    )


def _notices(history):
    """Leaving endpoints get nothing new, and revoked keys do not pass."""
    calls = {call.id: call for call in history.calls}
    for notice in history.notices:
        if notice.kind == 'added':
            continue
        limit = notice.at + FOLLOWS_WITHIN
        for run in history.runs:
            call = calls.get(run.request)
            if call is None or run.at <= limit:
                continue
            about = run.endpoint if notice.kind == 'draining' else call.key
            if about != notice.name:
                continue
            if notice.kind == 'revoked' and call.sent_at <= limit:
                continue
            struck = ('store', f'router {call.router}')
            since = notice.at - IN_TOUCH
            if not _is_disturbed(history, struck, since, run.at):
                late = f'{run.at - notice.at:.2f} s after'
                yield Violation(f'{notice.kind} is followed', call.id, late)


def _added_routes(history):
    """What the store has confirmed is not refused as unknown."""
    added = {n.name: n.at for n in history.notices if n.kind == 'added'}
    for call in history.calls:
        confirmed = added.get(call.route)
        if confirmed is None or call.status not in (403, 404):
            continue
        late = call.sent_at - confirmed
        struck = ('store', f'router {call.router}')
        since = call.sent_at - IN_TOUCH
        if late <= FOLLOWS_WITHIN:
            continue
        if not _is_disturbed(history, struck, since, call.ended_at):
            detail = f'{call.status} from {call.router} {late:.2f} s after'
            yield Violation('an added route is followed', call.id, detail)


def _bad_requests(history):
    """What has ended three endpoints reaches no more of them."""
    if len(history.ends) < ENDS:
        return
    since = history.ends[ENDS - 1] + IN_TOUCH
    routers = {c.id: c.router for c in history.calls if c.kind == 'bad'}
    late = [
        run
        for run in history.runs
        if run.request in routers
        and run.at > since
        and not _has_just_come(history, routers[run.request], run.at)
    ]
    if len(late) > MOST_LATE:
        detail = f'{len(late)} runs after {len(history.ends)} ends'
        yield Violation('what ends endpoints runs no more', '', detail)


def _limits(history):
    """Endpoints get no more than the rate that they name allows."""
    routers = {call.id: call.router for call in history.calls}
    for span in history.limits:
        mine = [
            run
            for run in history.runs
            if run.endpoint == span.endpoint
            and span.begun <= run.at <= span.ended
        ]
        if not mine:
            continue
        since = min(run.at for run in mine) + limited.CONTACT
        times = [
            run.at
            for run in mine
            if run.at > since
            and not _has_just_come(history, routers[run.request], run.at)
        ]
        most = limited.most_within(times, limited.WINDOW)
        if most > limited.allowed(span.rate):
            detail = f'{most} in {limited.WINDOW} s at {span.rate} a second'
            yield Violation('a limit is kept', span.endpoint, detail)


def _has_just_come(history, router, now):
    """Say whether a router was struck or started too short a time ago."""
    own = (f'router {router}',)
    if _is_disturbed(history, own, now - IN_TOUCH, now):
        return True
    return any(
        name == router and at <= now <= at + seconds + IN_TOUCH + END_SLACK
        for name, at, seconds in history.ended
    )


def _shutdowns(history):
    """A process that is told to end does so in time and cuts nothing."""
    for router, at, seconds in history.ended:
        own = f'router {router}'
        late = seconds > history.grace + END_SLACK
        if late and not _is_disturbed(history, (own,), at, at + seconds):
            yield Violation('ends in time', router, f'{seconds:.2f} s')
        everyone = ('store', 'callers', 'endpoints', own)
        for call in history.calls:
            if call.router != router or call.gave_up:
                continue
            if not at - IN_TOUCH < call.sent_at < at + seconds:
                continue
            since = min(at, call.sent_at) - IN_TOUCH
            if _is_disturbed(history, everyone, since, call.ended_at):
                continue
            if call.status == 200 and not call.whole:
                yield Violation('a shutdown cuts nothing', call.id, router)


def _recovery(history):
    """After the last fault, requests are served as before."""
    since = history.calm_from + RECOVERS_WITHIN
    revoked = {n.name for n in history.notices if n.kind == 'revoked'}
    late = [
        call
        for call in history.calls
        if call.sent_at > since
        and call.kind != 'bad'
        and not call.gave_up
        and call.key not in revoked
    ]
    served = [c for c in late if c.status == 200 and c.whole]
    if not late:
        yield Violation('serves again', '', 'no requests to judge by')
    elif len(served) < SERVED_SHARE * len(late):
        statuses = sorted({c.status for c in late})
        detail = f'{len(served)} of {len(late)} served, {statuses}'
        yield Violation('serves again', '', detail)
