"""Following a request through the logs of several VMs."""

__all__ = ['Line', 'read', 'trace', 'text']

import json
import re

import msgspec

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
_HIDDEN = ('time', 'level', 'module', 'event', 'id')
# What a collector of logs may put before a line, the VM's name last.
_PREFIX = re.compile(r'^(?P<before>[^{]*)(?P<json>\{.*\})\s*$')


class Line(msgspec.Struct):
    """A log line: seconds of its clock, where it was written, its facts."""

    time: float
    source: str
    event: str
    request: str
    facts: dict


def read(name, content):
    """Give the lines of one log.

    Parameters
    ----------
    name : str
        Stands for the VM where the lines don't name one.
    content : str
        Lines that are not structured are passed over.

    Examples
    --------
    >>> read('a.log', '12.1 vm-1 {"time": 1.0, "event": "x"}')[0].source
    'vm-1'
    """
    found = []
    for raw in content.splitlines():
        match = _PREFIX.match(raw)
        if match is None:
            continue
        try:
            value = json.loads(match['json'])
        except ValueError:
            continue
        if not isinstance(value, dict) or 'event' not in value:
            continue
        before = match['before'].split()
        facts = {k: v for k, v in value.items() if k not in _HIDDEN}
        found.append(
            Line(
                float(value.get('time', 0.0)),
                before[-1] if before else name,
                str(value['event']),
                str(value.get('id', '')),
                facts,
            )
        )
    return found


def trace(lines, request):
    """Give a request's lines and the changes of belief around them.

    Parameters
    ----------
    lines : list of Line
    request : str

    Returns
    -------
    list of Line
        By time.  Empty if no line names the request.  Beliefs are those of
        the VMs that served it, from `AROUND` seconds before its first line
        to its last.
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
    return sorted(own + around, key=lambda line: line.time)


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
