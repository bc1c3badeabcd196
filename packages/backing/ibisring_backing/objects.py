"""The object store: whole values by name, last writer wins."""

__all__ = ['ObjectStore', 'HttpObjects', 'http_objects']

import abc
import urllib.parse

from ibisring_records import exceptions
from ibisring_web import calls


class ObjectStore(abc.ABC):
    """Keeps JSON objects by name."""

    @abc.abstractmethod
    def put(self, name, value):
        """Keep a value.

        Raises
        ------
        PlatformUnavailable
        """

    @abc.abstractmethod
    def get(self, name):
        """Give a value, or None.

        Raises
        ------
        PlatformUnavailable
        """

    @abc.abstractmethod
    def names(self, prefix):
        """Give the sorted names under a prefix."""


class HttpObjects(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, caller, address):
        self.caller = caller
        self.address = address

    def _ask(self, method, path, value=None):
        try:
            return self.caller.call(method, self.address, path, value)
        except calls.CallError as error:
            raise exceptions.PlatformUnavailable(
                f'object store: {error}'
            ) from error

    def put(self, name, value):
        quoted = urllib.parse.quote(name)
        self._ask('PUT', f'/objects/{quoted}', value)

    def get(self, name):
        quoted = urllib.parse.quote(name)
        try:
            return self._ask('GET', f'/objects/{quoted}')
        except exceptions.NotFound:
            return None

    def names(self, prefix):
        query = urllib.parse.urlencode({'prefix': prefix})
        return self._ask('GET', f'/objects?{query}')


def http_objects(address, caller=None):
    """Make the HTTP client of an object store."""
    return HttpObjects(caller or calls.make_caller(), address)
