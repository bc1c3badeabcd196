"""At most one run per Idempotency-Key over all routers.

Before a router runs a keyed request that is not idempotent, it stores a
claim row in the table service (if that is up) and then has a majority of
claim voters remember the claim.  The rules here are pure functions; the
router's `claiming` module sends the requests and passes the replies to
`decide`.
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

MAX_VOTERS = 7


class Claim(msgspec.Struct, frozen=True):
    """A router's claim to run the request with a key.

    `id` is the id of the request; `owner` is the 'IP:PORT' from which peers
    fetch the answer; `fingerprint` identifies the request's body, to compare
    it with that of a repeat; `made_at` is Unix time, used only to delete
    old rows.
    """

    key: str
    id: str
    owner: str
    fingerprint: str
    made_at: float = 0.0


class Vote(msgspec.Struct):
    """A voter's reply: `held` is the claim that it stores for the key.

    `remembers` is for how many seconds the voter has stored claims.
    """

    held: Claim
    remembers: float


class TableAnswer(enum.StrEnum):
    """Reply of the table service to a claim."""

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
    """Choose the members that store the claims to a key.

    Rendezvous hashing [1]_ is used, so that routers whose member lists
    differ slightly still agree on most voters.

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
    return sorted(ranked[:MAX_VOTERS])


def decide(claim, table, table_holder, votes, voter_count, window):
    """Decide whether a claimed request may run.

    Parameters
    ----------
    claim : Claim
    table : TableAnswer
    table_holder : Claim or None
        The claim in the table, if it is HELD.
    votes : list of Vote
        From the voters that replied, including this router's own.
    voter_count : int
        Number of voters, whether or not they replied.
    window : float
        Seconds for which a claim must be remembered.

    Returns
    -------
    Decision

    Notes
    -----
    This guards against a duplicate run: a caller or the load balancer
    repeats an alert whose answer was lost, the repeat reaches another
    router, and the alert is sent out twice.

    The request may not run if any voter stores another claim.  Otherwise a
    majority must store this claim, so that any majority queried for a later
    repeat includes at least one of these voters.  During an outage of the
    table a voter that started within the window does not count, because a
    claim may have been lost with its former process; while the table
    is available, its row makes up for that loss.
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
    """One voter and the claims that it stores.

    Parameters
    ----------
    window : float
        Seconds for which a claim is remembered.
    started_at : float
    """

    def __init__(self, window, started_at):
        self.window = window
        self.started_at = started_at
        self.claims = collections.OrderedDict()

    def vote(self, claim, now):
        """Store a claim unless another one holds the key.

        Returns
        -------
        Vote
        """
        self._expire(now)
        held, _ = self.claims.setdefault(claim.key, (claim, now))
        return Vote(held, now - self.started_at)

    def release(self, key, claim_id):
        """Delete a claim whose request certainly did not run."""
        held = self.claims.get(key)
        if held is not None and held[0].id == claim_id:
            del self.claims[key]

    def _expire(self, now):
        while self.claims:
            key, (_, stored_at) = next(iter(self.claims.items()))
            if now - stored_at < self.window:
                return
            del self.claims[key]


def make_voter(window, started_at):
    """Make a claim voter."""
    return ClaimVoter(window, started_at)
