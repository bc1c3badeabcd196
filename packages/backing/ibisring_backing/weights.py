"""The rate-limited weight store, as the engines' orders meet it."""

__all__ = ['WeightStore', 'HttpWeights', 'http_weights']

import abc

import msgspec

from ibisring_records import exceptions
from ibisring_web import calls


class WeightLimit(msgspec.Struct):
    """Megabytes a second that the store gives to everybody together."""

    megabytes_per_second: float


class WeightStore(abc.ABC):
    """Says how fast weights may be fetched."""

    @abc.abstractmethod
    def limit(self):
        """Give the limit in megabytes a second.

        Raises
        ------
        PlatformUnavailable
        """


class HttpWeights(WeightStore):
    """The weight store over HTTP."""

    def __init__(self, caller, address):
        self.caller = caller
        self.address = address

    def limit(self):
        try:
            answer = self.caller.call(
                'GET', self.address, '/weights/limit', cls=WeightLimit
            )
        except calls.CallError as error:
            raise exceptions.PlatformUnavailable(
                f'weight store: {error}'
            ) from error
        return answer.megabytes_per_second


def http_weights(address, caller=None):
    """Make the HTTP client of a weight store."""
    return HttpWeights(caller or calls.make_caller(), address)
