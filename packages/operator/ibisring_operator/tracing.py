"""Trace of a request through the logs of several VMs."""

__all__ = ['trace', 'text']

import json

# Changes of a router's state are shown from this long before a request.
CONTEXT_SECONDS = 2.0
# Events that change a router's view of endpoints and store; they have no
# request id.
STATE_EVENTS = frozenset(
    (
        'asked_again',
        'ending',
        'endpoints',
        'layers_missing',
        'no_status',
        'order',
        'silence_judged',
        'started',
        'store_lost',
        'store_regained',
        'table_in_force',
    )
)
# An endpoint crashed while it ran a request, possibly in another attempt.
SUSPECT_EVENT = 'suspect'
# One crashed as it began to answer a request with some parts in its prompt.
PART_EVENT = 'part_suspects'


def trace(lines, request):
    """Return a request's lines and the changes of router state around them.

    Parameters
    ----------
    lines : list of loglines.Line
    request : str

    Returns
    -------
    list of loglines.Line
        By time.  Empty if no line has the request's id.  Changes of state
        are those of the VMs that served it, from `CONTEXT_SECONDS` before
        its start to its last line.  Crashes recorded under its digest, or
        under a part for which it was refused, are shown from all VMs,
        however long before.
    """
    request_lines = [line for line in lines if line.request == request]
    if not request_lines:
        return []
    sources = {line.source for line in request_lines}
    start = (
        min(line.time - _elapsed_seconds(line) for line in request_lines)
        - CONTEXT_SECONDS
    )
    end = max(line.time for line in request_lines)
    state_changes = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and line.source in sources
        and start <= line.time <= end
    ]
    suspected = [
        line
        for line in _suspected(lines, request_lines)
        if line.time <= end and line not in request_lines
    ]
    return sorted(
        request_lines + state_changes + suspected, key=lambda line: line.time
    )


def _suspected(lines, request_lines):
    """Return the crashes recorded under what a request is known by."""
    digests = {line.facts.get('digest') for line in request_lines} - {None}
    parts = {
        part
        for line in request_lines
        if line.event == 'request'
        for part in line.facts.get('parts') or ()
    }
    return [
        line
        for line in lines
        if (
            line.event == SUSPECT_EVENT and line.facts.get('digest') in digests
        )
        or (
            line.event == PART_EVENT
            and not parts.isdisjoint(_names(line.facts))
        )
    ]


def _names(facts):
    return [name.lower() for name in facts.get('names') or ()]


def _elapsed_seconds(line):
    """Return how long a request had run when the line was written."""
    return float(line.facts.get('ms', 0.0)) / 1000.0


def text(lines):
    """Return lines in human-readable form."""
    rows = []
    for line in lines:
        facts = ' '.join(
            f'{name}={json.dumps(value)}'
            for name, value in line.facts.items()
            if value not in (None, '', [])
        )
        mark = '*' if line.request else ' '
        rows.append(
            f'{line.time:.3f} {mark} {line.source} {line.event} {facts}'
        )
    return '\n'.join(rows)
