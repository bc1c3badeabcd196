"""Structured log lines of several VMs, read one at a time."""

__all__ = ['Line', 'Reader', 'make_reader']

import json
import re

from ibisring_records import exceptions
import msgspec

_HIDDEN = ('time', 'level', 'module', 'event', 'id')
# What a collector of logs may put before a line, the VM's name last.
_PREFIX = re.compile(r'^(?P<before>[^{]*)(?P<json>\{.*)$')
# Damaged lines named to the operator; all are counted.
MOST_NAMED = 5


class Line(msgspec.Struct):
    """A log line: seconds of its clock, where it was written, its facts."""

    time: float
    source: str
    event: str
    request: str
    facts: dict


class Reader:
    """Gives the lines of files without holding them.

    Lines that are not structured are passed over.  One that begins as a
    structured line and can't be read is damaged: cut by a full disk, or
    mixed with another process's output.

    Attributes
    ----------
    damaged : int
    named : list of str
        Places of the first damaged lines.
    """

    def __init__(self):
        self.damaged = 0
        self.named = []

    def read(self, path):
        """Give the lines of a file, one by one.

        Parameters
        ----------
        path : pathlib.Path
            Its stem stands for the VM where lines don't name one.

        Raises
        ------
        InvalidRequest
            The file can't be read.
        """
        try:
            with path.open(errors='replace') as file:
                yield from self.parse(path.stem, file, str(path))
        except OSError as error:
            raise exceptions.InvalidRequest(
                f'{path}: {error.strerror}'
            ) from error

    def parse(self, name, rows, place=''):
        """Give the structured lines among rows of text.

        Examples
        --------
        >>> reader = make_reader()
        >>> rows = ['12.1 vm-1 {"time": 1.0, "event": "x"}', '{"time": 2']
        >>> [line.source for line in reader.parse('a', rows, 'a.log')]
        ['vm-1']
        >>> reader.damaged, reader.named
        (1, ['a.log:2'])
        """
        for number, raw in enumerate(rows, 1):
            match = _PREFIX.match(raw.rstrip('\r\n'))
            if match is None:
                continue
            line = _line(name, match)
            if line is None:
                self.damaged += 1
                if len(self.named) < MOST_NAMED:
                    self.named.append(f'{place}:{number}')
                continue
            yield line


def _line(name, match):
    try:
        value = json.loads(match['json'])
        time = float(value['time'])
        event = str(value['event'])
    except (ValueError, KeyError, TypeError):
        return None
    before = match['before'].split()
    return Line(
        time,
        before[-1] if before else name,
        event,
        str(value.get('id', '')),
        {k: v for k, v in value.items() if k not in _HIDDEN},
    )


def make_reader():
    """Make a `Reader` that has met no damaged line."""
    return Reader()
