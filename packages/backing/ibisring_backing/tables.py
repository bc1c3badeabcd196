"""The transactional table service."""

__all__ = [
    'Row',
    'ReadRequest',
    'Rows',
    'CommitRequest',
    'Versions',
    'TableService',
    'HttpTable',
    'http_table',
]

import abc
import urllib.parse

import msgspec

from ibisring_records import exceptions
from ibisring_web import calls

ABSENT = 0
SCAN_PAGE = 500


class Row(msgspec.Struct):
    """A row: `version` grows with each write of its key, 0 if absent."""

    key: str
    value: object
    version: int


class ReadRequest(msgspec.Struct):
    keys: list[str]


class Rows(msgspec.Struct):
    rows: list[Row]


class CommitRequest(msgspec.Struct):
    """Writes that happen together if every expected version holds."""

    expected: dict[str, int]
    puts: dict[str, object]
    deletes: list[str] = []


class Versions(msgspec.Struct):
    versions: dict[str, int]


class TableService(abc.ABC):
    """Compare-and-set transactions over rows of JSON values."""

    @abc.abstractmethod
    def read(self, keys):
        """Give the rows that exist among some keys.

        Parameters
        ----------
        keys : list of str

        Returns
        -------
        dict of str to Row

        Raises
        ------
        PlatformUnavailable
        """

    @abc.abstractmethod
    def scan(self, prefix, after='', limit=SCAN_PAGE):
        """Give rows by key order, from just after a key.

        Returns
        -------
        list of Row
            At most `limit`.

        Raises
        ------
        PlatformUnavailable
        """

    @abc.abstractmethod
    def commit(self, expected, puts, deletes=()):
        """Write all or nothing.

        Parameters
        ----------
        expected : dict of str to int
            Versions that must hold; 0 for a row that must be absent.
        puts : dict of str to object
        deletes : iterable of str

        Returns
        -------
        dict of str to int
            New versions of the rows written.

        Raises
        ------
        Conflict
            Nothing was written; some version differs.
        PlatformUnavailable
            Nothing was written.
        PlatformAnswerLost
            It may have been written; read back to settle it.
        """

    def scan_all(self, prefix):
        """Give every row under a prefix, page by page."""
        found = []
        after = ''
        while True:
            page = self.scan(prefix, after, SCAN_PAGE)
            found.extend(page)
            if len(page) < SCAN_PAGE:
                return found
            after = page[-1].key


class HttpTable(TableService):
    """The table service over HTTP.

    Parameters
    ----------
    caller : calls.Caller
    address : str
        'IP:PORT'.
    """

    def __init__(self, caller, address):
        self.caller = caller
        self.address = address

    def _ask(self, path, value=None, cls=Rows):
        method = 'GET' if value is None else 'POST'
        try:
            return self.caller.call(method, self.address, path, value, cls=cls)
        except calls.CallError as error:
            raise exceptions.PlatformUnavailable(
                f'table service: {error}'
            ) from error

    def read(self, keys):
        found = self._ask('/table/read', ReadRequest(list(keys)))
        return {row.key: row for row in found.rows}

    def scan(self, prefix, after='', limit=SCAN_PAGE):
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        return self._ask(f'/table/scan?{query}').rows

    def commit(self, expected, puts, deletes=()):
        request = CommitRequest(expected, puts, list(deletes))
        try:
            answer = self.caller.call(
                'POST',
                self.address,
                '/table/commit',
                request,
                cls=Versions,
                fresh=True,
            )
        except calls.NotSent as error:
            raise exceptions.PlatformUnavailable(
                f'table service: {error}'
            ) from error
        except calls.AnswerLost as error:
            raise exceptions.PlatformAnswerLost(
                f'table service: {error}'
            ) from error
        return answer.versions


def http_table(address, caller=None):
    """Make the HTTP client of a table service."""
    return HttpTable(caller or calls.make_caller(), address)
