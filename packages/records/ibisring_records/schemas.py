"""Schemas v1 and v2 of the record kinds that operators submit.

The rest of the system uses the v2 classes.  The v1 classes exist only for
decoding and encoding (see `ibisring_records.conversion`).  Decoding checks
types and rejects unknown fields with an error that names the field.
"""

__all__ = [
    'ModelV1',
    'ModelV2',
    'VersionV1',
    'VersionV2',
    'AdapterV1',
    'AdapterV2',
    'AccountV1',
    'AccountV2',
    'PriorityV1',
    'PriorityV2',
    'EndpointV1',
    'EndpointV2',
    'Objective',
    'SCHEMAS',
    'KINDS',
    'LATEST_SCHEMA',
    'EndpointState',
]

import enum
from typing import Annotated

import msgspec

LATEST_SCHEMA = 'v2'

Count = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Rate = Annotated[float, msgspec.Meta(ge=0.0)]
Address = Annotated[
    str, msgspec.Meta(pattern=r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$')
]
Hash = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}$')]


class EndpointState(enum.StrEnum):
    """Whether an endpoint may be given new requests."""

    SERVING = 'serving'
    LEAVING = 'leaving'


class Role(enum.StrEnum):
    """When a serving endpoint is given requests.

    A standby holds its layers, but is used only while no active endpoint
    with the same layers is usable.
    """

    ACTIVE = 'active'
    STANDBY = 'standby'


class OrderKind(enum.StrEnum):
    """Kinds of orders to an engine; each states the desired end state."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ADAPTERS = 'adapters'
    ROLE = 'role'


class Objective(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A service-level objective.

    `target` is the share of requests answered completely within `bound_ms`.
    """

    target: Share
    bound_ms: Positive


class ModelV1(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    layers: Positive


class ModelV2(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A model of `layers` layers, numbered from 0."""

    layers: Positive
    default_version: str = ''
    context_tokens: Positive = 8192
    objective: Objective | None = None


class VersionV1(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    model: str
    weights: str


class VersionV2(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A model version; `weights` is its key in the weight store."""

    model: str
    weights: str
    megabytes_per_layer: Positive = 64


class AdapterV1(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    model: str
    weights: str


class AdapterV2(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An adapter for one version of a model ('' for any version)."""

    model: str
    weights: str
    version: str = ''


class AccountV1(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    key_sha256: Hash
    tokens_per_second: Rate = 0.0


class AccountV2(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A client account.

    `weight` is its weight in fair queueing, `tokens_per_second` its limit
    over all routers (0 for none), `priorities` the priority classes that it
    may request (empty for all).  An `operator` account may submit and read
    records.
    """

    key_sha256: Hash
    tokens_per_second: Rate = 0.0
    weight: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0
    priorities: tuple[str, ...] = ()
    operator: bool = False
    objective: Objective | None = None


class PriorityV1(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    rank: Count


class PriorityV2(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A priority class; lower `rank` is served first.

    `reserved_share` is the share of each endpoint's concurrency that only
    this class and more urgent ones may use.
    """

    rank: Count
    reserved_share: Share = 0.0
    deadline_ms: Positive = 60_000
    objective: Objective | None = None


class EndpointV1(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A v1 endpoint: `layers` is 'FIRST-LAST', `drain` starts draining."""

    url: str
    zone: str
    model: str = ''
    version: str = ''
    layers: str = ''
    service: str = ''
    drain: bool = False


class EndpointV2(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An endpoint: a model engine (`model` set) or a plain service.

    Layers are numbered from `first_layer` to `last_layer`, inclusive.
    `slots` is the number of requests it runs at once.  `checks_fencing`
    states that it rejects orders with an old fencing token.
    """

    address: Address
    failure_domain: str
    model: str = ''
    version: str = ''
    first_layer: Count = 0
    last_layer: Count = 0
    service: str = ''
    state: EndpointState = EndpointState.SERVING
    slots: Positive = 8
    accelerator: str = ''
    checks_fencing: bool = False
    adapters: tuple[str, ...] = ()
    role: Role = Role.ACTIVE


SCHEMAS = {
    ('model', 'v1'): ModelV1,
    ('model', 'v2'): ModelV2,
    ('version', 'v1'): VersionV1,
    ('version', 'v2'): VersionV2,
    ('adapter', 'v1'): AdapterV1,
    ('adapter', 'v2'): AdapterV2,
    ('account', 'v1'): AccountV1,
    ('account', 'v2'): AccountV2,
    ('priority', 'v1'): PriorityV1,
    ('priority', 'v2'): PriorityV2,
    ('endpoint', 'v1'): EndpointV1,
    ('endpoint', 'v2'): EndpointV2,
}

KINDS = ('model', 'version', 'adapter', 'account', 'priority', 'endpoint')
