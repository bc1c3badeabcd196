"""Answers held under an Idempotency-Key, to be joined or given again."""

__all__ = ['HeldAnswer', 'HeldAnswers', 'make_answers']

import collections
import threading

from ibisring_records import exceptions
import msgspec

MAX_RUNNING = 2048
MAX_BYTES = 48_000_000
# What an answer and each of its parts take besides their text.
ANSWER_BYTES = 2000
PART_BYTES = 100


class HeldAnswer:
    """An answer in the making or whole: its parts, then its end.

    Parameters
    ----------
    fingerprint : str
        Of the request's account, path and body.
    """

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.parts = []
        self.error = None
        self.ended = False
        self.ended_at = None
        self.changed = threading.Condition()

    def add(self, part):
        """Add a part as it comes."""
        with self.changed:
            self.parts.append(part)
            self.changed.notify_all()

    def size(self):
        """Give about how many bytes of memory it takes."""
        return ANSWER_BYTES + sum(_size(part) for part in self.parts)

    def end(self, now, error=None):
        """Say that no further part comes."""
        with self.changed:
            self.error = error
            self.ended = True
            self.ended_at = now
            self.changed.notify_all()

    def wait(self, timeout):
        """Wait for the end; False if it has not come in time."""
        with self.changed:
            return self.changed.wait_for(lambda: self.ended, timeout)

    def follow(self, clock, deadline):
        """Yield all parts from the first on, as they come.

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
        Seconds that an ended answer is kept.
    clock : callable
    max_bytes : int
        Of ended answers.

    Notes
    -----
    In a storm there are more alerts within the window than any number fixed
    beforehand.  Refused for that, they would come late, so the oldest ended
    answers make room.  Their claims are remembered all the same: a repeat is
    answered `unknown` and does not run.
    """

    def __init__(self, window, clock, max_bytes=MAX_BYTES):
        self.window = window
        self.clock = clock
        self.max_bytes = max_bytes
        self.lock = threading.Lock()
        self.running = {}
        # By the time of their end.
        self.ended = collections.OrderedDict()
        self.bytes = 0

    def open(self, key, fingerprint):
        """Give the answer held under a key, making it if there is none.

        Returns
        -------
        tuple of (HeldAnswer, bool)
            True if it was made now: the caller of this must produce it, and
            then call `end`.

        Raises
        ------
        IdempotencyKeyReused
        Overloaded
            Too many are in the making.
        """
        with self.lock:
            self._make_room()
            held = self._find(key)
            if held is not None:
                check_fingerprint(held.fingerprint, fingerprint)
                return held, False
            if len(self.running) >= MAX_RUNNING:
                raise exceptions.Overloaded(
                    'too many keyed requests run', retry_after=1.0
                )
            held = self.running[key] = HeldAnswer(fingerprint)
            return held, True

    def _find(self, key):
        return self.running.get(key) or self.ended.get(key)

    def get(self, key):
        """Give the answer held under a key, or None."""
        with self.lock:
            return self._find(key)

    def end(self, key, held, error=None):
        """Say that no further part comes to an answer."""
        held.end(self.clock(), error)
        with self.lock:
            if self.running.get(key) is held:
                del self.running[key]
                self.ended[key] = held
                self.bytes += held.size()
                self._make_room()

    def discard(self, key):
        """Forget an answer in the making; its key may be used anew."""
        with self.lock:
            self.running.pop(key, None)

    def _make_room(self):
        """Drop ended answers that are too old or too many."""
        now = self.clock()
        while self.ended:
            oldest = next(iter(self.ended.values()))
            expired = now - oldest.ended_at >= self.window
            if not expired and self.bytes <= self.max_bytes:
                return
            self.ended.popitem(last=False)
            self.bytes -= oldest.size()


def _size(part):
    text = part if isinstance(part, str) else msgspec.json.encode(part)
    return PART_BYTES + len(text)


def check_fingerprint(held, given):
    """Refuse a key that comes with another request.

    Raises
    ------
    IdempotencyKeyReused
    """
    if held != given:
        raise exceptions.IdempotencyKeyReused(
            'the Idempotency-Key was used for another request'
        )


def make_answers(window, clock):
    """Make the held answers of a router."""
    return HeldAnswers(window, clock)
