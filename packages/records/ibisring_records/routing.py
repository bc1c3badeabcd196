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

from ibisring_records import received
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

    service: received.Name
    weight: received.Number


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A host and path prefix, and how requests to it are handled.

    `timeout`, `objective` and `longest_pause` are in seconds.
    `longest_pause` is the objective for the pause between two events of a
    stream, 0 for none.  `most_endpoints` is the maximum number of endpoints
    that one request is sent to.
    """

    name: received.Name
    host: received.Text
    prefix: received.Text
    kind: RequestKind
    timeout: received.Number
    objective: received.Number
    priority: received.Integer = 0
    targets: tuple[Target, ...] = ()
    most_endpoints: received.Integer = 1
    public: bool = False
    resumable: bool = False
    longest_pause: received.Number = 0.0

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class Card(msgspec.Struct, frozen=True):
    """A type of accelerator card: memory in MB, and time factors."""

    name: received.Name
    memory_mb: received.Number
    step_factor: received.Number
    prefill_factor: received.Number


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """The model that the engines of a service run.

    `token_mb` is the KV cache size of one token over all layers,
    `load_seconds` the time to load all layers, `prefill_rate` in tokens per
    second on a card of factor 1, `activation_mb` the data that a token
    transfers between two stages.  `domain_link_mbps` is the rate of a link
    between two failure domains in Mbit/s, 0 if it is unknown.
    """

    layers: received.Layer
    layer_mb: received.Size
    token_mb: received.Size
    slots: received.Count
    step_seconds: received.Number
    prefill_rate: received.Number
    load_seconds: received.Number
    loads_at_once: received.Integer
    activation_mb: received.Number
    mean_prompt: received.Number
    mean_answer: received.Number
    cards: tuple[Card, ...]
    domain_link_mbps: received.Number = 0.0

    def card(self, name):
        """Return a type of card by its name, or None."""
        for card in self.cards:
            if card.name == name:
                return card
        return None


class Service(msgspec.Struct, frozen=True):
    """Interchangeable endpoints; `model` is None for a plain service."""

    name: received.Name
    most_connections: received.Integer
    model: Model | None = None

    def fits(self, holding):
        """Return whether the service's model has the layers of a range.

        Parameters
        ----------
        holding : Holding or None
        """
        if holding is None or self.model is None:
            return True
        return 0 <= holding.first <= holding.end <= self.model.layers


class Account(msgspec.Struct, frozen=True):
    """A client account and the keys that identify it."""

    name: received.Name
    keys: tuple[received.Text, ...]
    priority: received.Integer | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    header_bytes: received.Count = 16384
    body_bytes: received.Count = 4194304
    header_timeout: received.Number = 3.0
    idle_timeout: received.Number = 15.0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; versions only increase.

    `accounts` is None if requests carry no key.
    """

    version: received.Count
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] | None = None
    limits: CallerLimits = CallerLimits()


class Holding(msgspec.Struct, frozen=True):
    """Range of layers that an engine holds: `first` to `end`, exclusive."""

    first: received.Layer
    end: received.Layer

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

    id: received.Identifier
    service: received.Name
    address: received.Address
    failure_domain: received.Name
    state: EndpointState = EndpointState.READY
    slots: received.Count = 0
    card: received.Name = ''
    holding: Holding | None = None
    started: received.Count = 0
