"""The limit on a process's file descriptors, shared by its connections."""

__all__ = [
    'DescriptorLimit',
    'Slots',
    'make_limit',
    'make_unlimited',
    'raise_soft_limit',
]

import logging
import random
import resource
import threading
import time

from ibisring_policy.gateway import descriptors
from ibisring_policy.gateway import grantrate
from ibisring_policy.gateway import returntimes
from ibisring_router import logs
from ibisring_router import metrics as metrics_module

LOG = logging.getLogger(__name__)
# A limit that was not reached for this time has ended, so that at most one
# pair of lines a second and kind is logged.
END_SECONDS = 1.0
UNLIMITED = 1_000_000
# Refusals for a descriptor don't look at the rank of a request.
_RANK = (0,)
_POSITION = 1.0


class Slots:
    """The connections of one kind.

    Parameters
    ----------
    limit : DescriptorLimit
    kind : descriptors.Kind

    Attributes
    ----------
    reached_at : float or None
        When the limit last kept a connection from being opened.
    since : float or None
        Since when it does, None if it does not.
    closers : list of callable
        Each closes an idle connection, and returns whether there was one.
    """

    def __init__(self, limit, kind):
        self.limit = limit
        self.kind = kind
        self.reached_at = None
        self.since = None
        self.closers = []
        self.closed_idle = 0
        self.refused = 0
        self.free_rate = grantrate.make_grant_rate()
        self.return_times = returntimes.make_return_times()

    def may_open(self):
        """Return whether a connection may be opened."""
        with self.limit.lock:
            return self.limit.budget.may_open(self.kind)

    def open(self):
        """Count a connection, if it may be opened; return whether it may."""
        with self.limit.lock:
            return self.limit.budget.open(self.kind)

    def open_in_place(self):
        """Count a connection, if need be in place of an idle one.

        Returns
        -------
        bool
            Whether it may be opened.
        """
        return self.open() or (self.make_room() and self.open())

    def make_room(self):
        """Close an idle connection for one of this kind; return whether."""
        with self.limit.lock:
            kinds = self.limit.budget.kinds_to_close(self.kind)
        for kind in kinds:
            slots = self.limit.slots[kind]
            if any(closer() for closer in slots.closers):
                self._record_closed_idle(kind)
                return True
        return False

    def close(self):
        """Count a connection as closed."""
        with self.limit.lock:
            self.limit.budget.close(self.kind)

    def begin_refusal(self):
        """Count a connection to refuse; return whether there is room."""
        with self.limit.lock:
            return self.limit.budget.begin_refusal()

    def end_refusal(self):
        """Count a refused connection as closed."""
        with self.limit.lock:
            self.limit.budget.end_refusal()

    def record_free(self):
        """Record that a connection has become idle or was closed."""
        with self.limit.lock:
            self.free_rate.note(1.0, self.limit.clock())

    def _record_closed_idle(self, kind):
        """Record that an idle connection was closed for one of this kind."""
        self.limit.metrics.count(f'descriptors_closed_idle.{kind.value}')
        self._record_reached()
        with self.limit.lock:
            self.closed_idle += 1

    def record_refusal(self):
        """Record a refusal.

        Returns
        -------
        float
            Seconds after which a connection is expected to be free for the
            one that was refused, and for those refused before it.
        """
        now = self.limit.clock()
        self.limit.metrics.count(f'descriptors_refused.{self.kind.value}')
        self._record_reached()
        with self.limit.lock:
            self.refused += 1
            self.free_rate.begin_shortage(now)
            rate = self.free_rate.requests(now)
            return self.return_times.assign(
                _RANK,
                0,
                grantrate.MIN_REQUEST_RATE if rate is None else rate,
                0.0,
                _POSITION,
                now,
                self.limit.rng.random(),
            )

    def record_denial(self):
        """Record that a connection could not be opened and is waited for."""
        self.limit.metrics.count(f'descriptors_denied.{self.kind.value}')
        self._record_reached()

    def record_exhaustion(self, error):
        """Record that the system gave no descriptor though one was left."""
        name = f'descriptors_exhausted.{self.kind.value}'
        self.limit.metrics.count(name)
        self._record_reached(error)

    def _record_reached(self, error=None):
        now = self.limit.clock()
        with self.limit.lock:
            self.reached_at = now
            if self.since is not None:
                return
            self.since = now
            facts = self.limit.facts()
        logs.event(
            LOG,
            'descriptors_reached',
            kind=self.kind.value,
            why=str(error) if error else None,
            **facts,
        )

    def check_end(self):
        """Log the end of a time at the limit."""
        now = self.limit.clock()
        with self.limit.lock:
            if self.since is None or now - self.reached_at < END_SECONDS:
                return
            seconds = self.reached_at - self.since
            closed_idle, self.closed_idle = self.closed_idle, 0
            refused, self.refused = self.refused, 0
            self.since = None
            self.free_rate.end_shortage(now)
            facts = self.limit.facts()
        logs.event(
            LOG,
            'descriptors_left',
            kind=self.kind.value,
            seconds=round(seconds, 3),
            closed_idle=closed_idle,
            refused=refused,
            **facts,
        )


class DescriptorLimit:
    """The limit on descriptors of a process.

    Parameters
    ----------
    count : int
        Descriptors that the process may have.
    metrics : metrics.Metrics
    clock : callable

    Attributes
    ----------
    slots : dict of descriptors.Kind to Slots
    """

    def __init__(self, count, metrics, clock):
        self.count = count
        self.metrics = metrics
        self.clock = clock
        self.lock = threading.Lock()
        self.rng = random.Random()
        self.budget = descriptors.make_budget(count)
        self.slots = {kind: Slots(self, kind) for kind in descriptors.Kind}

    def facts(self):
        """Return the numbers of open connections; the lock is held."""
        used = {kind.value: n for kind, n in self.budget.used.items()}
        return {'limit': self.count, 'open': used}

    def run_checks(self):
        """Log where a time at the limit has ended."""
        for slots in self.slots.values():
            slots.check_end()

    def update_metrics(self):
        """Set the metrics of open connections."""
        counters = self.metrics.counters
        counters['descriptors_limit'] = self.count
        with self.lock:
            for kind, number in self.budget.used.items():
                counters[f'descriptors_open.{kind.value}'] = number
            counters['descriptors_refusing'] = self.budget.refusing


def raise_soft_limit(count):
    """Raise the process's soft limit to a number of descriptors.

    Returns
    -------
    int
        The number that the process can have, at most `count`.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= count:
        return count
    allowed = count if hard == resource.RLIM_INFINITY else min(count, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    except (OSError, ValueError) as error:
        LOG.warning('the limit on descriptors stays at %d: %s', soft, error)
        return soft
    return allowed


def make_limit(count, metrics, clock=time.monotonic):
    """Make the `DescriptorLimit` of a process without connections."""
    return DescriptorLimit(count, metrics, clock)


def make_unlimited():
    """Make the `Slots` of connections of which there may be any number."""
    limit = make_limit(UNLIMITED, metrics_module.make_metrics())
    return limit.slots[descriptors.Kind.CALLERS]
