"""Following a request through the logs of several VMs."""

__all__ = ['trace', 'text']

import json

# Seconds around a request within which changes of belief are shown.
AROUND = 2.0
# Events that change what a router believes; they carry no request id.
BELIEFS = frozenset(
    (
        'asked_again',
        'ending',
        'endpoints',
        'layers_missing',
        'no_status',
        'order',
        'started',
        'store_lost',
        'store_regained',
        'table_in_force',
    )
)
# An endpoint has ended under a request, perhaps under another attempt of it.
SUSPECT = 'suspect'


def trace(lines, request):
    """Give a request's lines and the changes of belief around them.

    Parameters
    ----------
    lines : list of loglines.Line
    request : str

    Returns
    -------
    list of loglines.Line
        By time.  Empty if no line names the request.  Beliefs are those of
        the VMs that served it, from `AROUND` seconds before its first line
        to its last.  What was found out about it by its digest is shown
        whenever and wherever that was.
    """
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    sources = {line.source for line in own}
    begin = min(line.time - _seconds(line) for line in own) - AROUND
    end = max(line.time for line in own)
    around = [
        line
        for line in lines
        if line.event in BELIEFS
        and line.source in sources
        and begin <= line.time <= end
    ]
    digests = {line.facts.get('digest') for line in own} - {None}
    suspected = [
        line
        for line in lines
        if line.event == SUSPECT
        and line.facts.get('digest') in digests
        and line.time <= end
    ]
    return sorted(own + around + suspected, key=lambda line: line.time)


def _seconds(line):
    """Give how long a request had run when its line was written."""
    return float(line.facts.get('ms', 0.0)) / 1000.0


def text(lines):
    """Write lines for people."""
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
