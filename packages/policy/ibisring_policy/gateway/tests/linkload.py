"""Simulates routers whose requests cross one link between two domains."""

__all__ = ['Site', 'simulate']

import random

from ibisring_policy.gateway import domainlinks
import msgspec

PAIR = ('d0', 'd1')
STEP_SECONDS = 0.05
FAR_PEERS = 2


class Site(msgspec.Struct, frozen=True):
    """`load` is the demand of all routers, relative to the link's budget.

    `loss` is the share of gossip that is lost; routers below `older` tell
    nothing and cross without a budget; those below `idle` have no demand.
    `continuing` is the share of streams that continue.
    """

    routers: int
    load: float
    domains: int = 3
    loss: float = 0.3
    older: int = 0
    idle: int = 0
    continuing: float = 0.0
    megabytes: float = 27.8
    rate: float = 93.75
    seconds: float = 30.0


def _gossip(site, fleet, number, now, rng):
    """Send the demand of a router as the gossip schedule does."""
    domain = number % site.domains
    near = [n for n in range(domain, site.routers, site.domains)]
    near = rng.sample(near, -(-len(near) // 3))
    others = [n for n in range(site.routers) if n % site.domains != domain]
    far = rng.sample(others, min(FAR_PEERS, len(others)))
    updates = fleet[number].updates_to_send(now)
    for other in near + far if site.routers > 7 else range(site.routers):
        if other != number and rng.random() >= site.loss:
            fleet[other].receive(f'r{number}', f'd{domain}', updates, now)


def _make_fleet(site, rng):
    return [
        domainlinks.make_domain_links(
            f'r{n}', f'd{n % site.domains}', rng.random
        )
        for n in range(site.routers)
    ]


def _router_counts(site):
    return {
        f'd{d}': len(range(d, site.routers, site.domains))
        for d in range(site.domains)
    }


def _is_admitted(site, links, number, continues, now):
    """Ask for a transfer; a router of the older release always sends it."""
    if number < site.older:
        return True
    transfer = domainlinks.Transfer(site.megabytes, site.rate, 0.5, continues)
    return links.admit([PAIR], transfer, now) is None


def simulate(site, seed, budget):
    """Return the transfers that were admitted.

    Parameters
    ----------
    site : Site
    seed : int
    budget : float
        MB/s that the link's budget allows.

    Returns
    -------
    list of (float, int, bool)
        Time, router, and whether a stream continued.
    """
    rng = random.Random(seed)
    fleet = _make_fleet(site, rng)
    counts = _router_counts(site)
    arrivals = site.load * budget / site.megabytes * STEP_SECONDS
    chance = arrivals / (site.routers - site.idle)
    found = []
    for step in range(int(site.seconds / STEP_SECONDS)):
        now = 100.0 + step * STEP_SECONDS
        for number, links in enumerate(fleet):
            links.set_fleet(counts, site.routers, now)
            if (step + number) % 5 == 0 and number >= site.older:
                _gossip(site, fleet, number, now, rng)
            if number < site.idle or rng.random() >= chance:
                continue
            continues = rng.random() < site.continuing
            if _is_admitted(site, links, number, continues, now):
                found.append((now - 100.0, number, continues))
    return found
