"""Configuration for forwarding: routes, services, accounts, limits.

These types are independent of any platform.  An adapter decodes the
operator's configuration into them, so no other module depends on its format.
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
    """Whether and how a request may be retried."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class EndpointState(enum.StrEnum):
    """Whether an endpoint accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


class Target(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A host and path prefix, and how requests to it are handled.

    `timeout`, `objective` and `longest_pause` are in seconds.
    `longest_pause` is the objective for the pause between two events of a
    stream, 0 for none.  `most_endpoints` is the maximum number of endpoints
    that one request is sent to.
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
    """A type of accelerator card: memory in MB, and time factors."""

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """The model that the engines of a service run.

    `token_mb` is the KV cache size of one token over all layers,
    `load_seconds` the time to load all layers, `prefill_rate` in tokens per
    second on a card of factor 1, `activation_mb` the data that a token
    transfers between two stages.  `domain_link_mbps` is the rate of a link
    between two failure domains in Mbit/s, 0 if it is unknown.
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
    domain_link_mbps: float = 0.0

    def card(self, name):
        """Return a type of card by its name, or None."""
        for card in self.cards:
            if card.name == name:
                return card
        return None


class Service(msgspec.Struct, frozen=True):
    """Interchangeable endpoints; `model` is None for a plain service."""

    name: str
    most_connections: int
    model: Model | None = None


class Account(msgspec.Struct, frozen=True):
    """A client account and the keys that identify it."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; versions only increase.

    `accounts` is None if requests carry no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] | None = None
    limits: CallerLimits = CallerLimits()


class Holding(msgspec.Struct, frozen=True):
    """Range of layers that an engine holds: `first` to `end`, exclusive."""

    first: int
    end: int

    @property
    def count(self):
        """Number of layers."""
        return self.end - self.first


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint, as described by its own entry.

    `started` is the time of its start in Unix milliseconds, 0 if unknown.
    It distinguishes process runs under one id: a restarted engine holds no
    layers.
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
