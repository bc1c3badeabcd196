"""Putting an answer together from the events of its attempts."""

__all__ = ['Verdict', 'Assembler', 'make_assembler']

import enum


class Verdict(enum.StrEnum):
    """What to do with an event."""

    DELIVER = 'deliver'
    FINISH = 'finish'
    DROP = 'drop'
    GAP = 'gap'


class Assembler:
    """Accepts the tokens of one request, each position once and in order.

    Parameters
    ----------
    request : str

    Attributes
    ----------
    tokens : list of str
        What the caller has.
    attempt : int
        The only attempt whose events count.
    dropped : int
        Events that belonged to another request or attempt, or came twice.

    Notes
    -----
    Answers come late, crossed and doubled: an old attempt goes on talking
    after a new one began, and a resumed stream repeats what was in flight.
    The caller would see a word twice, or another caller's.  Every event
    therefore names request, attempt and position, and only the next
    position of the current attempt is delivered.
    """

    __slots__ = ('request', 'attempt', 'tokens', 'dropped', 'finished')

    def __init__(self, request):
        self.request = request
        self.attempt = 0
        self.tokens = []
        self.dropped = 0
        self.finished = False

    def begin_attempt(self, attempt):
        """Make another attempt the current one; it must be a later one."""
        if attempt <= self.attempt:
            raise ValueError(f'attempt {attempt} after {self.attempt}')
        self.attempt = attempt

    def _is_current(self, event):
        if event.request != self.request or event.attempt != self.attempt:
            return False
        return not self.finished

    def token(self, event):
        """Judge a token event, and keep its text if it is delivered.

        Parameters
        ----------
        event : engines.TokenEvent

        Returns
        -------
        Verdict
            GAP if tokens before it are missing: the stream can't be used.
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
        """Judge a finish event; it must name how many tokens there are."""
        if not self._is_current(event):
            self.dropped += 1
            return Verdict.DROP
        if event.position != len(self.tokens):
            return Verdict.GAP
        self.finished = True
        return Verdict.FINISH

    def failure(self, event):
        """Return whether a failure event concerns the current attempt."""
        if self._is_current(event):
            return True
        self.dropped += 1
        return False


def make_assembler(request):
    """Make the assembler of a request."""
    return Assembler(request)
