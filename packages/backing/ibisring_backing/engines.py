"""What the router and a model engine say to each other.

A plan travels with the request.  The router sends it to the engine of the
first layers (the head); the stages pass activations over their own links,
the last layer's token returns to the head, and the head streams tokens to
the router.  Every message names its request, attempt and position.
"""

__all__ = [
    'Stage',
    'GenerateOrder',
    'TokenEvent',
    'FinishEvent',
    'FailureEvent',
    'ResumeRequest',
    'CancelRequest',
    'EngineLoad',
    'EngineStatus',
    'EngineOrder',
    'OrderReport',
    'FINISH_LENGTH',
    'STAGE_LOST',
    'ENGINE_FAILED',
    'LOAD_HEADER',
]

from ibisring_records import schemas
import msgspec

FINISH_LENGTH = 'length'
STAGE_LOST = 'stage_lost'
ENGINE_FAILED = 'engine_failed'
LOAD_HEADER = 'Ibisring-Load'


class Stage(msgspec.Struct, frozen=True):
    """One step of a chain: layers `first_layer` to `last_layer`, both in."""

    endpoint: str
    address: str
    first_layer: int
    last_layer: int


class GenerateOrder(msgspec.Struct):
    """Everything an attempt needs.

    `delivered` holds the tokens that the caller already has: the attempt
    prefills prompt and delivered tokens, then goes on at position
    ``len(delivered)``.  `cache_sources` maps an endpoint name to the address
    of an engine that still holds this request's KV cache for its layers.
    """

    request: str
    attempt: int
    model: str
    version: str
    adapter: str
    layers: int
    stages: list[Stage]
    prompt: str
    max_tokens: int
    delivered: list[str] = []
    rank: int = 0
    cache_sources: dict[str, str] = {}


class TokenEvent(msgspec.Struct, tag='token'):
    request: str
    attempt: int
    position: int
    text: str


class FinishEvent(msgspec.Struct, tag='finish'):
    """The end of an attempt; `position` is how many tokens there are."""

    request: str
    attempt: int
    position: int
    reason: str
    prompt_tokens: int = 0
    cached_tokens: int = 0


class FailureEvent(msgspec.Struct, tag='failure'):
    """The attempt can't go on; `endpoint` is the one at fault, if known."""

    request: str
    attempt: int
    position: int
    code: str
    endpoint: str = ''
    detail: str = ''


class ResumeRequest(msgspec.Struct):
    """Asks for the same attempt's events again, from a position."""

    request: str
    attempt: int
    position: int


class CancelRequest(msgspec.Struct):
    request: str
    attempt: int


class EngineLoad(msgspec.Struct):
    """What an engine or service says of its load; it lags."""

    running: int
    waiting: int
    slots: int


class EngineStatus(msgspec.Struct):
    """What an engine reports of itself.

    `role` is empty from an engine that knows none.
    """

    endpoint: str
    model: str
    version: str
    first_layer: int
    last_layer: int
    loaded: bool
    loading: bool
    adapters: list[str]
    load: EngineLoad
    fencing: int = 0
    draining: bool = False
    order: str = ''
    role: str = ''


class EngineOrder(msgspec.Struct):
    """An order; safe to repeat, since it states the wanted end."""

    id: str
    kind: schemas.OrderKind
    fencing: int
    model: str = ''
    version: str = ''
    first_layer: int = 0
    last_layer: int = 0
    weights: str = ''
    adapters: list[str] = []
    role: str = schemas.Role.ACTIVE


class OrderReport(msgspec.Struct):
    order: str
    accepted: bool
    status: EngineStatus
