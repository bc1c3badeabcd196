"""Interfaces between the gateway and the platform it is deployed on.

A platform adapter implements these classes; the wire formats of the platform
are known to the adapter only.
"""

__all__ = [
    'Page',
    'Removed',
    'HistoryExpired',
    'CallCancelled',
    'ConnectionRefused',
    'ProcessSilent',
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

from ibisring_policy import framing as framing_module
from ibisring_records import exceptions
from ibisring_records import received


class HistoryExpired(exceptions.PlatformUnavailable):
    """The store no longer keeps the changes after a position."""

    code = 'history_gone'
    remedy = 'read everything again'


class CallCancelled(exceptions.PlatformAnswerLost):
    """This router cancelled a call itself, to make another one."""

    code = 'call_ended'


class ConnectionRefused(exceptions.PlatformUnavailable):
    """Nothing listens at an engine's address, or its process has ended."""

    code = 'connection_refused'
    remedy = 'look for the end of the process in the log of its VM'


class ProcessSilent(exceptions.PlatformUnavailable):
    """An engine's host has acknowledged a query that nobody answered."""

    code = 'process_silent'
    remedy = 'look at the load of the VM and at what its process waits for'


class Removed(msgspec.Struct, frozen=True):
    """An entry that was deleted at the store."""

    id: str


class Page(msgspec.Struct):
    """Items read from a source, and the position to continue from.

    Items are `routing.Endpoint`, `routing.RoutingTable` or `Removed`;
    `position` (see `positions`) is what was read up to, `newest_version` that
    of the newest item, 0 if there is none; `read_ms` is what the store's
    clock showed at `position`, in milliseconds, 0 if it did not say.
    """

    position: int
    items: list
    newest_version: int = 0
    read_ms: int = 0


class Source(abc.ABC):
    """A table of the store that is read in full once, then followed."""

    @abc.abstractmethod
    def read_all(self):
        """Return a `Page` of all entries.

        Raises
        ------
        PlatformUnavailable
        """

    @abc.abstractmethod
    def changes(self, position, wait):
        """Return a `Page` of the changes after a position (long poll).

        Parameters
        ----------
        position : int
        wait : float
            Seconds to wait for a change if there is none yet.

        Raises
        ------
        PlatformUnavailable
        PlatformAnswerLost
        HistoryExpired
        CallCancelled
        """

    @abc.abstractmethod
    def cancel_call(self):
        """Cancel the call in progress, from another thread.

        The call raises `CallCancelled`; if none is in progress, the next one
        may raise it.
        """


class RouterRow(msgspec.Struct):
    """A running router, as it registers itself for the others."""

    name: received.Identifier
    address: received.Address
    domain: received.Name
    started: received.Number


class LeaseTable(abc.ABC):
    """Rows of the store that all routers share."""

    @abc.abstractmethod
    def read_lease(self):
        """Return the `layerorders.LeaseRow`, None if there is none yet."""

    @abc.abstractmethod
    def write_lease(self, row):
        """Write the row if its version is still that of `row`.

        Returns
        -------
        layerorders.LeaseRow or None
            The row with its new version; None if another router wrote first.

        Raises
        ------
        PlatformUnavailable
            The row was not written.
        PlatformAnswerLost
            It is unknown whether the row was written.
        """

    @abc.abstractmethod
    def write_router(self, row):
        """Write this router's own row."""

    @abc.abstractmethod
    def read_routers(self):
        """Return all `RouterRow` rows."""


class EngineStatus(msgspec.Struct):
    """An engine's report of its own state; sizes in tokens times layers.

    `orders` counts the orders that it has accepted since its start; `pace`
    is how many times slower than usual it runs.
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
    """Outcome of an order to an engine."""

    BEGUN = 'begun'
    DONE = 'done'
    CONFLICT = 'conflict'
    WRONG = 'wrong'
    STALE = 'stale'
    UNKNOWN = 'unknown'


class EngineControl(abc.ABC):
    """Reads the status of engines and sends them orders.

    Attributes
    ----------
    on_leaving : callable
        Called with an endpoint that says in an answer that it is leaving.
    """

    def __init__(self):
        self.on_leaving = _ignore

    @abc.abstractmethod
    def status(self, endpoint, timeout):
        """Return an `EngineStatus`.

        Parameters
        ----------
        endpoint : routing.Endpoint
        timeout : float
            Seconds.

        Raises
        ------
        ConnectionRefused
            The connection was refused or reset.
        ProcessSilent
            The query was acknowledged by the engine's host, and not answered
            in time.
        PlatformUnavailable
            The engine could not be reached or its answer not decoded.
        """

    @abc.abstractmethod
    def place(self, endpoint, holding, expected_orders, token):
        """Order an engine to hold a range of layers.

        Parameters
        ----------
        endpoint : routing.Endpoint
        holding : routing.Holding
        expected_orders : int
            The engine refuses the order if it has accepted more or fewer.
        token : int
            Fencing token: engines that check it refuse a token lower than
            the highest one seen.

        Returns
        -------
        OrderResult
        """

    @abc.abstractmethod
    def repath(self, endpoint, request_id, stages):
        """Move a running request to other stages after the same first one.

        Returns
        -------
        OrderResult
        """


def _ignore(endpoint):
    """Ignore an endpoint; the default of `EngineControl.on_leaving`."""


class CallerRequest(msgspec.Struct, kw_only=True):
    """A caller's request, decoded from its headers.

    `headers` are those to forward.  `time_limit` is in seconds, None if the
    caller set none; `prompt_tokens` and `answer_tokens` are 0 for requests
    to plain services.  `shared_parts` names the parts of its prompt that
    other requests may have as well.
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
    shared_parts: tuple[str, ...] = ()
    body: bytes = b''

    @property
    def path(self):
        """The target without its query string."""
        return self.target.partition('?')[0]


class Answer(msgspec.Struct):
    """The status and headers of an endpoint's answer, decoded.

    `refused` means that the endpoint did not run the request;
    `wrong_endpoint` that the address now belongs to another endpoint;
    `refusing_address` is the address of the stage that caused a refusal.
    `signed` means that the answer carries the endpoint's signature;
    `delimited` that its connection may be used again after it; `framing`
    tells what marks the end of its body.  `limit` is the rate in requests per
    second that the endpoint accepts from all routers together, None if it
    states none; `limit_invalid` means that the stated limit can't be parsed
    as a rate.
    `backoff` is for how many seconds an endpoint that turns a request away
    wants no other from this router, None if it does not say;
    `backoff_invalid` means that what it says can't be parsed as seconds.
    `leaving` means that the endpoint says that it is leaving.
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
    backoff: float | None = None
    backoff_invalid: bool = False
    leaving: bool = False
    framing: framing_module.Framing = framing_module.Framing.LENGTH


class Codec(abc.ABC):
    """Translates requests and answers between their wire form and types."""

    @abc.abstractmethod
    def decode_request(self, method, target, headers):
        """Return a `CallerRequest` without its body.

        Raises
        ------
        InvalidRequest
        """

    @abc.abstractmethod
    def encode_request(self, request, endpoint, attempt):
        """Return the headers of a request to an endpoint.

        Parameters
        ----------
        request : CallerRequest
        endpoint : routing.Endpoint
        attempt : selecting.AttemptMetadata

        Returns
        -------
        dict
        """

    @abc.abstractmethod
    def encode_relayed(self, request, time_left, after_event):
        """Return the headers of a request to another router.

        They are those of the caller, its key among them, but for the time
        that is left and the event after which a stream goes on.

        Parameters
        ----------
        request : CallerRequest
        time_left : float
            Seconds.
        after_event : int or None

        Returns
        -------
        dict
        """

    @abc.abstractmethod
    def decode_answer(self, status, headers, body):
        """Decode the head of an endpoint's answer to an `Answer`.

        Parameters
        ----------
        status : int
        headers : urllib3.HTTPHeaderDict
        body : framing.Body
        """

    @abc.abstractmethod
    def encode_error(self, request_id, error):
        """Return status, headers and body of an error answer to a caller."""


class Installation(msgspec.Struct):
    """The implementations that a platform adapter provides."""

    endpoints: Source
    table: Source
    leases: LeaseTable
    engines: EngineControl
    codec: Codec
