"""How much of an endpoint's limit this router may use.

An endpoint in need names the rate of requests that it takes from all routers
together.  It is divided among the failure domains that want it, and there
among some of the routers that do, so few that each may send now and then.
Nothing is agreed on: each router goes by what it has heard lately, and what
the fleet sends while views differ is bounded by how little a share saves up.
"""

__all__ = ['Limits', 'LimitUpdate', 'make_limits']

import math
import zlib

import msgspec

# Share of a limit that is divided: what is sent while a share changes hands
# is taken from the rest.
DIVIDED = 0.9
# Routers that share a limit, for each request a second of it.  Each may send
# one request at once, so that this also bounds how many come together.
SHARERS = 1.5
# Seconds for which a router counts as wanting an endpoint after it last did.
WANTED_FOR = 6.0
# An endpoint that names less than this, in requests a second, is asked that
# often all the same: nobody would learn otherwise that it takes more again.
LEAST_RATE = 0.1
# Seconds of a share that is not used at once and may be sent together.
SAVED = 0.1
# Bounds of a refused caller's time to return, in seconds.
LEAST_RETRY = 0.1
MOST_RETRY = 10.0
# Seconds for which the recall of a limit is told.
RECALLED_FOR = 30.0
# Seconds for which a change of a limit is told each time.
NEW_FOR = 2.0
# Limits that are known at most, and told at once.
MOST_KNOWN = 500
MOST_TOLD = 24
SECOND_MS = 1000.0


class LimitUpdate(msgspec.Struct, array_like=True):
    """What a router tells of a limit.

    `rate` is what the endpoint named, None that it named none any more;
    `age_ms` are milliseconds since the request was sent whose answer said so,
    `started` the start of the endpoint, `wanted_ms` milliseconds since the
    router last wanted it, and `domain_ms` since some router of its failure
    domain did, None if that is too long.
    """

    rate: float | None
    age_ms: int
    started: int
    wanted_ms: int | None = None
    domain_ms: int | None = None


class _Limit(msgspec.Struct):
    """What is known of a limit; times are monotonic seconds.

    `near` and `far` say when routers of the own failure domain, and other
    failure domains, last wanted the endpoint.
    """

    rate: float | None
    said_at: float
    started: int
    next_at: float = 0.0
    share: float = 0.0
    wanted_at: float = -1e9
    changed_at: float = 0.0
    near: dict[str, float] = {}
    far: dict[str, float] = {}


class Limits:
    """Limits by endpoint id; the caller holds a lock around each call.

    Parameters
    ----------
    name, domain : str
        This router's name and failure domain.

    Attributes
    ----------
    changes : int
        Rises with each change of what some endpoint names.

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
        self.changes = 0

    def record_rate(self, endpoint, started, rate, sent_at, now):
        """Note what an endpoint has named, or that it named nothing.

        An answer says nothing against one to a request that was sent later:
        it may have been under way for long.

        Parameters
        ----------
        endpoint : str
        started : int
            Tells its lifetimes under one id apart.
        rate : float or None
            Requests a second.
        sent_at, now : float

        Returns
        -------
        bool
            Whether that is new.
        """
        limit = self.by_endpoint.get(endpoint)
        if limit is None:
            if rate is None or len(self.by_endpoint) >= MOST_KNOWN:
                return False
            limit = _Limit(None, sent_at, started)
            self.by_endpoint[endpoint] = limit
        elif sent_at < limit.said_at:
            return False
        limit.said_at = sent_at
        limit.started = started
        if limit.rate == rate:
            return False
        limit.rate = rate
        limit.changed_at = now
        self.changes += 1
        return True

    def record_start(self, endpoint, started):
        """Forget what an endpoint named in an earlier lifetime."""
        limit = self.by_endpoint.get(endpoint)
        if limit is not None and limit.started != started:
            del self.by_endpoint[endpoint]
            self.changes += 1

    def keep_only(self, names):
        """Forget endpoints that are gone."""
        for name in [n for n in self.by_endpoint if n not in names]:
            del self.by_endpoint[name]

    def rate(self, endpoint):
        """Give the rate that an endpoint names, None without one."""
        limit = self.by_endpoint.get(endpoint)
        return None if limit is None else limit.rate

    def wait(self, endpoint, now):
        """Give the seconds until this router may send to an endpoint.

        Returns
        -------
        float
            0 without a limit, infinity if the router has no share in it.
        """
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.rate is None:
            return 0.0
        self._divide(endpoint, limit, now)
        if not limit.share:
            return math.inf
        return max(0.0, limit.next_at - now)

    def acquire(self, endpoint, now, patience):
        """Take the right to send one request to an endpoint.

        Parameters
        ----------
        endpoint : str
        now : float
        patience : float
            Seconds that the request may wait for its turn.

        Returns
        -------
        float or None
            Seconds to wait before sending it; None if it may not go there.
        """
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.rate is None:
            return 0.0
        limit.wanted_at = now
        wait = self.wait(endpoint, now)
        if wait > patience:
            return None
        # What was not used is saved for a moment only, however long ago: a
        # router that stood still has nothing to catch up.
        limit.next_at = max(limit.next_at, now - SAVED) + 1.0 / limit.share
        return wait

    def _divide(self, endpoint, limit, now):
        """Work out this router's share, in requests a second."""
        share = self._share(endpoint, limit, now)
        if share == limit.share:
            return
        if not limit.share and share:
            # Others may have used this share until now.  Routers that begin
            # together begin at different times.
            drawn = _draw(endpoint, self.name)
            limit.next_at = now + drawn / share
        elif share:
            limit.next_at = min(limit.next_at, now + 1.0 / share)
        limit.share = share

    def _share(self, endpoint, limit, now):
        rate = DIVIDED * max(limit.rate, LEAST_RATE)
        domains = 1 + sum(
            1 for at in limit.far.values() if now - at < WANTED_FOR
        )
        near = [
            name
            for name, at in limit.near.items()
            if now - at < WANTED_FOR and name != self.name
        ]
        near.append(self.name)
        most = math.ceil(SHARERS * limit.rate / domains)
        sharers = sorted(near, key=lambda name: _draw(endpoint, name))
        sharers = sharers[: max(1, most)]
        if self.name not in sharers:
            return 0.0
        return rate / domains / len(sharers)

    def retry_after(self, endpoints, refused, now, draw):
        """Give the seconds after which a refused request may find room.

        Those refused a moment ago come back too; they are spread over the
        time in which the endpoints take as many.

        Parameters
        ----------
        endpoints : collection of str
            Those that could have taken it.
        refused : int
            Requests that were refused a moment ago.
        now : float
        draw : float
            Random, from 0 up to, without, 1.
        """
        share = 0.0
        soonest = MOST_RETRY
        for name in endpoints:
            limit = self.by_endpoint.get(name)
            if limit is None or limit.rate is None:
                continue
            wait = self.wait(name, now)
            share += limit.share
            soonest = min(soonest, wait)
        if not share:
            # This router has no share; the caller may reach one that has.
            rates = [self.rate(name) or 0.0 for name in endpoints]
            share = max(LEAST_RATE, sum(rates))
            soonest = 0.0
        spread = (1 + refused) / share
        found = soonest + draw * spread
        return min(MOST_RETRY, max(LEAST_RETRY, found)) + draw * LEAST_RETRY

    def updates_to_send(self, now, rng, old_share=1.0):
        """Give what to tell other routers, by endpoint.

        Parameters
        ----------
        now : float
        rng : random.Random
        old_share : float
            How often limits are told that are not new, and that this router
            does not want.

        Returns
        -------
        dict of str to LimitUpdate
        """
        self._forget_recalled(now)
        tells_all = rng.random() < old_share
        known = [
            (name, limit)
            for name, limit in self.by_endpoint.items()
            if tells_all
            or now - limit.changed_at < NEW_FOR
            or now - limit.wanted_at < WANTED_FOR
        ]
        known.sort(key=lambda item: -item[1].changed_at)
        return {
            name: self._word(limit, now) for name, limit in known[:MOST_TOLD]
        }

    def _forget_recalled(self, now):
        """Forget limits whose recall has reached all routers by now."""
        for name, limit in list(self.by_endpoint.items()):
            is_old = now - limit.changed_at > RECALLED_FOR
            if limit.rate is None and is_old:
                del self.by_endpoint[name]

    def _word(self, limit, now):
        wanted_at = [limit.wanted_at, *limit.near.values()]
        return LimitUpdate(
            limit.rate,
            int((now - limit.said_at) * SECOND_MS),
            limit.started,
            _age_ms(limit.wanted_at, now),
            _age_ms(max(wanted_at), now),
        )

    def endpoints_in_demand(self, now):
        """Give the endpoints with limits that this router wanted lately."""
        return [
            name
            for name, limit in self.by_endpoint.items()
            if now - limit.wanted_at < WANTED_FOR
        ]

    def receive_updates(self, router, domain, words, now, starts):
        """Take what another router tells.

        Parameters
        ----------
        router, domain : str
            Its name and failure domain.
        words : dict of str to LimitUpdate
        now : float
        starts : dict of str to int
            When endpoints started, as far as this router knows.

        Returns
        -------
        list of str
            Endpoints that name something new.
        """
        news = []
        for name, word in words.items():
            if word.age_ms < 0 or not _is_rate(word.rate):
                continue
            if word.started != starts.get(name, word.started):
                # Named by one of the two in another lifetime.
                continue
            if word.rate != self.rate(name):
                # The same said again is not taken: at each hop it would look
                # younger by the hop's delay, and outlast its recall.
                said_at = now - word.age_ms / SECOND_MS
                if self.record_rate(
                    name, word.started, word.rate, said_at, now
                ):
                    news.append(name)
            limit = self.by_endpoint.get(name)
            if limit is None:
                continue
            if domain == self.domain:
                _note(limit.near, router, word.wanted_ms, now)
            else:
                _note(limit.far, domain, word.domain_ms, now)
        return news


def _is_rate(rate):
    return rate is None or (math.isfinite(rate) and rate > 0)


def _note(times, name, age_ms, now):
    if age_ms is not None and age_ms >= 0:
        at = now - age_ms / SECOND_MS
        times[name] = max(at, times.get(name, at))


def _age_ms(at, now):
    """Give the milliseconds since a time, None if it was long ago."""
    age = now - at
    return int(age * SECOND_MS) if age < WANTED_FOR else None


def _draw(endpoint, router):
    """Give a number from 0 up to 1 that all routers agree on."""
    return zlib.crc32(f'{endpoint} {router}'.encode()) / 2.0**32


def make_limits(name, domain):
    """Make `Limits` of a router that knows none."""
    return Limits(name, domain)
