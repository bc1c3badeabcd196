"""Budgets of the links between failure domains.

The activations of a prompt occupy a link between two failure domains for up
to a third of a second, and transfers of all requests pass one after another.
Each router therefore limits the megabytes that its requests send over a link.
It divides the usable rate by what the routers demand, as they tell by gossip:
the max-min fair share of each router, and of a router's requests as many at
random as fit into it.  Routers that hear nothing use equal parts.  No router
waits for a reply of another one.
"""

__all__ = ['DomainLinks', 'Transfer', 'crossings', 'make_domain_links']

import collections
import math
import zlib

from ibisring_policy.gateway import linkshares
import msgspec

# Period over which demand is averaged: as long as the budget takes to admit
# a few transfers, within these bounds in seconds.  A shorter one would refuse
# requests for which there is a budget, since requests arrive at random.
WINDOW_TRANSFERS = 4.0
MIN_WINDOW_SECONDS = 2.0
MAX_WINDOW_SECONDS = 6.0
# Weight of the request that asks in the demand of its router, which doesn't
# include it yet.  At 0, many routers that each ask rarely admit more than the
# budget in sum.
CURRENT_WEIGHT = 0.5
# How long a report of another router counts, as for its load.
REPORT_SECONDS = 8.0
# Without a message for this long gossip counts as silent: others count a
# router as lost after the same time.
SILENT_SECONDS = 2.5
# Share of a budget that only streams that continue may use, and the share
# that new requests keep however many streams continue.
KEPT_SHARE = 0.1
MIN_NEW_SHARE = 0.1
# Seconds of an equal part that may accumulate while it is unused, so that
# routers don't send a burst after a pause.
MAX_UNUSED_SECONDS = 0.1
# A caller that waits for longer has given up.
MAX_WAIT_SECONDS = 10.0
# How long a refusal of a stream that continues is kept: its caller gives up
# after 2 s without an event, and other streams that end free the link sooner.
MAX_CONTINUING_WAIT_SECONDS = 0.2
# Bounds on the links that are tracked, and on those in one message.
MAX_LINKS = 64
MAX_SENT = 16
BYTES_PER_MB = 1e6


class Decision(msgspec.Struct, frozen=True):
    """Whether links admit a transfer: `wait` is None if they do.

    `at` is the time of the decision and `wait` the time until the budgets
    admit the transfer, in seconds.  `refused` are the pairs of domains whose
    budgets don't.
    """

    at: float
    wait: float | None = None
    refused: frozenset = frozenset()


class Transfer(msgspec.Struct):
    """What a request sends over each link that its chain crosses.

    `megabytes` is sent at each crossing; `rate` is that of the links in MB/s;
    `objective` is for the first event, in seconds.
    `decisions` has the latest decision by the pairs that a chain crosses: a
    request that asks for the same again before the end of its wait is not
    counted again.
    """

    megabytes: float
    rate: float
    objective: float
    continues: bool = False
    decisions: dict[tuple, Decision] = {}

    def kept_wait(self, pairs, now):
        """Return the rest of a wait that is still kept, None for none."""
        last = self.decisions.get(pairs)
        if last is None or last.wait is None:
            return None
        wait = last.wait
        if self.continues:
            wait = min(wait, MAX_CONTINUING_WAIT_SECONDS)
        left = last.at + wait - now
        return left if left > 0.0 else None

    def refused_pairs(self, pairs):
        """Return the pairs that the latest decision on `pairs` refused."""
        last = self.decisions.get(tuple(sorted(pairs)))
        return last.refused if last else frozenset()


class _Demand(msgspec.Struct, frozen=True):
    at: float
    megabytes: float
    continues: bool


class _Report(msgspec.Struct, frozen=True):
    """Demand of another router in MB/s: of new and of continuing requests."""

    at: float
    domain: str
    new: float
    continuing: float


class _Link(msgspec.Struct):
    """State of a link; `owed` is in MB, used only while gossip is silent."""

    asked: collections.deque
    reports: dict[str, _Report]
    window: float = MIN_WINDOW_SECONDS
    asked_at: float = -math.inf
    owed: float = 0.0
    owed_at: float = -math.inf


class _Budget(msgspec.Struct, frozen=True):
    """What a request wants of one link; rates in MB/s."""

    link: _Link
    name: str
    megabytes: float
    rate: float
    window: float


def crossings(domains):
    """Return the links that a chain crosses, by the domains of its stages.

    Both directions of a pair of domains share one budget.

    Examples
    --------
    >>> crossings(['b', 'b', 'a', 'b'])
    [('a', 'b'), ('a', 'b')]
    """
    return [
        (min(one, other), max(one, other))
        for one, other in zip(domains, domains[1:])
        if one != other
    ]


class DomainLinks:
    """Budgets by pair of domains; the caller holds a lock around each call.

    Parameters
    ----------
    name, domain : str
        This router's name and failure domain.
    draw : callable
        Returns random numbers from 0 up to but excluding 1.

    Examples
    --------
    >>> links = make_domain_links('r1', 'a', lambda: 0.99)
    >>> def ask(now):
    ...     return links.admit([('a', 'b')], Transfer(30.0, 90.0, 0.5), now)
    >>> waits = [ask(10.0 + 0.1 * number) for number in range(12)]
    >>> waits[0] is None, waits[-1] is None
    (True, False)
    """

    def __init__(self, name, domain, draw):
        self.name = name
        self.domain = domain
        self.draw = draw
        self.by_pair = {}
        self.heard = {}
        self.heard_at = -math.inf
        self.router_counts = {}
        self.router_total = 1

    def set_fleet(self, counts, total, now):
        """Set how many routers run.

        Parameters
        ----------
        counts : dict of str to int
            By failure domain, as far as they are known.
        total : int
            Upper estimate of all routers, known without gossip too.
        now : float
        """
        self.router_counts = counts
        self.router_total = max(1, total)
        self.heard = {
            name: each
            for name, each in self.heard.items()
            if now - each[0] < REPORT_SECONDS
        }
        for link in self.by_pair.values():
            link.reports = {
                name: each
                for name, each in link.reports.items()
                if now - each.at < REPORT_SECONDS
            }

    def receive(self, router, domain, updates, now):
        """Note the demand that another router told.

        Parameters
        ----------
        router, domain : str
        updates : list of (str, str, int, int)
            As returned by `updates_to_send`.
        now : float
        """
        self.heard[router] = now, domain
        self.heard_at = now
        told = {}
        for one, other, new, continuing in updates[:MAX_SENT]:
            if one < other and new >= 0 and continuing >= 0:
                told[one, other] = _Report(
                    now, domain, new / BYTES_PER_MB, continuing / BYTES_PER_MB
                )
        for pair, link in self.by_pair.items():
            if pair not in told:
                link.reports.pop(router, None)
        for pair, report in told.items():
            self._link(pair).reports[router] = report

    def updates_to_send(self, now):
        """Return this router's demand by link, the latest first.

        Returns
        -------
        list of (str, str, int, int)
            Pair of domains, and the bytes per second that new and continuing
            requests have asked for, whether or not they were admitted.
        """
        asked = [
            (pair, link)
            for pair, link in self.by_pair.items()
            if now - link.asked_at < link.window
        ]
        asked.sort(key=lambda item: -item[1].asked_at)
        return [
            (
                *pair,
                int(_own_demand(link, now, False) * BYTES_PER_MB),
                int(_own_demand(link, now, True) * BYTES_PER_MB),
            )
            for pair, link in asked[:MAX_SENT]
        ]

    def admit(self, pairs, transfer, now):
        """Decide whether a request may cross links.

        Parameters
        ----------
        pairs : list of (str, str)
            Links that its chain crosses, see `crossings`.
        transfer : Transfer
            Keeps the decision.
        now : float

        Returns
        -------
        float or None
            Seconds until the budget admits it; None if it is admitted.
        """
        key = tuple(sorted(pairs))
        last = transfer.decisions.get(key)
        if last is not None and now == last.at:
            return last.wait
        kept = transfer.kept_wait(key, now)
        if kept is not None:
            return kept
        draw = self.draw()
        budgets = {
            pair: self._budget(pair, count, transfer)
            for pair, count in collections.Counter(pairs).items()
        }
        waits = {
            pair: self._wait(each, transfer, now, draw)
            for pair, each in budgets.items()
        }
        refused = frozenset(pair for pair in waits if waits[pair] is not None)
        wait = max((waits[pair] for pair in refused), default=None)
        transfer.decisions[key] = Decision(now, wait, refused)
        for each in budgets.values():
            self._note_demand(each, transfer, now, wait is None)
        return wait

    def _link(self, pair):
        link = self.by_pair.get(pair)
        if link is None:
            if len(self.by_pair) >= MAX_LINKS:
                oldest = min(
                    self.by_pair, key=lambda p: self.by_pair[p].asked_at
                )
                del self.by_pair[oldest]
            link = self.by_pair[pair] = _Link(collections.deque(), {})
        return link

    def _budget(self, pair, count, transfer):
        megabytes = transfer.megabytes * count
        seconds = transfer.megabytes / transfer.rate
        rate = transfer.rate * linkshares.usable_share(
            seconds, transfer.objective
        )
        window = min(
            MAX_WINDOW_SECONDS,
            max(MIN_WINDOW_SECONDS, WINDOW_TRANSFERS * megabytes / rate),
        )
        return _Budget(
            self._link(pair), ' '.join(pair), megabytes, rate, window
        )

    def _note_demand(self, budget, transfer, now, is_admitted):
        link = budget.link
        link.window = budget.window
        link.asked_at = now
        link.asked.append(_Demand(now, budget.megabytes, transfer.continues))
        while now - link.asked[0].at > MAX_WINDOW_SECONDS:
            link.asked.popleft()
        if is_admitted:
            # At most two transfers: those admitted by the demands told before
            # must not keep a router from its equal part for long.
            link.owed = min(
                link.owed + budget.megabytes, 2.0 * budget.megabytes
            )

    def is_silent(self, now):
        """Return whether there are other routers and none was heard."""
        return self.router_total > 1 and now - self.heard_at > SILENT_SECONDS

    def _wait(self, budget, transfer, now, draw):
        if self.is_silent(now):
            return self._wait_for_equal_part(budget, transfer, now)
        link = budget.link
        continuing = self._demands(link, now, True)
        if transfer.continues:
            rate, demands = budget.rate, continuing
        else:
            total = sum(each * count for each, count in continuing)
            excess = total - KEPT_SHARE * budget.rate
            rate = budget.rate * (1.0 - KEPT_SHARE) - max(0.0, excess)
            rate = max(MIN_NEW_SHARE * budget.rate, rate)
            demands = self._demands(link, now, False)
        one = budget.megabytes / budget.window
        own = max(one, demands[0][0] + CURRENT_WEIGHT * one)
        demands[0] = own, 1.0
        level = linkshares.fair_level(demands, rate)
        if draw * own < level:
            return None
        # The time of one transfer, however large the demand: callers come
        # back once or twice only, and of those that do a part is admitted.
        return min(MAX_WAIT_SECONDS, budget.megabytes / rate)

    def _demands(self, link, now, continues):
        """Return the demands for `linkshares.fair_level`, the own one first.

        Of a failure domain of which only some routers were heard, each stands
        for several; routers of which nothing is known count like this one.
        """
        own = _own_demand(link, now, continues)
        found = [(own, 1.0)]
        heard = collections.Counter(
            domain
            for at, domain in self.heard.values()
            if now - at < REPORT_SECONDS
        )
        heard[self.domain] += 1
        for domain, count in self.router_counts.items():
            if count and not heard[domain]:
                found.append((own, float(count)))
        for each in link.reports.values():
            if now - each.at < REPORT_SECONDS:
                count = self.router_counts.get(each.domain, 0)
                found.append(
                    (
                        each.continuing if continues else each.new,
                        max(1.0, count / max(1, heard[each.domain])),
                    )
                )
        return found

    def _wait_for_equal_part(self, budget, transfer, now):
        """Return the wait by an equal part of all routers, None for none.

        A stream that continues may use the part of one further transfer.
        """
        link = budget.link
        share = budget.rate / self.router_total
        if link.owed_at == -math.inf:
            # All routers may start at once; the hash spreads their first
            # transfers evenly.
            others = 1.0 - 1.0 / self.router_total
            link.owed = budget.megabytes * others * self._hash(budget.name)
        else:
            link.owed = max(
                link.owed - share * (now - link.owed_at),
                -share * MAX_UNUSED_SECONDS,
            )
        link.owed_at = now
        allowed = budget.megabytes if transfer.continues else 0.0
        if link.owed <= allowed:
            return None
        return min(MAX_WAIT_SECONDS, (link.owed - allowed) / share)

    def _hash(self, name):
        return zlib.crc32(f'{name} {self.name}'.encode()) / 2.0**32


def _own_demand(link, now, continues):
    """Return what this router's requests have asked of a link, in MB/s."""
    megabytes = sum(
        each.megabytes
        for each in link.asked
        if now - each.at < link.window and each.continues is continues
    )
    return megabytes / link.window


def make_domain_links(name, domain, draw):
    """Make `DomainLinks` of a router that knows of no demand."""
    return DomainLinks(name, domain, draw)
