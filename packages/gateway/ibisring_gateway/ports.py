"""What the gateway asks of the installation that it runs on.

An adapter implements these classes.  Nothing here knows how the installation
spells its messages.
"""

__all__ = [
    'Page',
    'Removed',
    'HistoryExpired',
    'CallCancelled',
    'Source',
    'LeaseTable',
    'RouterRow',
    'EngineStatus',
    'OrderResult',
    'EngineControl',
    'CallerRequest',
    'Answer',
    'Codec',
    'Installation',
]

import abc
import enum

import msgspec

from ibisring_records import exceptions


class HistoryExpired(exceptions.PlatformUnavailable):
    """The changes after a position are no longer kept."""

    code = 'history_gone'
    remedy = 'read everything again'


class CallCancelled(exceptions.PlatformAnswerLost):
    """This router itself ended a call, to make another one."""

    code = 'call_ended'


class Removed(msgspec.Struct, frozen=True):
    """An entry was removed."""

    id: str


class Page(msgspec.Struct):
    """Items read from a source, and the position to go on from.

    Items are `routing.Endpoint`, `routing.RoutingTable` or `Removed`;
    `newest_version` is the store's version of the newest of them, 0 without
    any.
    """

    position: int
    items: list
    newest_version: int = 0


class Source(abc.ABC):
    """Something that is read once and then followed."""

    @abc.abstractmethod
    def read_all(self):
        """Give a `Page` of everything there is.

        Raises
        ------
        PlatformUnavailable
        """

    @abc.abstractmethod
    def changes(self, position, wait):
        """Give a `Page` of what changed after a position.

        Parameters
        ----------
        position : int
        wait : float
            Seconds to wait for a change.

        Raises
        ------
        PlatformUnavailable
        PlatformAnswerLost
        HistoryExpired
        CallCancelled
        """

    @abc.abstractmethod
    def cancel_call(self):
        """End the call under way, from another thread.

        It raises `CallCancelled`; if there is none, the next one may.
        """


class RouterRow(msgspec.Struct):
    """A running router, as it tells the others."""

    name: str
    address: str
    domain: str
    started: float


class LeaseTable(abc.ABC):
    """Rows that the routers share."""

    @abc.abstractmethod
    def read_lease(self):
        """Give the `layerorders.LeaseRow`, or None if there is none yet."""

    @abc.abstractmethod
    def write_lease(self, row):
        """Write the row if its version is still that of `row`.

        Returns
        -------
        layerorders.LeaseRow or None
            The row with its new version; None if somebody else wrote.

        Raises
        ------
        PlatformUnavailable
            Certainly not written.
        PlatformAnswerLost
            Perhaps written.
        """

    @abc.abstractmethod
    def write_router(self, row):
        """Write a router's own row."""

    @abc.abstractmethod
    def read_routers(self):
        """Give all `RouterRow` rows."""


class EngineStatus(msgspec.Struct):
    """What an engine says of itself; sizes in tokens times layers.

    `orders` counts the orders that it has accepted since its start.
    """

    orders: int
    busy: bool
    waiting: int = 0
    active: int = 0
    used: float = 0.0
    total: float = 0.0
    pace: float = 1.0
    holding: object = None
    started: int = 0


class OrderResult(enum.StrEnum):
    """What became of an order."""

    BEGUN = 'begun'
    DONE = 'done'
    CONFLICT = 'conflict'
    WRONG = 'wrong'
    STALE = 'stale'
    UNKNOWN = 'unknown'


class EngineControl(abc.ABC):
    """Reads and orders of engines."""

    @abc.abstractmethod
    def status(self, address, timeout):
        """Give an `EngineStatus`.

        Raises
        ------
        PlatformUnavailable
            The engine could not be reached or gave no sense.
        """

    @abc.abstractmethod
    def place(self, endpoint, holding, expected_orders, token):
        """Order an engine to hold a range of layers.

        Parameters
        ----------
        endpoint : routing.Endpoint
        holding : routing.Holding
        expected_orders : int
            The engine refuses if it has accepted more or fewer.
        token : int
            Fencing token: engines that look at it refuse a lower one than
            they have seen.

        Returns
        -------
        OrderResult
        """

    @abc.abstractmethod
    def repath(self, endpoint, request_id, stages):
        """Move a running request to other stages behind the same first one.

        Returns
        -------
        OrderResult
        """


class CallerRequest(msgspec.Struct, kw_only=True):
    """A caller's request, decoded from its headers.

    `headers` are those to pass on.  `time_limit` is in seconds, None if the
    caller named none; `prompt_tokens` and `answer_tokens` are 0 for requests
    to plain services.
    """

    id: str
    method: str
    host: str
    target: str
    headers: dict
    key: str | None = None
    time_limit: float | None = None
    after_event: int | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    answer_hint: int | None = None
    body: bytes = b''

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition('?')[0]


class Answer(msgspec.Struct):
    """The head of an endpoint's answer, decoded.

    `refused` says that the endpoint did not run the request; `wrong_endpoint`
    that another one has the address; `refusing_address` names the address of
    the stage that a refusal is about.  `signed` says that the endpoint vouches
    for the answer; `delimited` that its end can be told from a lost
    connection.
    `limit` is the rate in requests a second that the endpoint takes from all
    routers together, None if it names none; `limit_invalid` that what it
    names is no rate.
    """

    status: int
    headers: list
    request_id: str | None
    refused: bool
    wrong_endpoint: bool
    delimited: bool
    refusing_address: str | None = None
    load: int | None = None
    length: int | None = None
    encoded: bool = False
    signed: bool = False
    limit: float | None = None
    limit_invalid: bool = False


class Codec(abc.ABC):
    """Translates requests and answers between their wire form and types."""

    @abc.abstractmethod
    def decode_request(self, method, target, headers):
        """Give a `CallerRequest` without its body.

        Raises
        ------
        InvalidRequest
        """

    @abc.abstractmethod
    def encode_request(self, request, endpoint, attempt):
        """Give the headers for an endpoint.

        Parameters
        ----------
        request : CallerRequest
        endpoint : routing.Endpoint
        attempt : forwarding.Attempt

        Returns
        -------
        dict
        """

    @abc.abstractmethod
    def decode_answer(self, status, headers):
        """Give the `Answer` of an endpoint.

        Parameters
        ----------
        status : int
        headers : urllib3.HTTPHeaderDict
        """

    @abc.abstractmethod
    def encode_error(self, request_id, error):
        """Give status, headers and body that tell a caller of an error."""


class Installation(msgspec.Struct):
    """All that an adapter brings."""

    endpoints: Source
    table: Source
    leases: LeaseTable
    engines: EngineControl
    codec: Codec
