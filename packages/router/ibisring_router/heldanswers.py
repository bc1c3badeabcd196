"""Answers to keyed requests, held for repeats of the requests.

A repeat with the same Idempotency-Key joins a running answer or gets a copy
of an ended one.
"""

__all__ = ['HeldAnswer', 'HeldAnswers', 'make_answers']

import collections
import threading

from ibisring_records import exceptions
import msgspec

MAX_RUNNING = 2048
MAX_BYTES = 48_000_000
# Memory that an answer and each of its parts take in addition to their text.
ANSWER_OVERHEAD_BYTES = 2000
PART_OVERHEAD_BYTES = 100


class HeldAnswer:
    """The parts of a running or ended answer.

    Parameters
    ----------
    fingerprint : str
        Hash of the request's path and body.
    """

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.parts = []
        self.error = None
        self.ended = False
        self.ended_at = None
        self.changed = threading.Condition()

    def add(self, part):
        """Append a part and wake the threads that follow the answer."""
        with self.changed:
            self.parts.append(part)
            self.changed.notify_all()

    def size(self):
        """Return the approximate memory use in bytes."""
        return ANSWER_OVERHEAD_BYTES + sum(_size(part) for part in self.parts)

    def finish(self, now, error=None):
        """Mark the answer as ended, with an error if it failed."""
        with self.changed:
            self.error = error
            self.ended = True
            self.ended_at = now
            self.changed.notify_all()

    def wait(self, timeout):
        """Wait until the answer has ended; return False after a timeout."""
        with self.changed:
            return self.changed.wait_for(lambda: self.ended, timeout)

    def follow(self, clock, deadline):
        """Yield all parts from the first on, as they are added.

        Raises
        ------
        IbisringError
            The answer's own error, or `OutcomeUnknown` at the deadline.
        """
        index = 0
        while True:
            with self.changed:
                self.changed.wait_for(
                    lambda: len(self.parts) > index or self.ended,
                    max(0.0, deadline - clock()),
                )
                batch = self.parts[index:]
                ended = self.ended
            index += len(batch)
            yield from batch
            if batch:
                continue
            if ended and self.error is not None:
                raise self.error
            if ended:
                return
            raise exceptions.OutcomeUnknown(
                'the first copy still runs at the deadline'
            )


class HeldAnswers:
    """The answers that this router holds.

    Parameters
    ----------
    window : float
        Seconds for which an ended answer is kept.
    clock : callable
    max_bytes : int
        Bound on the memory of ended answers.

    Notes
    -----
    The number of ended answers is not bounded: in a storm more alerts arrive
    within the window than any fixed bound, and refusing them would delay
    them.  Instead the oldest ended answers are dropped.  The claims to their
    keys remain, so a repeat gets outcome `unknown` and does not run.
    """

    def __init__(self, window, clock, max_bytes=MAX_BYTES):
        self.window = window
        self.clock = clock
        self.max_bytes = max_bytes
        self.lock = threading.Lock()
        self.running = {}
        # In order of the time at which they ended.
        self.ended = collections.OrderedDict()
        self.ended_bytes = 0

    def get_or_create(self, key, fingerprint):
        """Return the answer held under a key, created if there is none.

        Returns
        -------
        tuple of (HeldAnswer, bool)
            The flag is True if it was created: the caller must then produce
            its parts and call `finish`.

        Raises
        ------
        IdempotencyKeyReused
        Overloaded
            Too many answers are running.
        """
        with self.lock:
            self._drop_old_answers()
            held = self._find(key)
            if held is not None:
                check_fingerprint(held.fingerprint, fingerprint)
                return held, False
            if len(self.running) >= MAX_RUNNING:
                raise exceptions.Overloaded(
                    'too many keyed requests run',
                    retry_after=1.0,
                )
            held = self.running[key] = HeldAnswer(fingerprint)
            return held, True

    def _find(self, key):
        return self.running.get(key) or self.ended.get(key)

    def get(self, key):
        """Return the answer held under a key, or None."""
        with self.lock:
            return self._find(key)

    def finish(self, key, held, error=None):
        """Mark a running answer as ended, and keep it for repeats."""
        held.finish(self.clock(), error)
        with self.lock:
            if self.running.get(key) is held:
                del self.running[key]
                self.ended[key] = held
                self.ended_bytes += held.size()
                self._drop_old_answers()

    def discard(self, key):
        """Drop a running answer; its key may be used again."""
        with self.lock:
            self.running.pop(key, None)

    def _drop_old_answers(self):
        """Drop ended answers older than the window or beyond `max_bytes`."""
        now = self.clock()
        while self.ended:
            oldest = next(iter(self.ended.values()))
            expired = now - oldest.ended_at >= self.window
            if not expired and self.ended_bytes <= self.max_bytes:
                return
            self.ended.popitem(last=False)
            self.ended_bytes -= oldest.size()


def _size(part):
    text = part if isinstance(part, str) else msgspec.json.encode(part)
    return PART_OVERHEAD_BYTES + len(text)


def check_fingerprint(held, given):
    """Refuse a key that was used for a different request.

    Raises
    ------
    IdempotencyKeyReused
    """
    if held != given:
        raise exceptions.IdempotencyKeyReused(
            'the Idempotency-Key was used for another request'
        )


def make_answers(window, clock):
    """Make the store of held answers of a router."""
    return HeldAnswers(window, clock)
