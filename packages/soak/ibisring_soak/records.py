"""Records of what callers and endpoints observed during a run."""

__all__ = [
    'Call',
    'Run',
    'Arrival',
    'StoreChange',
    'LimitSpan',
    'Leave',
    'HalfRequest',
    'Relay',
    'History',
    'Violation',
    'EXIT_SLACK_SECONDS',
    'ONCE_KINDS',
    'PLAIN_KINDS',
    'STREAM_KINDS',
]

import msgspec

# Kinds of routes whose answers are streams or not, and whose requests run at
# most once; streams of the kind 'single' may not be resumed.
STREAM_KINDS = ('stream', 'single')
PLAIN_KINDS = ('once', 'safe')
ONCE_KINDS = ('once', 'single')
# Allowance beyond the grace time, for the operating system to reap a process.
EXIT_SLACK_SECONDS = 1.0


class Call(msgspec.Struct):
    """A request of a caller and its response; times are monotonic seconds.

    `route` is the name of the added route that it uses, if any.  `status` is
    0 if there was no response.  `complete` is whether the body ended as its
    framing declares.  `response_id` is the request id in the response.
    `events` is the data of a stream's events, `expected_events` their number.
    `abandoned` is whether the caller closed the connection or timed out.
    """

    id: str
    kind: str
    router: str
    key: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    signed: bool = False
    response_id: str = ''
    body: bytes = b''
    events: list[str] = []
    expected_events: int = 0
    abandoned: bool = False
    route: str = ''


class Run(msgspec.Struct, frozen=True):
    """The start of a request at an endpoint.

    `after` is the event after which a stream resumes; `account` the client
    account passed to the endpoint; `chain` the layer ranges in order.
    """

    request: str
    endpoint: str
    at: float
    after: int = 0
    account: str = ''
    chain: tuple[tuple[int, int], ...] = ()


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached an endpoint, whether or not it ran.

    `backoff` is the seconds for which the endpoint asked to be spared as it
    turned the request away, 0 if it did not.
    """

    request: str
    endpoint: str
    at: float
    backoff: float = 0.0


class Relay(msgspec.Struct, frozen=True):
    """A request that a router handed over, to the router `carrier`."""

    request: str
    carrier: str
    at: float


class StoreChange(msgspec.Struct, frozen=True):
    """A change in the store that routers must apply.

    `kind` is 'draining' with an endpoint's id, 'revoked' with a key, or
    'added' with a route's name.
    """

    kind: str
    name: str
    at: float


class LimitSpan(msgspec.Struct, frozen=True):
    """The time during which an endpoint declared a limit.

    `rate` is in requests per second.
    """

    endpoint: str
    rate: float
    start: float
    end: float


class Leave(msgspec.Struct, frozen=True):
    """An endpoint that says in its answers from `at` on that it leaves."""

    endpoint: str
    at: float


class HalfRequest(msgspec.Struct, frozen=True):
    """A request whose body never arrived whole.

    `is_ended` is whether it was answered or its connection closed until
    `ended_at`, `is_typed` whether an answer was an error with a code.
    """

    id: str
    router: str
    sent_at: float
    ended_at: float
    is_ended: bool
    is_typed: bool


class History(msgspec.Struct):
    """All observations of a run, and its disruptions.

    `disruptions` holds target, start and end of each unplanned fault; targets
    are 'router NAME', 'store', 'callers' and 'endpoints'.  `terminations`
    holds, for each SIGTERM, the router, the time of the signal, and the
    seconds until the process had exited.  `endpoint_crashes` holds when
    endpoints crashed on the poison request, `crashes_until_known` how many
    may do so until all routers refuse it.  `crashes` holds the processes that
    exited unexpectedly.  `layers` is the number of layers of the model.
    `is_sound` is whether all endpoints go on with what they have begun.
    `recovery_seconds` is the time from the end of all faults until requests
    are served as before.  `closed_channels` counts the kept connections that
    the first router closed while they were idle.  `finished` holds when an
    endpoint had sent all events of a stream, by request id.
    """

    calls: list[Call] = []
    runs: list[Run] = []
    arrivals: list[Arrival] = []
    relays: list[Relay] = []
    store_changes: list[StoreChange] = []
    disruptions: list[tuple[str, float, float]] = []
    terminations: list[tuple[str, float, float]] = []
    endpoint_crashes: list[float] = []
    crashes_until_known: int = 3
    limits: list[LimitSpan] = []
    leaves: list[Leave] = []
    overloaded: list[str] = []
    crashes: list[str] = []
    faults_ended_at: float = 0.0
    layers: int = 0
    grace_seconds: float = 0.0
    is_sound: bool = False
    recovery_seconds: float = 12.0
    closed_channels: int = 0
    half_requests: list[HalfRequest] = []
    finished: dict[str, float] = {}


class Violation(msgspec.Struct, frozen=True):
    """A violated guarantee."""

    guarantee: str
    request: str
    detail: str
