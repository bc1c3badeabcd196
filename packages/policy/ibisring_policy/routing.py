"""Choosing an endpoint for a call, or a chain of them for a model."""

__all__ = [
    'Candidate',
    'link_seconds',
    'choose_one',
    'choose_chain',
    'choose_unhurried_chain',
    'pace',
    'bottleneck',
]

from ibisring_records import configuration
import msgspec

SAMPLE = 6
SAME_DOMAIN_SECONDS = 0.0002
OTHER_DOMAIN_SECONDS = 0.0008


class Candidate(msgspec.Struct):
    """An endpoint that may take a request now.

    `load` is its outstanding requests over its limit.
    """

    endpoint: configuration.Endpoint
    load: float
    token_seconds: float

    def cost(self):
        """Return the expected seconds a token, growing with the load."""
        return self.token_seconds * (1.0 + self.load)

    def fullness(self):
        """Return a cost that grows with the load alone."""
        return 1.0 + self.load


def link_seconds(first, second):
    """Return the seconds that activations take between two endpoints.

    By failure domain; what a slow link adds is learned as its endpoints'
    pace.

    Parameters
    ----------
    first, second : configuration.Endpoint
    """
    if first.spec.failure_domain == second.spec.failure_domain:
        return SAME_DOMAIN_SECONDS
    return OTHER_DOMAIN_SECONDS


def choose_one(candidates, rng):
    """Choose the better of two random candidates.

    Parameters
    ----------
    candidates : list of Candidate
    rng : random.Random

    Returns
    -------
    Candidate or None

    Notes
    -----
    All routers see the same lagged reports.  If each took the least loaded
    endpoint they would all take the same one; two random choices spread
    the requests and still avoid the full ones [1]_.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.
    """
    if not candidates:
        return None
    if len(candidates) <= 2:
        picked = candidates
    else:
        picked = rng.sample(candidates, 2)
    return min(picked, key=Candidate.cost)


def _by_first_layer(candidates, rng, sample):
    """Group candidates by range, and sample each group.

    In random order: equal ones must not always be taken in that of names,
    or every router fills the same endpoint of an idle site.
    """
    groups = {}
    for candidate in candidates:
        spec = candidate.endpoint.spec
        key = (spec.first_layer, spec.last_layer)
        groups.setdefault(key, []).append(candidate)
    starting = {}
    for (first, _), group in sorted(groups.items()):
        drawn = rng.sample(group, min(sample, len(group)))
        starting.setdefault(first, []).extend(drawn)
    return starting


def choose_chain(candidates, layers, rng, sample=SAMPLE, cost=Candidate.cost):
    """Choose a chain that covers layers 0 to ``layers - 1``.

    Parameters
    ----------
    candidates : list of Candidate
        Engines of one model version that can take a request now.
    layers : int
    rng : random.Random
    sample : int
        Candidates drawn for each layer range.
    cost : callable
        Returns what a candidate adds to the path.

    Returns
    -------
    list of Candidate or None
        In order of layers; None if no complete chain exists.

    Notes
    -----
    A shortest path from layer 0 to the last, over a random sample for each
    range: the sample keeps routers from herding and bounds the work, the
    path weighs stage time and link time together, since links differ a
    hundredfold.
    """
    starting = _by_first_layer(candidates, rng, sample)
    # best[layer]: (cost, chain) pairs whose chain ends before `layer`.
    best = {0: [(0.0, ())]}
    for layer in sorted(starting):
        reached = best.get(layer)
        if reached is None:
            continue
        for candidate in starting[layer]:
            own = cost(candidate)
            shortest = min(
                (_extend(path, candidate, own) for path in reached),
                key=lambda path: path[0],
            )
            after = candidate.endpoint.spec.last_layer + 1
            best.setdefault(after, []).append(shortest)
    found = best.get(layers)
    if not found or layers == 0:
        return None
    return list(min(found, key=lambda pair: pair[0])[1])


def choose_unhurried_chain(candidates, layers, rng, slowest):
    """Choose a free chain for a request that need not go to the fastest.

    Parameters
    ----------
    candidates : list of Candidate
    layers : int
    rng : random.Random
    slowest : float
        Most seconds a token that the request can do with.

    Returns
    -------
    list of Candidate or None
        None if the chain found is slower; then choose the fastest.

    Notes
    -----
    If every request goes to the fastest engines while all are idle, the
    slots left when a long or urgent one comes are on the slow ones, and it
    is late on an idle system.  A request with time to spare takes the
    emptiest engines, whatever their pace.
    """
    chain = choose_chain(candidates, layers, rng, cost=Candidate.fullness)
    if chain is None or pace(chain) > slowest:
        return None
    return chain


def pace(chain):
    """Return the expected seconds a token of a list of candidates."""
    return sum(candidate.token_seconds for candidate in chain)


def _extend(path, candidate, own):
    cost, chain = path
    cost += own
    if chain:
        cost += link_seconds(chain[-1].endpoint, candidate.endpoint)
    return cost, chain + (candidate,)


def bottleneck(endpoints, layers):
    """Return the least total of `slots` over any layer, 0 if one is missing.

    Parameters
    ----------
    endpoints : iterable of tuple of (int, int, float)
        First layer, last layer, and slots.
    layers : int
    """
    edges = {0: 0.0}
    spans = list(endpoints)
    for first, last, _ in spans:
        edges.setdefault(first, 0.0)
        edges.setdefault(last + 1, 0.0)
    points = sorted(p for p in edges if p < layers)
    totals = []
    for point in points:
        covering = (s for f, last, s in spans if f <= point <= last)
        totals.append(sum(covering))
    return min(totals, default=0.0)
