"""Which features of requests explain the crashes of endpoints.

A feature is what several requests may have in common: a part of their
prompts, or all of a request that comes again.  Requests that only ran beside
the cause have features, too, and see the same crashes.  They differ in that
others with these features are answered, or that their crashes are all seen by
a stronger feature.

References
----------
V. Chvatal, "A greedy heuristic for the set-covering problem", Mathematics of
Operations Research 4(3), 1979.
"""

__all__ = ['Evidence', 'Cause', 'find']

import msgspec

# Crashes that nothing else explains, from which on a feature is a cause.
MIN_CRASHES = 3
# A cause is answered at most so many times a crash: one that crashes every
# other endpoint is a cause, one that is shared by sound requests is not.
MAX_ANSWERS_PER_CRASH = 2
# Endpoints that end within this time may have one cause that is no request.
SAME_MOMENT_SECONDS = 0.05
# Bound on the candidates that are compared, those with most crashes first.
MAX_CANDIDATES = 100


class Evidence(msgspec.Struct, frozen=True):
    """What is known of a feature.

    `crashes` gives the monotonic time in seconds of each crash by its id, one
    at least; `answers` counts the requests that were answered,
    `answers_elsewhere` those that decide only between features that are alike
    otherwise.  `is_whole` marks a request as a whole, which has all that its
    parts have seen.
    """

    feature: bytes
    crashes: dict[int, float]
    answers: int = 0
    answers_elsewhere: int = 0
    is_whole: bool = False


class Cause(msgspec.Struct, frozen=True):
    """Features that explain crashes together.

    More than one, if they have always been seen with each other: a request
    that has only some of them may be sound.
    """

    features: frozenset[bytes]
    crashes: int


class _Candidate:
    """Features that are alike in all that is known of them.

    Attributes
    ----------
    features : set of bytes
    moments : frozenset of int
        Moments at which endpoints crashed.
    unexplained : set of int
        Those that no cause found so far explains.
    share : float
        Share of the requests that crashed an endpoint.
    answers_elsewhere : int
    is_whole : bool
        Whether all features are requests as a whole.
    """

    __slots__ = (
        'features',
        'moments',
        'unexplained',
        'share',
        'answers_elsewhere',
        'is_whole',
    )

    def __init__(self, moments, share, answers_elsewhere):
        self.features = set()
        self.moments = moments
        self.unexplained = set(moments)
        self.share = share
        self.answers_elsewhere = answers_elsewhere
        self.is_whole = True

    def add(self, evidence):
        """Add a feature."""
        self.features.add(evidence.feature)
        self.is_whole &= evidence.is_whole

    @property
    def is_viable(self):
        """Whether it may be a cause."""
        is_deadly = self.share * (1 + MAX_ANSWERS_PER_CRASH) >= 1
        return is_deadly and len(self.unexplained) >= MIN_CRASHES

    @property
    def strength(self):
        """Sorts candidates."""
        return self.share, -self.answers_elsewhere, len(self.unexplained)


def find(evidence):
    """Return the fewest causes that explain the crashes.

    Parameters
    ----------
    evidence : list of Evidence

    Returns
    -------
    list of Cause

    Examples
    --------
    >>> crashes = {1: 10.0, 2: 10.3, 3: 10.6}
    >>> found = find([Evidence(b'a', crashes, 40), Evidence(b'b', crashes)])
    >>> [sorted(cause.features) for cause in found]
    [[b'b']]
    """
    candidates = _candidates(evidence)
    causes = []
    while True:
        viable = [
            each
            for each in candidates
            if each.is_viable and not _is_covered(each, candidates)
        ]
        if not viable:
            return causes
        strongest = max(viable, key=lambda each: each.strength)
        causes.append(
            Cause(frozenset(strongest.features), len(strongest.moments))
        )
        for each in candidates:
            each.unexplained -= strongest.moments


def _candidates(evidence):
    """Return what has crashed more than one endpoint, most crashes first."""
    moments_by_crash = _moments(evidence)
    found = {}
    for each in evidence:
        moments = frozenset(moments_by_crash[name] for name in each.crashes)
        count = len(moments)
        if count < MIN_CRASHES - 1:
            continue
        share = count / (count + each.answers)
        key = moments, share, each.answers_elsewhere
        if key not in found:
            found[key] = _Candidate(*key)
        found[key].add(each)
    ordered = sorted(
        found.values(), key=lambda each: len(each.moments), reverse=True
    )
    return ordered[:MAX_CANDIDATES]


def _is_covered(candidate, candidates):
    """Whether deadlier ones explain most of what a candidate has seen.

    A sound part may run beside the crashes of two deadly ones, and so reach
    `MIN_CRASHES` before either.
    """
    explained = set()
    for each in candidates:
        if _is_deadlier(each, candidate):
            explained |= each.moments
    return len(candidate.moments - explained) < MIN_CRASHES - 1


def _is_deadlier(candidate, other):
    """Whether a candidate may be the cause of what another one has seen.

    As deadly a one that has seen no more is explained by the other.
    """
    if candidate.is_whole:
        return False
    if candidate.share > other.share:
        return True
    is_as_deadly = candidate.share == other.share
    return is_as_deadly and not candidate.moments <= other.moments


def _moments(evidence):
    """Number the moments at which endpoints crashed, by crash."""
    times = {}
    for each in evidence:
        for crash_id, at in each.crashes.items():
            times[crash_id] = min(at, times.get(crash_id, at))
    moments = {}
    number, began = 0, None
    for crash_id in sorted(times, key=times.get):
        if began is None or times[crash_id] > began + SAME_MOMENT_SECONDS:
            number += 1
            began = times[crash_id]
        moments[crash_id] = number
    return moments
