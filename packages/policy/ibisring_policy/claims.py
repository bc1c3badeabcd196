"""At most one run for an Idempotency-Key, over all routers.

A router that wants to run a keyed request that is not idempotent first has
the table service keep a claim row (if it is up), then has a majority of
claim voters remember the claim.  The rules here are pure; the router's
`claiming` module asks, and feeds the answers to `decide`.
"""

__all__ = [
    'Claim',
    'Vote',
    'TableAnswer',
    'Verdict',
    'Decision',
    'ClaimVoter',
    'decide',
    'voters',
    'make_voter',
]

import collections
import enum

import msgspec
import xxhash

MOST_VOTERS = 7


class Claim(msgspec.Struct, frozen=True):
    """A router's claim to run a key.

    `id` is the request's; `owner` the 'IP:PORT' where peers ask for the
    answer; `fingerprint` tells whether a repeat has the same body;
    `made_at` is Unix time, used only to clear old rows away.
    """

    key: str
    id: str
    owner: str
    fingerprint: str
    made_at: float = 0.0


class Vote(msgspec.Struct):
    """A voter's answer: `held` is the claim it remembers for the key.

    `remembers` is how many seconds its memory reaches back.
    """

    held: Claim
    remembers: float


class TableAnswer(enum.StrEnum):
    """What the table service says to a claim."""

    GRANTED = 'granted'
    HELD = 'held'
    DOWN = 'down'


class Verdict(enum.StrEnum):
    """Whether a claimed request may run."""

    RUN = 'run'
    HELD = 'held'
    UNAVAILABLE = 'unavailable'


class Decision(msgspec.Struct):
    """A verdict; `holder` is the other claim if it is HELD."""

    verdict: Verdict
    holder: Claim | None = None


def voters(key, members):
    """Choose the members that remember claims to a key.

    Rendezvous hashing [1]_: views that differ by a few members still agree
    on most voters.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase
       hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> voters('k', ['b', 'a'])
    ['a', 'b']
    """
    ranked = sorted(
        members,
        key=lambda name: xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()),
    )
    return sorted(ranked[:MOST_VOTERS])


def decide(claim, table, table_holder, votes, voter_count, window):
    """Decide whether a claimed request may run.

    Parameters
    ----------
    claim : Claim
    table : TableAnswer
    table_holder : Claim or None
        Whom the table names, if it is HELD.
    votes : list of Vote
        From the voters that answered, this router's own among them.
    voter_count : int
        How many voters there are, answering or not.
    window : float
        Seconds that a claim must be remembered.

    Returns
    -------
    Decision

    Notes
    -----
    What goes wrong without it: a caller or the balancer repeats an alert
    whose answer was lost, the repeat reaches another router, and the alert
    goes out twice.

    Any memory of another claim forbids running.  Otherwise a majority must
    have remembered this claim, so that a later repeat, whichever majority
    it asks, meets at least one of them.  During an outage of the table a
    voter that started within the window does not count, since an earlier
    claim may have been forgotten with its former process; while the table
    answers, its row stands for that memory.
    """
    if table is TableAnswer.HELD:
        return Decision(Verdict.HELD, table_holder)
    for vote in votes:
        if vote.held.id != claim.id:
            return Decision(Verdict.HELD, vote.held)
    counted = 0
    for vote in votes:
        if table is TableAnswer.GRANTED or vote.remembers >= window:
            counted += 1
    if 2 * counted > voter_count:
        return Decision(Verdict.RUN)
    return Decision(Verdict.UNAVAILABLE)


class ClaimVoter:
    """The claims that one voter remembers.

    Parameters
    ----------
    window : float
        Seconds that a claim is remembered.
    started_at : float
    """

    def __init__(self, window, started_at):
        self.window = window
        self.started_at = started_at
        self.claims = collections.OrderedDict()

    def vote(self, claim, now):
        """Remember a claim unless another one holds the key.

        Returns
        -------
        Vote
        """
        self._expire(now)
        held, _ = self.claims.setdefault(claim.key, (claim, now))
        return Vote(held, now - self.started_at)

    def release(self, key, claim_id):
        """Forget a claim whose request certainly did not run."""
        held = self.claims.get(key)
        if held is not None and held[0].id == claim_id:
            del self.claims[key]

    def _expire(self, now):
        while self.claims:
            key, (_, at) = next(iter(self.claims.items()))
            if now - at < self.window:
                return
            del self.claims[key]


def make_voter(window, started_at):
    """Make the claim book of a voter."""
    return ClaimVoter(window, started_at)
