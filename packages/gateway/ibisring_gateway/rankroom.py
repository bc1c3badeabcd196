"""Keeps room of engines free for more urgent requests."""

__all__ = ['Monitor', 'make_monitor', 'share_for', 'restrict']

import logging

from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Change of a share that is logged, and the least seconds between two lines of
# a rank: shares follow the load, which varies from second to second.
LOGGED_CHANGE = 0.1
LOG_INTERVAL_SECONDS = 1.0


def share_for(view, service, rank, holders, now, is_complete=True):
    """Return the share of engines that a request may fill.

    The caller holds the view's lock.

    Parameters
    ----------
    view : view.View
    service : str
    rank : tuple
    holders : list of chains.Holder
        The engines that take requests now.
    now : float
    is_complete : bool
        Whether engines that only this request avoids are among them.

    Returns
    -------
    float
        1.0 for a service without ranks, 0.0 if this router has used up its
        part while gossip is silent.
    """
    shares = view.rank_shares
    if service not in shares.ranked:
        return 1.0
    if is_complete:
        shares.note_capacity(service, sum(each.capacity for each in holders))
    if shares.is_used_up(service, rank, now):
        return 0.0
    return shares.share(service, rank, now)


def restrict(holders, share):
    """Make engines look as large as the share that may be filled, in place."""
    if share >= 1.0:
        return
    for holder in holders:
        holder.capacity *= share
        holder.slot_use = holder.slot_use / share if share else 1.0


class Monitor:
    """Logs and measures the shares of ranks.

    Parameters
    ----------
    view : view.View
    metrics : metrics.Metrics
    """

    def __init__(self, view, metrics):
        self.view = view
        self.metrics = metrics
        self.logged = {}

    def run_checks(self):
        """Log shares that have changed; called several times a second."""
        now = self.view.clock()
        for (service, rank), share in self._shares(now).items():
            at, before = self.logged.get((service, rank), (None, 1.0))
            if abs(share - before) <= LOGGED_CHANGE:
                continue
            if at is not None and now - at < LOG_INTERVAL_SECONDS:
                continue
            self.logged[service, rank] = now, share
            logs.event(
                LOG,
                'rank_room',
                service=service,
                rank=_rank_text(rank),
                share=round(share, 2),
                before=round(before, 2),
                silent=self.view.rank_shares.is_silent(now),
            )

    def _shares(self, now):
        """Return the shares by service and rank.

        A rank that has no more requests is included with a share of 1.0.
        """
        with self.view.lock:
            shares = self.view.rank_shares.shares(now)
        return {**dict.fromkeys(self.logged, 1.0), **shares}

    def update_metrics(self):
        """Set the lowest share of each rank over all services."""
        lowest = {}
        for (_, rank), share in self._shares(self.view.clock()).items():
            lowest[rank] = min(share, lowest.get(rank, 1.0))
        for rank, share in lowest.items():
            name = f'rank_share.{_rank_text(rank)}'
            self.metrics.counters[name] = round(share, 3)


def _rank_text(rank):
    return '-'.join(str(part) for part in rank)


def make_monitor(view, metrics):
    """Make a `Monitor`."""
    return Monitor(view, metrics)
