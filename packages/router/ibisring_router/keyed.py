"""Running requests with an Idempotency-Key once, and answering repeats."""

__all__ = ['KeyedRequest', 'KeyedRunner', 'make_runner']

import threading
import time
from typing import Union

from ibisring_policy import claims as claims_module
from ibisring_records import exceptions
from ibisring_router import claiming
from ibisring_router import generating
from ibisring_router import heldanswers
from ibisring_router import servicecalls
import msgspec
import xxhash

MAX_WAIT_SECONDS = 2.0
QUERY_INTERVAL_SECONDS = 0.1
MAX_WAITING_PEERS = 4

# Types of an answer's parts in a peer's reply.
_PART = Union[generating.Completed, servicecalls.ServiceAnswer, str]


class KeyedRequest(msgspec.Struct):
    """A request that carries an Idempotency-Key."""

    id: str
    account: str
    key: str
    path: str
    body: bytes
    idempotent: bool
    deadline: float

    def claim_key(self):
        """Return the key to claim, distinct for each account."""
        text = f'{self.account}\0{self.key}'
        return xxhash.xxh128_hexdigest(text.encode())

    def fingerprint(self):
        """Return a hash that differs for a different request."""
        data = self.path.encode() + b'\0' + self.body
        return xxhash.xxh128_hexdigest(data)


class KeyedRunner:
    """Runs each keyed request in its own thread.

    The run goes on when its caller disconnects, so that a repeat can join it.

    Parameters
    ----------
    answers : heldanswers.HeldAnswers
    claims : claiming.Claims
    limiter : requestlimiter.RequestLimiter
    metrics : metrics.Metrics
    owner : callable
        Returns the 'IP:PORT' at which peers reach this router.
    clock, sleep : callable
    """

    def __init__(self, answers, claims, limiter, metrics, owner, clock, sleep):
        self.answers = answers
        self.claims = claims
        self.limiter = limiter
        self.metrics = metrics
        self.owner = owner
        self.clock = clock
        self.sleep = sleep
        self.waiting_peers = threading.BoundedSemaphore(MAX_WAITING_PEERS)

    def run(self, request, start):
        """Return an iterator over the parts of the answer to a key.

        Parameters
        ----------
        request : KeyedRequest
        start : callable
            Returns an iterator of parts; called at most once per key.

        Raises
        ------
        IbisringError
        """
        key = request.claim_key()
        held, created = self.answers.get_or_create(key, request.fingerprint())
        if created:
            thread = threading.Thread(
                target=self._produce,
                args=(key, held, request, start),
                daemon=True,
            )
            thread.start()
        else:
            self.metrics.count('keyed.joined')
        return held.follow(self.clock, request.deadline)

    def _produce(self, key, held, request, start):
        error = None
        claim = None
        with self.limiter.track():
            try:
                if not request.idempotent:
                    claim = self._claim(key, request)
                for part in start():
                    held.add(part)
            except claiming.HeldElsewhere as other:
                claim = None
                error = self._copy_answer(held, request, other.holder)
            except exceptions.IbisringError as caught:
                error = caught
            except Exception as caught:
                # Without an end, the callers that follow would wait forever.
                error = exceptions.OutcomeUnknown(repr(caught))
            if error is not None:
                self._free_key_if_not_run(key, claim, error)
            self.answers.finish(key, held, error)

    def _free_key_if_not_run(self, key, claim, error):
        """Free the key of a request that did not run, for a repeat."""
        if error.outcome is not exceptions.Outcome.NOT_RUN:
            return
        self.answers.discard(key)
        if claim is not None:
            self.claims.release(claim)

    def _claim(self, key, request):
        claim = claims_module.Claim(
            key,
            request.id,
            self.owner(),
            request.fingerprint(),
            time.time(),
        )
        self.claims.claim(claim)
        return claim

    def _copy_answer(self, held, request, holder):
        """Copy the answer held by the claim's owner to a repeat.

        Returns
        -------
        IbisringError or None
            The error for the repeat if there is no complete answer.
        """
        self.metrics.count('keyed.held_elsewhere')
        try:
            heldanswers.check_fingerprint(
                holder.fingerprint, request.fingerprint()
            )
        except exceptions.IdempotencyKeyReused as error:
            return error
        view = self._poll_owner(request, holder)
        if view is None or view.state is not claiming.HeldState.ENDED:
            return exceptions.OutcomeUnknown(
                f'router {holder.owner} began it and gives no answer'
            )
        if view.error_code:
            return exceptions.error_from_code(
                view.error_code, view.error_detail
            )
        for part in view.parts:
            held.add(msgspec.json.decode(part, type=_PART))
        return None

    def _poll_owner(self, request, holder):
        """Query a claim's owner until its answer has ended.

        Returns None if the owner can't be reached.  A claim with this
        router's own address but without an answer here was made by a former
        process, so no owner is left to query.
        """
        if holder.owner == self.owner():
            return None
        while True:
            seconds_left = request.deadline - self.clock()
            view = self.claims.query_owner(
                holder, min(MAX_WAIT_SECONDS, seconds_left)
            )
            if view is None or view.state is not claiming.HeldState.RUNNING:
                return view
            if seconds_left <= QUERY_INTERVAL_SECONDS:
                return view
            self.sleep(QUERY_INTERVAL_SECONDS)

    def view(self, key, wait):
        """Return a held answer for a peer, once it ends or after `wait`.

        Only a few peers may wait at a time: each holds a control thread, and
        with none free this router would miss probes and be taken for dead.
        """
        held = self.answers.get(key)
        if held is None:
            return claiming.HeldView(claiming.HeldState.ABSENT)
        if not self.waiting_peers.acquire(blocking=False):
            return claiming.HeldView(
                claiming.HeldState.RUNNING, held.fingerprint
            )
        try:
            ended = held.wait(min(wait, MAX_WAIT_SECONDS))
        finally:
            self.waiting_peers.release()
        if not ended:
            return claiming.HeldView(
                claiming.HeldState.RUNNING, held.fingerprint
            )
        view = claiming.HeldView(claiming.HeldState.ENDED, held.fingerprint)
        if held.error is not None:
            view.error_code = held.error.code
            view.error_detail = held.error.detail
            return view
        view.parts = [
            msgspec.Raw(msgspec.json.encode(part)) for part in held.parts
        ]
        return view


def make_runner(
    answers,
    claims,
    limiter,
    metrics,
    owner,
    clock=time.monotonic,
    sleep=time.sleep,
):
    """Make the runner of keyed requests."""
    return KeyedRunner(answers, claims, limiter, metrics, owner, clock, sleep)
