"""What is in force for forwarding: routes, services, accounts, limits.

These are the product's own types.  An adapter decodes whatever an operator
writes into them, so that no other module knows how it is spelled there.
"""

__all__ = [
    'RequestKind',
    'EndpointState',
    'Target',
    'Route',
    'Card',
    'Model',
    'Service',
    'Account',
    'CallerLimits',
    'RoutingTable',
    'Holding',
    'Endpoint',
]

import enum

import msgspec


class RequestKind(enum.StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class EndpointState(enum.StrEnum):
    """Whether an endpoint takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'


class Target(msgspec.Struct, frozen=True):
    """A service that a route sends a share of its requests to."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A host and path prefix, and how its requests are treated.

    `timeout`, `objective` and `longest_pause` are in seconds.
    `most_endpoints` bounds how many endpoints one request is sent to.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    priority: int = 0
    targets: tuple[Target, ...] = ()
    most_endpoints: int = 1
    public: bool = False
    resumable: bool = False
    longest_pause: float = 0.0

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class Card(msgspec.Struct, frozen=True):
    """A kind of accelerator: memory in MB, and time factors."""

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """What the engines of a service run.

    `token_mb` is the KV cache of one token over all layers; `load_seconds`
    the time to load all layers; `prefill_rate` tokens a second on a card of
    factor 1; `activation_mb` what a token moves between two stages.
    """

    layers: int
    layer_mb: float
    token_mb: float
    slots: int
    step_seconds: float
    prefill_rate: float
    load_seconds: float
    loads_at_once: int
    activation_mb: float
    mean_prompt: float
    mean_answer: float
    cards: tuple[Card, ...]

    def card(self, name):
        """Give a kind of card by its name, or None."""
        for each in self.cards:
            if each.name == name:
                return each
        return None


class Service(msgspec.Struct, frozen=True):
    """Endpoints that are alike; `model` is None for a plain service."""

    name: str
    most_connections: int
    model: Model | None = None


class Account(msgspec.Struct, frozen=True):
    """A client account and the keys that identify it."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on what callers send; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; versions only grow.

    `accounts` is None where requests carry no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] | None = None
    limits: CallerLimits = CallerLimits()


class Holding(msgspec.Struct, frozen=True):
    """Layers that an engine holds: from `first` up to, without, `end`."""

    first: int
    end: int

    @property
    def count(self):
        """Number of layers."""
        return self.end - self.first


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint as it describes itself.

    `started` tells two runs under one id apart: Unix milliseconds of its
    start, 0 if not told.  A restarted engine holds nothing.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    state: EndpointState = EndpointState.READY
    slots: int = 0
    card: str = ''
    holding: Holding | None = None
    started: int = 0
