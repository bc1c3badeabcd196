"""Counters and timers: kept in the process and sent by statsd."""

__all__ = ['Metrics', 'make_metrics']

import collections
import threading

from hdrh import histogram
import statsd

PREFIX = 'ibisring'
# Durations are kept in microseconds up to a minute, to 2 digits.
LONGEST = 60_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counts events; what `statsd` is sent is also kept for `/v1/counters`.

    Parameters
    ----------
    client : statsd.StatsClient or None
    """

    def __init__(self, client):
        self.client = client
        self.counters = collections.Counter()
        self.histograms = {}
        self.lock = threading.Lock()

    def count(self, name, amount=1):
        """Add to a counter."""
        if amount == 0:
            return
        with self.lock:
            self.counters[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def time(self, name, seconds):
        """Record a duration."""
        with self.lock:
            known = self.histograms.get(name)
            if known is None:
                known = histogram.HdrHistogram(1, LONGEST, DIGITS)
                self.histograms[name] = known
            known.record_value(min(LONGEST, max(1, int(seconds * 1e6))))
        if self.client is not None:
            self.client.timing(name, seconds * 1000.0)

    def gauge(self, name, value):
        """Send a level."""
        if self.client is not None:
            self.client.gauge(name, value)

    def snapshot(self):
        """Give a copy of the counters."""
        with self.lock:
            return dict(self.counters)

    def text(self):
        """Give counters and quantiles of durations, a line each.

        Examples
        --------
        >>> metrics = make_metrics()
        >>> metrics.count('requests')
        >>> metrics.text()
        'ibisring_requests 1\\n'
        """
        with self.lock:
            lines = [
                f'{PREFIX}_{_flat(name)} {value}'
                for name, value in sorted(self.counters.items())
            ]
            for name, known in sorted(self.histograms.items()):
                lines.extend(_quantiles(name, known))
        return '\n'.join(lines) + '\n'


def _flat(name):
    return name.replace('.', '_').replace('-', '_')


def _quantiles(name, known):
    flat = f'{PREFIX}_{_flat(name)}_seconds'
    for each in QUANTILES:
        value = known.get_value_at_percentile(each) / 1e6
        yield f'{flat}{{quantile="{each / 100.0:g}"}} {value:.6f}'
    yield f'{flat}_count {known.get_total_count()}'


def make_metrics(address=''):
    """Make metrics that go to a statsd at 'IP:PORT', if one is named."""
    client = None
    if address:
        host, _, port = address.rpartition(':')
        client = statsd.StatsClient(host, int(port), prefix=PREFIX)
    return Metrics(client)
