"""Reader of the structured log lines of several VMs."""

__all__ = ['Line', 'Reader', 'make_reader']

import json
import re

from ibisring_records import exceptions
import msgspec

_NON_FACTS = ('time', 'level', 'module', 'event', 'id')
# A log collector may put text before a line; its last word is the VM's name.
_PREFIX = re.compile(r'^(?P<before>[^{]*)(?P<json>\{.*)$')
# Damaged lines whose place is reported; all of them are counted.
MAX_DAMAGED_PLACES = 5


class Line(msgspec.Struct):
    """A log line: time on the clock of its VM, source VM, event and facts."""

    time: float
    source: str
    event: str
    request: str
    facts: dict


class Reader:
    """Yields the lines of files without keeping them in memory.

    Unstructured lines are skipped.  A line that starts like a structured one
    but can't be parsed is damaged: truncated by a full disk, or mixed with
    the output of another process.

    Attributes
    ----------
    damaged : int
    damaged_places : list of str
        Files and numbers of the first damaged lines.
    """

    def __init__(self):
        self.damaged = 0
        self.damaged_places = []

    def read(self, path):
        """Yield the lines of a file.

        Parameters
        ----------
        path : pathlib.Path
            Its stem is the source of lines that don't name a VM.

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
        """Yield the structured lines among rows of text.

        Examples
        --------
        >>> reader = make_reader()
        >>> rows = ['12.1 vm-1 {"time": 1.0, "event": "x"}', '{"time": 2']
        >>> [line.source for line in reader.parse('a', rows, 'a.log')]
        ['vm-1']
        >>> reader.damaged, reader.damaged_places
        (1, ['a.log:2'])
        """
        for number, raw in enumerate(rows, 1):
            match = _PREFIX.match(raw.rstrip('\r\n'))
            if match is None:
                continue
            line = _parse_line(name, match)
            if line is None:
                self.damaged += 1
                if len(self.damaged_places) < MAX_DAMAGED_PLACES:
                    self.damaged_places.append(f'{place}:{number}')
                continue
            yield line


def _parse_line(name, match):
    try:
        value = json.loads(match['json'])
        time = float(value['time'])
        event = str(value['event'])
    except (ValueError, KeyError, TypeError):
        return None
    prefix_words = match['before'].split()
    return Line(
        time,
        prefix_words[-1] if prefix_words else name,
        event,
        str(value.get('id', '')),
        {k: v for k, v in value.items() if k not in _NON_FACTS},
    )


def make_reader():
    """Create a `Reader` with no damaged lines counted."""
    return Reader()
