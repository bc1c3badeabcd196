"""What callers and endpoints saw during a run."""

__all__ = ['Call', 'Run', 'Notice', 'LimitSpan', 'History']

import msgspec


class Call(msgspec.Struct):
    """A caller's request and its answer; times are monotonic seconds.

    `route` names the added route that it is for, if any;
    `status` is 0 if no answer came; `whole` that the answer ended as its
    framing says; `words` the data of a stream's events.
    """

    id: str
    kind: str
    router: str
    key: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    signed: bool = False
    answered_id: str = ''
    body: bytes = b''
    words: list[str] = []
    length: int = 0
    gave_up: bool = False
    route: str = ''


class Run(msgspec.Struct, frozen=True):
    """A request that an endpoint began to work on.

    `after` is the event after which a stream goes on; `account` the client
    account that the endpoint was told; `chain` the layer ranges in order.
    """

    request: str
    endpoint: str
    at: float
    after: int = 0
    account: str = ''
    chain: tuple[tuple[int, int], ...] = ()


class Notice(msgspec.Struct, frozen=True):
    """Something that routers must follow from a moment on.

    `kind` is 'draining' with an endpoint's id, 'revoked' with a key, or
    'added' with a route's name.
    """

    kind: str
    name: str
    at: float


class LimitSpan(msgspec.Struct, frozen=True):
    """A time in which an endpoint named a rate in requests a second."""

    endpoint: str
    rate: float
    begun: float
    ended: float


class History(msgspec.Struct):
    """All that was seen, and when what was disturbed.

    `disturbed` holds spans of seconds in which something other than planned
    work went wrong, by what it struck: 'router NAME', 'store', 'callers' or
    'endpoints'.  `ended` holds, for each termination, the router, the moment
    of the signal, and the seconds until the process was gone; `ends` when
    endpoints ended under the bad request.
    """

    calls: list[Call] = []
    runs: list[Run] = []
    notices: list[Notice] = []
    disturbed: list[tuple[str, float, float]] = []
    ended: list[tuple[str, float, float]] = []
    ends: list[float] = []
    limits: list[LimitSpan] = []
    overloaded: list[str] = []
    crashed: list[str] = []
    calm_from: float = 0.0
    layers: int = 0
    grace: float = 0.0
