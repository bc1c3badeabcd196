"""How many requests the engines of a service can run at once, and what limits.

The maximum flow from the first layer to the last through the engines that hold
the layers (see Helix, "Serving large language models over heterogeneous GPUs
and network via max-flow").  The memory of an engine is spread evenly over its
layers, and the engines of a failure domain are taken together; links between
domains are shared by all boundaries between layers.
"""

__all__ = ['Capacity', 'Usual', 'compute']

import collections
import math

import msgspec

# Augmenting paths, as a bound on the time.  Each one exhausts a link, or the
# memory for some layers of a domain.
MAX_PATHS = 64
# Flows below this many requests are rounding errors.
MIN_FLOW = 1e-6


class Usual(msgspec.Struct, frozen=True):
    """The usual request of a service.

    `tokens` is the memory that it occupies, `per_link` the number of requests
    that a link between two domains carries at once.
    """

    tokens: float
    per_link: float = math.inf


class Capacity(msgspec.Struct, frozen=True):
    """Requests that can run at once, and the layers or links that limit."""

    requests: float
    bottleneck: str


class _Flow:
    """Flow through the segments between boundaries of engines' ranges.

    Attributes
    ----------
    points : list of int
        Boundaries of the segments.
    free : dict of str to list of float
        Requests that each segment of a domain still carries.
    used : dict of str to list of float
    link_free : dict of (str, str) to float
    crossing : dict of (int, str, str) to float
        Requests that change from one domain to another at a boundary.
    """

    def __init__(self, points, free, per_link):
        self.points = points
        self.free = free
        self.used = {name: [0.0] * len(row) for name, row in free.items()}
        names = sorted(free)
        self.link_free = {
            (one, other): per_link
            for one in names
            for other in names
            if one < other
        }
        self.crossing = collections.Counter()

    @property
    def size(self):
        """Number of segments."""
        return len(self.points) - 1

    def fill_domains(self):
        """Route what fits within single domains; return the requests."""
        total = 0.0
        for name, row in self.free.items():
            amount = min(row)
            total += amount
            self.free[name] = [each - amount for each in row]
            self.used[name] = [each + amount for each in self.used[name]]
        return total

    def residual(self, start, end):
        """Return how much more can pass from one node to a neighbour."""
        (at, domain), (to, other) = start, end
        if domain == other:
            if to > at:
                return self.free[domain][at]
            return self.used[domain][to]
        back = self.crossing[at, other, domain]
        if back > MIN_FLOW:
            return back
        return self.link_free[min(domain, other), max(domain, other)]

    def neighbours(self, node):
        """Return the nodes that may follow, those without a crossing first."""
        at, domain = node
        found = []
        if at < self.size:
            found.append((at + 1, domain))
        if at > 0:
            found.append((at - 1, domain))
            if at < self.size:
                found += [(at, name) for name in self.free if name != domain]
        return found

    def search(self):
        """Search a path with few crossings.

        Returns
        -------
        (list of nodes or None, dict)
            The path, and the nodes that were reached.
        """
        queue = collections.deque((0, name) for name in sorted(self.free))
        origins = dict.fromkeys(queue)
        done = set()
        while queue:
            node = queue.popleft()
            if node in done:
                continue
            done.add(node)
            if node[0] == self.size:
                return _trace(origins, node), origins
            for other in self.neighbours(node):
                if other in done or self.residual(node, other) <= MIN_FLOW:
                    continue
                if other[1] == node[1]:
                    origins[other] = node
                    queue.appendleft(other)
                elif other not in origins:
                    origins[other] = node
                    queue.append(other)
        return None, origins

    def augment(self, path):
        """Send as much as possible along a path; return the requests."""
        steps = list(zip(path, path[1:]))
        links = collections.Counter(
            (min(one[1], other[1]), max(one[1], other[1]))
            for one, other in steps
            if one[1] != other[1]
        )
        amount = min(
            self.residual(one, other)
            / links.get((min(one[1], other[1]), max(one[1], other[1])), 1)
            for one, other in steps
        )
        for one, other in steps:
            self._send(one, other, amount)
        return amount

    def _send(self, start, end, amount):
        (at, domain), (to, other) = start, end
        if domain == other:
            sign = 1.0 if to > at else -1.0
            self.free[domain][min(at, to)] -= sign * amount
            self.used[domain][min(at, to)] += sign * amount
            return
        pair = min(domain, other), max(domain, other)
        if self.crossing[at, other, domain] > MIN_FLOW:
            self.crossing[at, other, domain] -= amount
            self.link_free[pair] += amount
        else:
            self.crossing[at, domain, other] += amount
            self.link_free[pair] -= amount

    def bottleneck(self, reached):
        """Name what separates the nodes reached from the others."""
        links = {
            (min(domain, other), max(domain, other))
            for at, domain in reached
            for other in self.free
            if 0 < at < self.size and (at, other) not in reached
        }
        if links:
            return ', '.join(f'link {one} {two}' for one, two in sorted(links))
        cut = [
            at
            for at, domain in reached
            if at < self.size and (at + 1, domain) not in reached
        ]
        return _layers_text(self.points, min(cut, default=0))


def compute(holders, layers, usual):
    """Return the `Capacity` of a service.

    Parameters
    ----------
    holders : list of chains.Holder
    layers : int
    usual : Usual

    Notes
    -----
    With links of limited rate the flow found may be smaller than the maximum,
    since a link is shared by all boundaries.

    Examples
    --------
    >>> from ibisring_policy.gateway import chains
    >>> held = [chains.Holder('e1', 'h:1', 'a', 0, 4, 4000.0),
    ...         chains.Holder('e2', 'h:2', 'a', 4, 8, 2000.0)]
    >>> compute(held, 8, Usual(100.0))
    Capacity(requests=5.0, bottleneck='layers 4-8')
    """
    points, free = _segments(holders, layers, usual)
    if not free or usual.per_link == math.inf:
        return _compute_unlimited(points, free)
    flow = _Flow(points, free, usual.per_link)
    total = flow.fill_domains()
    for _ in range(MAX_PATHS):
        path, reached = flow.search()
        if path is None:
            break
        total += flow.augment(path)
    return Capacity(total, flow.bottleneck(reached))


def _compute_unlimited(points, free):
    """Return the capacity if links limit nothing: that of the scarcest."""
    sums = [
        sum(row[number] for row in free.values())
        for number in range(len(points) - 1)
    ]
    least = min(range(len(sums)), key=lambda number: sums[number])
    return Capacity(sums[least], _layers_text(points, least))


def _segments(holders, layers, usual):
    """Return the boundaries, and the requests per segment by domain."""
    points = {0, layers}
    for each in holders:
        points.update((each.first, each.end))
    points = sorted(p for p in points if 0 <= p <= layers)
    free = {}
    for each in holders:
        row = free.setdefault(each.domain, [0.0] * (len(points) - 1))
        requests = each.capacity / (each.end - each.first) / usual.tokens
        for number, first in enumerate(points[:-1]):
            if each.first <= first < each.end:
                row[number] += requests
    return points, free


def _trace(origins, node):
    path = []
    while node is not None:
        path.append(node)
        node = origins[node]
    return path[::-1]


def _layers_text(points, number):
    return f'layers {points[number]}-{points[number + 1]}'
