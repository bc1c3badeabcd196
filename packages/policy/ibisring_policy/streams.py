"""Assembly of an answer from the events of its attempts."""

__all__ = ['Verdict', 'Assembler', 'make_assembler']

import enum


class Verdict(enum.StrEnum):
    """How to handle an event."""

    DELIVER = 'deliver'
    FINISH = 'finish'
    DROP = 'drop'
    GAP = 'gap'


class Assembler:
    """Accepts each token position of a request once and in order.

    Parameters
    ----------
    request : str

    Attributes
    ----------
    tokens : list of str
        Tokens delivered to the caller.
    attempt : int
        The current attempt; events of others are dropped.
    dropped : int
        Number of events of another request or attempt, and of duplicates.

    Notes
    -----
    Events may arrive late, mixed up or duplicated: an old attempt may still
    send events after a new one has started, and a resumed stream repeats
    events that were in flight.  The caller would get a token twice, or one
    of another caller.  Every event therefore names its request, attempt
    and position, and only the next position of the current attempt is
    delivered.
    """

    __slots__ = ('request', 'attempt', 'tokens', 'dropped', 'finished')

    def __init__(self, request):
        self.request = request
        self.attempt = 0
        self.tokens = []
        self.dropped = 0
        self.finished = False

    def begin_attempt(self, attempt):
        """Set the current attempt, which must be later than the last."""
        if attempt <= self.attempt:
            raise ValueError(
                f'attempt {attempt} is not later than {self.attempt}'
            )
        self.attempt = attempt

    def _is_current(self, event):
        if event.request != self.request or event.attempt != self.attempt:
            return False
        return not self.finished

    def token(self, event):
        """Check a token event, and store its text if it is delivered.

        Parameters
        ----------
        event : engines.TokenEvent

        Returns
        -------
        Verdict
            GAP if tokens before it are missing; the stream is unusable.
        """
        expected = len(self.tokens)
        if not self._is_current(event) or event.position < expected:
            self.dropped += 1
            return Verdict.DROP
        if event.position > expected:
            return Verdict.GAP
        self.tokens.append(event.text)
        return Verdict.DELIVER

    def finish(self, event):
        """Check a finish event, whose position is the number of tokens."""
        if not self._is_current(event):
            self.dropped += 1
            return Verdict.DROP
        if event.position != len(self.tokens):
            return Verdict.GAP
        self.finished = True
        return Verdict.FINISH

    def failure(self, event):
        """Return whether a failure event belongs to the current attempt."""
        if self._is_current(event):
            return True
        self.dropped += 1
        return False


def make_assembler(request):
    """Make the assembler of a request."""
    return Assembler(request)
