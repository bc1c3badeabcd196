"""JSON calls over urllib3, with its own retries and redirects switched off.

Failures are sorted by what they say about the other side: `NotSent` means
that it can't have begun, `AnswerLost` that it may have.
"""

__all__ = [
    'CallError',
    'NotSent',
    'AnswerLost',
    'Silent',
    'Traffic',
    'Caller',
    'make_caller',
    'read_all',
    'read_stream',
    'decode_error',
]

import msgspec
import urllib3
from urllib3 import exceptions as urllib3_exceptions

from ibisring_records import exceptions
from ibisring_web import answerreading
from ibisring_web import boundedanswers

CONNECT_TIMEOUT = 0.5
READ_TIMEOUT = 5.0
POOLS = 64
POOL_SIZE = 32
# Bounds of an answer that is read whole: its bytes, and the time from its
# first byte to its last one.
MAX_ANSWER_BYTES = 1 << 24
ANSWER_SECONDS = 30.0
READ_BYTES = 1 << 16


class CallError(Exception):
    """Base of the transport errors."""


class NotSent(CallError):
    """No byte of the request reached the other side."""


class AnswerLost(CallError):
    """The request was written; whether it was acted on is not known."""


class Silent(AnswerLost):
    """Nothing came for the whole read timeout."""


_NOT_SENT = (
    urllib3_exceptions.NewConnectionError,
    urllib3_exceptions.ConnectTimeoutError,
    urllib3_exceptions.LocationValueError,
)
# Values that are nested too deep exceed the limit on recursion.
_DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)


class Traffic:
    """Bytes that callers moved: bodies, and about what headers take."""

    __slots__ = ('total',)

    HEADERS = 150

    def __init__(self):
        self.total = 0

    def add(self, size):
        """Add a message with a body of so many bytes."""
        self.total += size + self.HEADERS


class Caller:
    """Calls JSON endpoints by 'IP:PORT' address.

    Parameters
    ----------
    connect_timeout, read_timeout : float
        Seconds.
    traffic : Traffic
        Counts what `call` moves.
    key : str
        Sent as a bearer key with each request, if not empty.
    bounds : boundedanswers.Bounds
        Bounds of all answers but streams.
    """

    def __init__(self, connect_timeout, read_timeout, traffic, key, bounds):
        self.headers = {'Authorization': f'Bearer {key}'} if key else {}
        self.key_size = sum(len(n) + len(v) for n, v in self.headers.items())
        self.traffic = traffic
        self.connect_timeout = connect_timeout
        self.read_timeout = read_timeout
        self.bounds = bounds
        self.pools = boundedanswers.make_pools(
            bounds, num_pools=POOLS, maxsize=POOL_SIZE, retries=False
        )

    def open(self, method, address, path, value=None, headers=None, **options):
        """Send a request and give the response with its body unread.

        Parameters
        ----------
        method, address, path : str
        value : struct or builtins or None
            Sent as JSON.
        headers : dict or None
        fresh : bool, optional
            Use a connection that was never used before.  A kept-alive one
            may have died, and then nobody knows whether the request was
            acted on.
        read_timeout : float, optional
            Seconds between two reads.
        answer_seconds : float, optional
            Longest time from the answer's first byte to its last one, for a
            fresh connection.
        is_stream : bool, optional
            Whether the body of an answer with the status 200 has no bounds,
            for a fresh connection.

        Returns
        -------
        urllib3.HTTPResponse

        Raises
        ------
        NotSent, AnswerLost
        """
        fresh = options.get('fresh', False)
        timeout = urllib3.Timeout(
            connect=self.connect_timeout,
            read=options.get('read_timeout', self.read_timeout),
        )
        sent = {**self.headers, **(headers or {})}
        body = None
        if value is not None:
            body = msgspec.json.encode(value)
            sent['Content-Type'] = 'application/json'
        if fresh:
            sent['Connection'] = 'close'
        manager = self._fresh_pools(options) if fresh else self.pools
        try:
            return manager.request(
                method,
                f'http://{address}{path}',
                body=body,
                headers=sent,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except _NOT_SENT as error:
            raise NotSent(f'{address}: {error}') from error
        except urllib3_exceptions.HTTPError as error:
            raise _lost(address, error) from error

    def _fresh_pools(self, options):
        """Return new pools for a call."""
        seconds = options.get('answer_seconds', self.bounds.seconds)
        answer_class = answerreading.Answer
        if options.get('is_stream', False):
            answer_class = boundedanswers.StreamAnswer
        return boundedanswers.make_pools(
            boundedanswers.Bounds(self.bounds.max_bytes, seconds),
            answer_class,
            num_pools=1,
            maxsize=1,
        )

    def call(self, method, address, path, value=None, cls=None, **options):
        """Send a request and decode the whole JSON answer.

        Parameters
        ----------
        method, address, path, value
            As for `open`.
        cls : type or None
            Type to decode a 2xx answer into.

        Returns
        -------
        object

        Raises
        ------
        NotSent, AnswerLost
        IbisringError
            The other side's typed error.
        """
        if value is not None:
            value = msgspec.Raw(msgspec.json.encode(value))
            self.traffic.add(len(value) + self.key_size)
        else:
            self.traffic.add(self.key_size)
        response = self.open(method, address, path, value, **options)
        data = read_all(response, address)
        self.traffic.add(len(data))
        if response.status >= 300:
            raise decode_error(data, response.status)
        try:
            if cls is None:
                return msgspec.json.decode(data)
            return msgspec.json.decode(data, type=cls)
        except _DECODING_ERRORS as error:
            raise AnswerLost(f'{address}: damaged answer: {error}') from error


def read_all(response, address):
    """Read a response's body and give its connection back.

    Raises
    ------
    AnswerLost
    """
    try:
        data = response.read()
    except (urllib3_exceptions.HTTPError, OSError) as error:
        raise _lost(address, error) from error
    finally:
        response.release_conn()
    return data


def read_stream(response, address):
    """Yield the chunks of a response's body as they come.

    Raises
    ------
    AnswerLost
    """
    try:
        while chunk := response.read1(READ_BYTES):
            yield chunk
    except (urllib3_exceptions.HTTPError, OSError) as error:
        raise _lost(address, error) from error
    finally:
        response.close()


def _lost(address, error):
    silent = isinstance(error, urllib3_exceptions.ReadTimeoutError)
    cls = Silent if silent else AnswerLost
    return cls(f'{address}: {error}')


def decode_error(data, status):
    """Rebuild a typed error from an answer's body."""
    try:
        error = msgspec.json.decode(data)['error']
        return exceptions.error_from_code(
            error['code'],
            error['detail'],
            error.get('retry_after'),
            error.get('facts'),
        )
    except (*_DECODING_ERRORS, KeyError, TypeError):
        return exceptions.IbisringError(f'the other side answered {status}')


def make_caller(
    connect_timeout=CONNECT_TIMEOUT,
    read_timeout=READ_TIMEOUT,
    traffic=None,
    key='',
    answer_seconds=ANSWER_SECONDS,
):
    """Make a `Caller`; it may be shared by threads."""
    traffic = traffic or Traffic()
    bounds = boundedanswers.Bounds(MAX_ANSWER_BYTES, answer_seconds)
    return Caller(connect_timeout, read_timeout, traffic, key, bounds)
