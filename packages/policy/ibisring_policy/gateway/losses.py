"""What an unanswered status query proves of an engine.

A refused connection proves that the engine is lost.  Silence has other causes
as well: this process stood still, its links failed, or the machine that it
shares with the engine did.  It is a proof only after the process itself has
run for the whole time limit, and only if others were heard in that time [1]_.
The limit is longer if the engine's host has acknowledged the query: then the
host and the link run, and its process may only wait for a processor.
The limit is longer while the process is late, or after silent engines have
answered [2]_, but bounded: a process that is always late finds a lost engine,
too.

References
----------
.. [1] T. D. Chandra, S. Toueg, "Unreliable Failure Detectors for Reliable
   Distributed Systems", JACM 43(2), 1996.
.. [2] A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness
   for More Accurate Failure Detection", DSN-W 2018.
"""

__all__ = [
    'Evidence',
    'SilenceLimit',
    'Verdict',
    'judge',
    'make_silence_limit',
    'missing_seconds',
    'required_seconds',
]

import enum

# Longest time limit, in seconds in which the process ran.
MAX_LIMIT_SECONDS = 1.0
# Shortest time limit in seconds if the engine's host has acknowledged the last
# query: on a busy machine sound processes stand still for less.
ACKNOWLEDGED_LIMIT_SECONDS = 0.3
# Share of the limit that is enough: timers and stalls are exact to a few
# milliseconds.
ENOUGH_SHARE = 0.9
# Factor of the limit if most of the engines asked seem lost: a common cause,
# at this router or beyond, is more likely than so many losses.
MANY_FACTOR = 4.0
# Span before a judgement in which the process's own stalls raise the limit,
# stalls that are usual on a quiet machine, and the limit as a multiple of what
# the longest stall exceeds them by.  Endpoints on a machine that makes this
# process late are late by a multiple: they take several steps to answer.
STALL_SECONDS = 3.0
USUAL_STALL_SECONDS = 0.02
STALL_FACTOR = 10.0
# The limit as a multiple of the silence of an engine that answered after all.
# This part of the limit halves in each period.
REFUTED_FACTOR = 1.5
HALVING_SECONDS = 1.0


class Verdict(enum.StrEnum):
    """Whether an engine that didn't answer is lost."""

    LOST = 'lost'
    UNDECIDED = 'undecided'


class Evidence:
    """What is known of an engine that has not answered.

    Attributes
    ----------
    is_refused : bool
        Whether the connection was refused.
    has_failed : bool
        Whether the query failed in another way before its time was over.
    ran_seconds : float
        Time since the first unanswered query in which this process ran.
    limit_seconds : float
        Time after which silence counts.
    hears_others : bool
        Whether another endpoint was heard in that time.
    is_one_of_many : bool
        Whether most of the engines asked together seem lost.
    is_acknowledged : bool
        Whether the engine's host has acknowledged the last query.
    """

    __slots__ = (
        'is_refused',
        'has_failed',
        'ran_seconds',
        'limit_seconds',
        'hears_others',
        'is_one_of_many',
        'is_acknowledged',
    )

    def __init__(
        self,
        ran_seconds,
        limit_seconds,
        hears_others,
        is_refused=False,
        has_failed=False,
        is_one_of_many=False,
        is_acknowledged=False,
    ):
        self.ran_seconds = ran_seconds
        self.limit_seconds = limit_seconds
        self.hears_others = hears_others
        self.is_refused = is_refused
        self.has_failed = has_failed
        self.is_one_of_many = is_one_of_many
        self.is_acknowledged = is_acknowledged


def judge(evidence):
    """Return what an engine's silence proves.

    Parameters
    ----------
    evidence : Evidence

    Returns
    -------
    Verdict

    Examples
    --------
    >>> judge(Evidence(0.1, 0.1, hears_others=True))
    <Verdict.LOST: 'lost'>
    >>> judge(Evidence(0.1, 0.1, hears_others=False))
    <Verdict.UNDECIDED: 'undecided'>
    """
    is_failure = evidence.is_refused or evidence.has_failed
    if evidence.is_refused and not evidence.is_one_of_many:
        return Verdict.LOST
    if not evidence.hears_others:
        return Verdict.UNDECIDED
    if is_failure and not evidence.is_one_of_many:
        return Verdict.LOST
    if evidence.ran_seconds >= required_seconds(evidence):
        return Verdict.LOST
    return Verdict.UNDECIDED


def required_seconds(evidence):
    """Return the seconds of silence that prove a loss."""
    factor = MANY_FACTOR if evidence.is_one_of_many else 1.0
    limit = evidence.limit_seconds
    if evidence.is_acknowledged:
        limit = max(limit, ACKNOWLEDGED_LIMIT_SECONDS)
    return ENOUGH_SHARE * min(MAX_LIMIT_SECONDS, factor * limit)


def missing_seconds(evidence):
    """Return the seconds of silence that are still to come until a proof."""
    return max(0.0, required_seconds(evidence) - evidence.ran_seconds)


class SilenceLimit:
    """The time limit of silence, longer while there is reason to doubt it.

    Attributes
    ----------
    raised_seconds, raised_at : float
        What answers after a silence last made of it, and when.

    Examples
    --------
    >>> limit = make_silence_limit()
    >>> limit.seconds(0.05, lateness=0.0, now=10.0)
    0.05
    >>> round(limit.seconds(0.05, lateness=0.06, now=10.0), 2)
    0.4
    >>> limit.note_refuted(0.4, now=10.0)
    >>> round(limit.seconds(0.05, lateness=0.0, now=10.0), 2)
    0.6
    >>> limit.seconds(0.05, lateness=0.0, now=14.0)
    0.05
    """

    __slots__ = ('raised_seconds', 'raised_at')

    def __init__(self):
        self.raised_seconds = 0.0
        self.raised_at = 0.0

    def seconds(self, usual, lateness, now):
        """Return the limit.

        Parameters
        ----------
        usual : float
            Limit by measured answers alone.
        lateness : float
            Longest stall of this process in the last `STALL_SECONDS`.
        now : float

        Returns
        -------
        float
        """
        stall = max(0.0, lateness - USUAL_STALL_SECONDS)
        raised = max(STALL_FACTOR * stall, self._raised(now))
        return max(usual, min(MAX_LIMIT_SECONDS, raised))

    def note_answer(self, took, now):
        """Record the seconds in which a query was answered."""
        self._raise(min(took, MAX_LIMIT_SECONDS), now)

    def note_refuted(self, silence, now):
        """Record that an engine answered after some seconds of silence.

        One that was silent for longer than the longest limit was lost.
        """
        if silence <= MAX_LIMIT_SECONDS:
            self._raise(min(REFUTED_FACTOR * silence, MAX_LIMIT_SECONDS), now)

    def _raise(self, seconds, now):
        if seconds > self._raised(now):
            self.raised_seconds = seconds
            self.raised_at = now

    def _raised(self, now):
        halvings = max(0.0, now - self.raised_at) / HALVING_SECONDS
        return self.raised_seconds * 0.5**halvings


def make_silence_limit():
    """Make a `SilenceLimit` that nothing has raised yet."""
    return SilenceLimit()
