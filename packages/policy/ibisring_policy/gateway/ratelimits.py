"""How much of an endpoint this router may use, and when.

An endpoint may declare the rate of requests that it accepts from all
routers together.  The rate is divided equally among the failure domains with
demand for the endpoint, and within one among a few of its routers with demand,
so that each of these may send now and then.  There is no agreement protocol:
each router decides by the updates it has received recently.  What the fleet
sends beyond the limit while views differ is bounded, since a share accumulates
for a moment only.

An endpoint may also ask a single router to send nothing for a time, whether
or not it has declared a rate (`backoffs`).
"""

__all__ = ['Limits', 'LimitUpdate', 'Reservation', 'make_limits']

import math
import zlib

from ibisring_policy.gateway import backoffs
from ibisring_records import received
import msgspec

# Fraction of a limit that is divided; the rest covers what is sent while
# shares move between routers.
DIVIDED_FRACTION = 0.9
# Routers that share a limit, for each request per second of it.  Each may send
# one request at once, so that this also bounds the burst.
SHARERS_PER_RATE = 1.5
# How long a router counts as having demand after its last request.
DEMAND_SECONDS = 6.0
# An endpoint that declares less than this rate, in requests per second, still
# gets this rate: otherwise no router would learn that it accepts more again.
MIN_RATE = 0.1
# Seconds of a share that may accumulate while it is not used.
MAX_UNUSED_SECONDS = 0.1
# Bounds of the time over which the retries of refused callers are spread, in
# general and after the end of a backoff.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 10.0
MAX_BACKOFF_SPREAD_SECONDS = 1.0
# How long the removal of a limit is sent to others.
REMOVAL_TTL_SECONDS = 30.0
# How long a changed limit is part of every update.
NEW_SECONDS = 2.0
# Bounds on the limits that are kept, and on those in one update.
MAX_LIMITS = 500
MAX_SENT = 24
MS_PER_SECOND = 1000.0


class LimitUpdate(msgspec.Struct, array_like=True):
    """What a router sends to others about a limit.

    `rate` is what the endpoint declared, None if it no longer has a limit;
    `age_ms` is the time since the request was sent whose answer declared it,
    `started` the start of the endpoint, `demand_ms` the time since the router
    last had demand, and `domain_demand_ms` since some router of its failure
    domain had, None if that is too long ago.
    """

    rate: received.Number | None
    age_ms: received.Integer
    started: received.Count
    demand_ms: received.Integer | None = None
    domain_demand_ms: received.Integer | None = None


class _Limit(msgspec.Struct):
    """What is known of a limit; times are monotonic seconds.

    `router_demand` and `domain_demand` give the last time of demand for the
    endpoint, of routers of the own failure domain and of other domains.
    """

    rate: float | None
    declared_at: float
    started: int
    next_at: float = 0.0
    share: float = 0.0
    demand_at: float = -1e9
    changed_at: float = 0.0
    router_demand: dict[str, float] = {}
    domain_demand: dict[str, float] = {}


class Reservation:
    """The reserved sending of one request to an endpoint.

    Attributes
    ----------
    endpoint : str
    wait : float
        Seconds to wait before sending it.
    before, after : (float or None, float or None)
        The next times by its limit and its backoff, before and after it.
    """

    __slots__ = ('endpoint', 'wait', 'before', 'after')

    def __init__(self, endpoint, wait, before, after):
        self.endpoint = endpoint
        self.wait = wait
        self.before = before
        self.after = after


class Limits:
    """Limits by endpoint id; the caller holds a lock around each call.

    Parameters
    ----------
    name, domain : str
        This router's name and failure domain.

    Attributes
    ----------
    changes : int
        Counter of the changes of declared limits.
    backoffs : backoffs.Backoffs

    Examples
    --------
    >>> limits = make_limits('r1', 'a')
    >>> limits.record_rate('e1', 0, 2.0, 10.0, 10.0)
    True
    >>> limits.wait('e1', 10.0) > 0.0
    True
    >>> limits.acquire('e1', 20.0, 0.0)
    0.0
    >>> limits.acquire('e1', 20.0, 0.0) is None
    True
    """

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.by_endpoint = {}
        self.backoffs = backoffs.make_backoffs()
        self.changes = 0

    def record_rate(self, endpoint, started, rate, sent_at, now):
        """Record the limit that an endpoint declared, or that it has none.

        An answer that may have been delayed does not override the answer to a
        request that was sent later.

        Parameters
        ----------
        endpoint : str
        started : int
            Distinguishes processes that used the same endpoint id.
        rate : float or None
            Requests per second.
        sent_at, now : float

        Returns
        -------
        bool
            Whether the limit changed.
        """
        limit = self.by_endpoint.get(endpoint)
        if limit is None:
            if rate is None or len(self.by_endpoint) >= MAX_LIMITS:
                return False
            limit = _Limit(None, sent_at, started)
            self.by_endpoint[endpoint] = limit
        elif sent_at < limit.declared_at:
            return False
        limit.declared_at = sent_at
        limit.started = started
        if limit.rate == rate:
            return False
        limit.rate = rate
        limit.changed_at = now
        self.changes += 1
        return True

    def record_start(self, endpoint, started):
        """Drop what was declared before an endpoint's last start."""
        self.backoffs.record_start(endpoint, started)
        limit = self.by_endpoint.get(endpoint)
        if limit is not None and limit.started != started:
            del self.by_endpoint[endpoint]
            self.changes += 1

    def keep_only(self, names):
        """Drop the limits of all other endpoints.

        Their backoffs stay until they expire: the entry of an endpoint may be
        missing for a moment, and its process still wants nothing then.
        """
        for name in [n for n in self.by_endpoint if n not in names]:
            del self.by_endpoint[name]

    def rate(self, endpoint):
        """Return the rate that an endpoint declared, None without a limit."""
        limit = self.by_endpoint.get(endpoint)
        return None if limit is None else limit.rate

    def is_limited(self, endpoint, now):
        """Return whether requests to an endpoint need to be admitted."""
        if self.backoffs.get(endpoint, now) is not None:
            return True
        return self.rate(endpoint) is not None

    def wait(self, endpoint, now):
        """Return the seconds until this router may send to an endpoint.

        Returns
        -------
        float
            0 without a limit, infinity if the router has no share in it.
        """
        wait = self.backoffs.wait(endpoint, now)
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.rate is None:
            return wait
        self._update_share(endpoint, limit, now)
        if not limit.share:
            return math.inf
        return max(wait, limit.next_at - now)

    def acquire(self, endpoint, now, max_wait):
        """Reserve the sending of one request to an endpoint.

        Parameters
        ----------
        endpoint : str
        now : float
        max_wait : float
            Seconds that the request may be delayed.

        Returns
        -------
        float or None
            Seconds to wait before sending it; None if it may not be sent.
        """
        limit = self.by_endpoint.get(endpoint)
        has_rate = limit is not None and limit.rate is not None
        if has_rate:
            limit.demand_at = now
        wait = self.wait(endpoint, now)
        if wait > max_wait:
            return None
        self.backoffs.reserve(endpoint, now)
        if has_rate:
            # However long the share was unused, little of it accumulates, so
            # that a router does not send a burst after a freeze.
            since = max(limit.next_at, now - MAX_UNUSED_SECONDS)
            limit.next_at = since + 1.0 / limit.share
        return wait

    def reserve(self, endpoint, now, max_wait):
        """Reserve as `acquire` does, so that it can be given back.

        Returns
        -------
        Reservation or None
        """
        # A changed share changes the next time as well, which stays.
        self.wait(endpoint, now)
        before = self._next_times(endpoint)
        wait = self.acquire(endpoint, now, max_wait)
        if wait is None:
            return None
        return Reservation(endpoint, wait, before, self._next_times(endpoint))

    def give_back(self, reservation):
        """Undo a reservation for a request that was not sent.

        One that others have followed stays: these go by it, and a request
        that took its place would be sent at the same time as one of them.

        Parameters
        ----------
        reservation : Reservation
        """
        endpoint = reservation.endpoint
        if self._next_times(endpoint) != reservation.after:
            return
        next_at, trial_at = reservation.before
        if next_at is not None:
            self.by_endpoint[endpoint].next_at = next_at
        if trial_at is not None:
            self.backoffs.by_endpoint[endpoint].next_trial_at = trial_at

    def _next_times(self, endpoint):
        """Return the next times by limit and backoff, None without one."""
        limit = self.by_endpoint.get(endpoint)
        backoff = self.backoffs.by_endpoint.get(endpoint)
        return (
            limit and limit.next_at,
            backoff and backoff.next_trial_at,
        )

    def _update_share(self, endpoint, limit, now):
        """Recompute this router's share, in requests per second."""
        share = self._compute_share(endpoint, limit, now)
        if share == limit.share:
            return
        if not limit.share and share:
            # Others may have used this share until now.  The hash spreads the
            # first requests of routers that get a share at the same time.
            offset = _hash_fraction(endpoint, self.name)
            limit.next_at = now + offset / share
        elif share:
            limit.next_at = min(limit.next_at, now + 1.0 / share)
        limit.share = share

    def _compute_share(self, endpoint, limit, now):
        rate = DIVIDED_FRACTION * max(limit.rate, MIN_RATE)
        domains = 1 + sum(
            1
            for at in limit.domain_demand.values()
            if now - at < DEMAND_SECONDS
        )
        routers = [
            name
            for name, at in limit.router_demand.items()
            if now - at < DEMAND_SECONDS and name != self.name
        ]
        routers.append(self.name)
        max_sharers = math.ceil(SHARERS_PER_RATE * limit.rate / domains)
        sharers = sorted(
            routers, key=lambda name: _hash_fraction(endpoint, name)
        )
        sharers = sharers[: max(1, max_sharers)]
        if self.name not in sharers:
            return 0.0
        return rate / domains / len(sharers)

    def retry_after(self, endpoints, refused, now, draw):
        """Return the seconds after which a refused caller should retry.

        Callers that were refused recently retry too; the retries are spread
        over the time in which the endpoints accept as many requests.

        Parameters
        ----------
        endpoints : collection of str
            Those that could have served the request.
        refused : int
            Requests that were refused recently.
        now : float
        draw : float
            Random number from the interval [0, 1).
        """
        waits = [self.wait(name, now) for name in endpoints]
        min_wait = min(waits, default=0.0)
        if math.isinf(min_wait):
            # This router has no share; the retry may reach one that has.
            min_wait = 0.0
        delay = max(MIN_RETRY_SECONDS, draw * self._spread(endpoints, refused))
        return min_wait + delay + draw * MIN_RETRY_SECONDS

    def _spread(self, endpoints, refused):
        """Return the seconds over which endpoints accept refused requests."""
        rates = [self.rate(name) for name in endpoints]
        if None in rates:
            max_spread = MAX_BACKOFF_SPREAD_SECONDS
            share = 1.0 / backoffs.TRIAL_INTERVAL_SECONDS
        else:
            max_spread = MAX_RETRY_SECONDS
            share = sum(self.by_endpoint[name].share for name in endpoints)
        share = share or max(MIN_RATE, sum(rates))
        return min(max_spread, (1 + refused) / share)

    def updates_to_send(self, now, rng, old_share=1.0):
        """Return the updates to send to other routers, by endpoint.

        Parameters
        ----------
        now : float
        rng : random.Random
        old_share : float
            Probability of including unchanged limits for which this router
            has no demand.

        Returns
        -------
        dict of str to LimitUpdate
        """
        self._expire_removed(now)
        includes_all = rng.random() < old_share
        known = [
            (name, limit)
            for name, limit in self.by_endpoint.items()
            if includes_all
            or now - limit.changed_at < NEW_SECONDS
            or now - limit.demand_at < DEMAND_SECONDS
        ]
        known.sort(key=lambda item: -item[1].changed_at)
        return {
            name: self._make_update(limit, now)
            for name, limit in known[:MAX_SENT]
        }

    def _expire_removed(self, now):
        """Drop removed limits once their removal has reached all routers."""
        for name, limit in list(self.by_endpoint.items()):
            is_old = now - limit.changed_at > REMOVAL_TTL_SECONDS
            if limit.rate is None and is_old:
                del self.by_endpoint[name]

    def _make_update(self, limit, now):
        demand_times = [limit.demand_at, *limit.router_demand.values()]
        return LimitUpdate(
            limit.rate,
            int((now - limit.declared_at) * MS_PER_SECOND),
            limit.started,
            _age_ms(limit.demand_at, now),
            _age_ms(max(demand_times), now),
        )

    def endpoints_in_demand(self, now):
        """Return the endpoints with limits for which this router has demand.

        Returns
        -------
        list of str
        """
        return [
            name
            for name, limit in self.by_endpoint.items()
            if now - limit.demand_at < DEMAND_SECONDS
        ]

    def receive_updates(self, router, domain, updates, now, starts):
        """Merge the updates of another router.

        Parameters
        ----------
        router, domain : str
            Its name and failure domain.
        updates : dict of str to LimitUpdate
        now : float
        starts : dict of str to int
            When endpoints started, as far as this router knows.

        Returns
        -------
        list of str
            Endpoints whose limits changed.
        """
        changed = []
        for name, update in updates.items():
            if update.age_ms < 0 or not _is_valid_rate(update.rate):
                continue
            if update.started != starts.get(name, update.started):
                # The two routers know different starts of the endpoint.
                continue
            if update.rate != self.rate(name):
                # A known rate is not recorded again: each hop would make it
                # look younger by the hop's delay, so that it would outlast
                # its removal.
                declared_at = now - update.age_ms / MS_PER_SECOND
                if self.record_rate(
                    name, update.started, update.rate, declared_at, now
                ):
                    changed.append(name)
            limit = self.by_endpoint.get(name)
            if limit is None:
                continue
            if domain == self.domain:
                _record_demand(
                    limit.router_demand, router, update.demand_ms, now
                )
            else:
                _record_demand(
                    limit.domain_demand, domain, update.domain_demand_ms, now
                )
        return changed


def _is_valid_rate(rate):
    return rate is None or (math.isfinite(rate) and rate > 0)


def _record_demand(times, name, age_ms, now):
    if age_ms is not None and age_ms >= 0:
        at = now - age_ms / MS_PER_SECOND
        times[name] = max(at, times.get(name, at))


def _age_ms(at, now):
    """Return the age of demand in milliseconds, None if it has expired."""
    age = now - at
    return int(age * MS_PER_SECOND) if age < DEMAND_SECONDS else None


def _hash_fraction(endpoint, router):
    """Return a number in [0, 1) that is the same at all routers."""
    return zlib.crc32(f'{endpoint} {router}'.encode()) / 2.0**32


def make_limits(name, domain):
    """Make `Limits` of a router that knows of no limit."""
    return Limits(name, domain)
