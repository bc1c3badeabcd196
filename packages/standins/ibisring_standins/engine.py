"""A simulated model engine that runs a range of layers, without HTTP.

The "model" is a chain of hashes: each layer hashes its number into the
activation, and the final activation selects a word.  Omitting, repeating or
swapping a layer changes the word, so a response is correct only if every
layer ran once and in order for each of its tokens.
"""

__all__ = [
    'Step',
    'Begin',
    'BeginReply',
    'LayerRun',
    'StageEngine',
    'make_engine',
    'initial_state',
    'run_layers',
    'token_text',
    'expected_tokens',
]

import heapq
import itertools
import threading

from ibisring_backing import engines
from ibisring_records import exceptions
from ibisring_records import schemas
from ibisring_standins import faults
import msgspec
import xxhash

VOCABULARY = (
    'arroz caldo sal horno masa pan queso leche huevo trigo '
    'nuez miel ajo oliva tomate pimiento judia garbanzo cebolla laurel'
).split()


class Begin(msgspec.Struct):
    """Starts an attempt at one stage.

    `position` is that of the first token to generate; `prefill` is the
    number of tokens before it.  `cache_source` is the address of an engine
    from which the KV cache can be copied.
    """

    request: str
    attempt: int
    position: int
    prefill: int
    first_layer: int
    last_layer: int
    cache_source: str = ''


class BeginReply(msgspec.Struct):
    """Response to `Begin`; `warm` is whether the stage has the KV cache."""

    warm: bool
    endpoint: str


class Step(msgspec.Struct):
    """Runs a stage for one token; `state` is the activation."""

    request: str
    attempt: int
    position: int
    first_layer: int
    last_layer: int
    state: int


class LayerRun(msgspec.Struct, frozen=True):
    """A ledger entry: a stage ran its range for one token."""

    request: str
    attempt: int
    position: int
    first_layer: int
    last_layer: int
    endpoint: str


class _Sequence(msgspec.Struct):
    """The KV cache of a request at this stage."""

    attempt: int
    next_position: int


def initial_state(prompt, tokens):
    """Return the input activation of layer 0."""
    return xxhash.xxh64_intdigest('\0'.join([prompt, *tokens]).encode())


def run_layers(state, first, last):
    """Run layers `first` to `last`, both included."""
    for layer in range(first, last + 1):
        state = xxhash.xxh64_intdigest(state.to_bytes(8, 'big'), seed=layer)
    return state


def token_text(state):
    """Return the token that a final activation selects."""
    return VOCABULARY[state % len(VOCABULARY)] + ' '


def expected_tokens(prompt, layers, count):
    """Return the tokens of the correct response.

    Examples
    --------
    >>> len(expected_tokens('pan', 12, 5))
    5
    """
    tokens = []
    for _ in range(count):
        state = initial_state(prompt, tokens)
        tokens.append(token_text(run_layers(state, 0, layers - 1)))
    return tokens


class Slots:
    """Concurrency slots, granted by rank, then in order of arrival."""

    def __init__(self, count, max_waiting):
        self.count = count
        self.max_waiting = max_waiting
        self.running = 0
        self.waiting = []
        self.condition = threading.Condition()
        self.arrival_numbers = itertools.count()

    def acquire(self, rank, timeout):
        """Wait for a slot; False on a timeout or if the queue is full."""
        entry = (rank, next(self.arrival_numbers))
        with self.condition:
            if self.running >= self.count:
                if len(self.waiting) >= self.max_waiting:
                    return False
            heapq.heappush(self.waiting, entry)
            granted = self.condition.wait_for(
                lambda: self.waiting[0] == entry and self.running < self.count,
                timeout,
            )
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
            if granted:
                self.running += 1
            self.condition.notify_all()
            return granted

    def release(self):
        """Release a slot."""
        with self.condition:
            self.running -= 1
            self.condition.notify_all()


class StageEngine:
    """One engine: its layers, KV caches, orders and faults.

    Attributes
    ----------
    ledger : list of LayerRun
        Everything that ran, for tests.
    refused_count : int
        Invalid messages that were refused.
    """

    def __init__(self, status, checks_fencing):
        self.status = status
        self.checks_fencing = checks_fencing
        self.faults = faults.EngineFaults()
        self.sequences = {}
        self.ledger = []
        self.keep_ledger = True
        self.refused_count = 0
        self.lock = threading.Lock()

    def begin(self, begin, import_cache=None):
        """Start an attempt; refuse a wrong range or an outdated attempt.

        Parameters
        ----------
        begin : Begin
        import_cache : callable or None
            Maps an address and a request to the position up to which the
            engine there has the KV cache.

        Returns
        -------
        BeginReply

        Raises
        ------
        PlanInvalid
        """
        with self.lock:
            self._check_range(begin.first_layer, begin.last_layer)
            sequence = self.sequences.get(begin.request)
            if sequence is not None and sequence.attempt > begin.attempt:
                self._refuse(f'attempt {begin.attempt} is old')
        warm = (
            sequence is not None and sequence.next_position >= begin.position
        )
        if not warm and begin.cache_source and import_cache is not None:
            copied = import_cache(begin.cache_source, begin.request)
            warm = copied is not None and copied >= begin.position
        with self.lock:
            self.sequences[begin.request] = _Sequence(
                begin.attempt, begin.position
            )
        return BeginReply(warm or begin.prefill == 0, self.status.endpoint)

    def step(self, step):
        """Run this stage's layers for one token.

        Returns
        -------
        int
            The output activation of the stage.

        Raises
        ------
        PlanInvalid
            On a wrong range, attempt or position; no layer ran.
        EndpointFailed
        """
        with self.lock:
            self._check_range(step.first_layer, step.last_layer)
            sequence = self.sequences.get(step.request)
            if sequence is None or sequence.attempt != step.attempt:
                self._refuse(f'attempt {step.attempt} is not the one here')
            if sequence.next_position != step.position:
                self._refuse(
                    f'position {step.position}, not {sequence.next_position}'
                )
            self._fail_if_due(step.position)
            sequence.next_position += 1
            if self.keep_ledger:
                self.ledger.append(self._entry(step))
        return run_layers(step.state, step.first_layer, step.last_layer)

    def _entry(self, step):
        return LayerRun(
            step.request,
            step.attempt,
            step.position,
            step.first_layer,
            step.last_layer,
            self.status.endpoint,
        )

    def _check_range(self, first, last):
        status = self.status
        if not status.loaded:
            self._refuse('nothing is loaded')
        if (first, last) != (status.first_layer, status.last_layer):
            self._refuse(
                f'layers {first}-{last} asked, '
                f'{status.first_layer}-{status.last_layer} held'
            )

    def _refuse(self, detail):
        self.refused_count += 1
        raise exceptions.PlanInvalid(f'{self.status.endpoint}: {detail}')

    def _fail_if_due(self, position):
        switches = self.faults
        if switches.die_at >= 0 and position >= switches.die_at:
            if switches.dies > 0:
                switches.dies -= 1
                raise exceptions.EndpointFailed(
                    f'{self.status.endpoint} died at position {position}'
                )

    def drop_cache(self, request, attempt):
        """Drop an attempt's KV cache."""
        with self.lock:
            sequence = self.sequences.get(request)
            if sequence is not None and sequence.attempt == attempt:
                del self.sequences[request]

    def cached_position(self, request):
        """Return the position up to which a request is cached, or None."""
        with self.lock:
            sequence = self.sequences.get(request)
            return None if sequence is None else sequence.next_position

    def order(self, order):
        """Execute an order; repeating one changes nothing.

        Raises
        ------
        StaleOrder
            If the engine checks fencing and the order's number is too old.
        """
        with self.lock:
            if self.checks_fencing and order.fencing < self.status.fencing:
                raise exceptions.StaleOrder(
                    f'fencing {order.fencing} is below {self.status.fencing}',
                    held=self.status.fencing,
                )
            self.status.fencing = max(order.fencing, self.status.fencing)
            self.status.order = order.id
            self._apply(order)
            return msgspec.structs.replace(self.status)

    def _apply(self, order):
        status = self.status
        status.role = order.role
        if order.kind is schemas.OrderKind.UNLOAD:
            status.loaded = False
            status.model = status.version = ''
            status.adapters = []
            return
        status.adapters = list(order.adapters)
        if order.kind is schemas.OrderKind.LOAD:
            status.model = order.model
            status.version = order.version
            status.first_layer = order.first_layer
            status.last_layer = order.last_layer
            status.loaded = True


def make_engine(name, spec, loaded=True, checks_fencing=None):
    """Make an engine for an endpoint record.

    Parameters
    ----------
    name : str
    spec : schemas.EndpointV2
    loaded : bool
        Whether the layers are loaded at the start.
    """
    if checks_fencing is None:
        checks_fencing = spec.checks_fencing
    status = engines.EngineStatus(
        endpoint=name,
        model=spec.model if loaded else '',
        version=spec.version if loaded else '',
        first_layer=spec.first_layer,
        last_layer=spec.last_layer,
        loaded=loaded,
        loading=False,
        adapters=list(spec.adapters) if loaded else [],
        load=engines.EngineLoad(0, 0, spec.slots),
        role=spec.role.value,
    )
    return StageEngine(status, checks_fencing)
