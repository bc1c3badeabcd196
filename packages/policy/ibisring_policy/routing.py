"""Choice of an endpoint for a service call, or of a chain for a model."""

__all__ = [
    'Candidate',
    'link_seconds',
    'choose_one',
    'choose_chain',
    'choose_idle_chain',
    'chain_token_seconds',
    'bottleneck',
]

from ibisring_records import configuration
import msgspec

SAMPLE_SIZE = 6
SAME_DOMAIN_SECONDS = 0.0002
OTHER_DOMAIN_SECONDS = 0.0008


class Candidate(msgspec.Struct):
    """An endpoint that can run a request now.

    `load` is the ratio of its outstanding requests to its limit.
    """

    endpoint: configuration.Endpoint
    load: float
    token_seconds: float

    def cost(self):
        """Return the expected seconds per token, which grow with the load."""
        return self.token_seconds * (1.0 + self.load)

    def load_cost(self):
        """Return a cost that grows with the load alone."""
        return 1.0 + self.load


def link_seconds(first, second):
    """Return the seconds that activations take between two endpoints.

    It depends on their failure domains only; the delay of a slow link is
    measured as part of its endpoints' time per token.

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
    All routers see the same delayed load reports.  If each chose the least
    loaded endpoint, they would all choose the same one; the better of two
    random ones spreads the requests and still avoids full endpoints [1]_.

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


def _by_first_layer(candidates, rng, sample_size):
    """Group candidates by layer range, and draw a sample of each group.

    The sample is in random order: if equal candidates were ordered by name,
    every router would fill the same endpoint of an idle site.
    """
    groups = {}
    for candidate in candidates:
        spec = candidate.endpoint.spec
        key = (spec.first_layer, spec.last_layer)
        groups.setdefault(key, []).append(candidate)
    starting = {}
    for (first, _), group in sorted(groups.items()):
        drawn = rng.sample(group, min(sample_size, len(group)))
        starting.setdefault(first, []).extend(drawn)
    return starting


def choose_chain(
    candidates, layers, rng, sample_size=SAMPLE_SIZE, cost=Candidate.cost
):
    """Choose a chain that covers layers 0 to ``layers - 1``.

    Parameters
    ----------
    candidates : list of Candidate
        Engines of one model version that can run a request now.
    layers : int
    rng : random.Random
    sample_size : int
        Candidates drawn for each layer range.
    cost : callable
        Returns the cost that a candidate adds to the path.

    Returns
    -------
    list of Candidate or None
        In order of layers; None if no complete chain exists.

    Notes
    -----
    This is a shortest path from layer 0 to the last layer over a random
    sample of each range.  The sample keeps routers from all choosing the
    same engines and bounds the computation; the path includes link times as
    well as stage times, because links differ by a factor of a hundred.
    """
    starting = _by_first_layer(candidates, rng, sample_size)
    # paths_to[layer]: (cost, chain) pairs whose chain ends before `layer`.
    paths_to = {0: [(0.0, ())]}
    for layer in sorted(starting):
        paths = paths_to.get(layer)
        if paths is None:
            continue
        for candidate in starting[layer]:
            added_cost = cost(candidate)
            best_path = min(
                (_extend(path, candidate, added_cost) for path in paths),
                key=lambda path: path[0],
            )
            after = candidate.endpoint.spec.last_layer + 1
            paths_to.setdefault(after, []).append(best_path)
    complete = paths_to.get(layers)
    if not complete or layers == 0:
        return None
    return list(min(complete, key=lambda pair: pair[0])[1])


def choose_idle_chain(candidates, layers, rng, max_token_seconds):
    """Choose the least loaded chain that is fast enough for a request.

    Parameters
    ----------
    candidates : list of Candidate
    layers : int
    rng : random.Random
    max_token_seconds : float
        Maximum seconds per token that the request allows.

    Returns
    -------
    list of Candidate or None
        None if the chain is slower; the fastest should be used then.

    Notes
    -----
    If every request used the fastest engines, only slots of slow engines
    would be free when a long or urgent request arrives, and it would be late
    on a nearly idle system.  A request with spare time therefore uses the
    least loaded engines, regardless of their speed.
    """
    chain = choose_chain(candidates, layers, rng, cost=Candidate.load_cost)
    if chain is None or chain_token_seconds(chain) > max_token_seconds:
        return None
    return chain


def chain_token_seconds(chain):
    """Return the expected seconds per token of a list of candidates."""
    return sum(candidate.token_seconds for candidate in chain)


def _extend(path, candidate, added_cost):
    cost, chain = path
    cost += added_cost
    if chain:
        cost += link_seconds(chain[-1].endpoint, candidate.endpoint)
    return cost, chain + (candidate,)


def bottleneck(endpoints, layers):
    """Return the minimum over all layers of their total slots.

    It is 0 if a layer has no endpoint.

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
