"""Running keyed requests once, and answering their repeats."""

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

LONGEST_WAIT = 2.0
ASK_PAUSE = 0.1
MOST_WAITING = 4

# What parts of an answer look like between routers.
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

    def scope(self):
        """Give the key as it is claimed: keys of accounts don't mix."""
        text = f'{self.account}\0{self.key}'
        return xxhash.xxh128_hexdigest(text.encode())

    def fingerprint(self):
        """Give what tells another request under the same key apart."""
        data = self.path.encode() + b'\0' + self.body
        return xxhash.xxh128_hexdigest(data)


class KeyedRunner:
    """Runs keyed requests in threads of their own.

    A caller that leaves does not end such a run: its repeat joins it.

    Parameters
    ----------
    answers : heldanswers.HeldAnswers
    claims : claiming.Claims
    limiter : requestlimiter.RequestLimiter
    metrics : metrics.Metrics
    owner : callable
        Gives the 'IP:PORT' where peers ask this router.
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
        self.waiting = threading.BoundedSemaphore(MOST_WAITING)

    def run(self, request, start):
        """Yield the parts of the one answer to a key.

        Parameters
        ----------
        request : KeyedRequest
        start : callable
            Gives an iterator of parts; called at most once per key.

        Raises
        ------
        IbisringError
        """
        key = request.scope()
        held, mine = self.answers.open(key, request.fingerprint())
        if mine:
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
            except claiming.HeldElsewhere as elsewhere:
                claim = None
                error = self._join(held, request, elsewhere.holder)
            except exceptions.IbisringError as raised:
                error = raised
            except Exception as raised:
                # Whoever follows would otherwise wait for ever.
                error = exceptions.OutcomeUnknown(repr(raised))
            if error is not None:
                self._forget_if_not_run(key, claim, error)
            self.answers.end(key, held, error)

    def _forget_if_not_run(self, key, claim, error):
        """Free the key after a refusal, so that a repeat may run."""
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

    def _join(self, held, request, holder):
        """Give a repeat the answer that another router holds.

        Returns
        -------
        IbisringError or None
            What the repeat is told if there is no whole answer.
        """
        self.metrics.count('keyed.held_elsewhere')
        try:
            heldanswers.check_fingerprint(
                holder.fingerprint, request.fingerprint()
            )
        except exceptions.IdempotencyKeyReused as error:
            return error
        view = self._ask_until_ended(request, holder)
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

    def _ask_until_ended(self, request, holder):
        """Ask a claim's owner until its answer ended; None if it can't be.

        A claim of this router's own address, without its answer here, was
        a former process's, and nobody is left to ask.
        """
        if holder.owner == self.owner():
            return None
        while True:
            left = request.deadline - self.clock()
            view = self.claims.query_owner(holder, min(LONGEST_WAIT, left))
            if view is None or view.state is not claiming.HeldState.RUNNING:
                return view
            if left <= ASK_PAUSE:
                return view
            self.sleep(ASK_PAUSE)

    def view(self, key, wait):
        """Give a held answer as a peer may join it.

        Only a few peers may wait here at a time: each holds a control
        thread, and with none left this router would be taken for dead.
        """
        held = self.answers.get(key)
        if held is None:
            return claiming.HeldView(claiming.HeldState.ABSENT)
        if not self.waiting.acquire(blocking=False):
            return claiming.HeldView(
                claiming.HeldState.RUNNING, held.fingerprint
            )
        try:
            ended = held.wait(min(wait, LONGEST_WAIT))
        finally:
            self.waiting.release()
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
