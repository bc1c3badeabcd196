"""Counters and timers, kept in the process and sent to statsd."""

__all__ = ['Metrics', 'make_metrics']

import collections
import threading

from hdrh import histogram
import statsd

PREFIX = 'ibisring'
# Histograms hold microseconds up to a minute, to 2 significant digits.
MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counts events, for statsd and for `/v1/counters`.

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
            durations = self.histograms.get(name)
            if durations is None:
                durations = histogram.HdrHistogram(
                    1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
                )
                self.histograms[name] = durations
            durations.record_value(
                min(MAX_MICROSECONDS, max(1, int(seconds * 1e6)))
            )
        if self.client is not None:
            self.client.timing(name, seconds * 1000.0)

    def gauge(self, name, value):
        """Send the current value of a gauge; it is not kept."""
        if self.client is not None:
            self.client.gauge(name, value)

    def snapshot(self):
        """Return a copy of the counters."""
        with self.lock:
            return dict(self.counters)

    def text(self):
        """Return counters and quantiles of durations, one per line.

        Examples
        --------
        >>> metrics = make_metrics()
        >>> metrics.count('requests')
        >>> metrics.text()
        'ibisring_requests 1\\n'
        """
        with self.lock:
            lines = [
                f'{PREFIX}_{_metric_name(name)} {value}'
                for name, value in sorted(self.counters.items())
            ]
            for name, durations in sorted(self.histograms.items()):
                lines.extend(_quantiles(name, durations))
        return '\n'.join(lines) + '\n'


def _metric_name(name):
    return name.replace('.', '_').replace('-', '_')


def _quantiles(name, durations):
    metric = f'{PREFIX}_{_metric_name(name)}_seconds'
    for percentile in QUANTILES:
        value = durations.get_value_at_percentile(percentile) / 1e6
        yield f'{metric}{{quantile="{percentile / 100.0:g}"}} {value:.6f}'
    yield f'{metric}_count {durations.get_total_count()}'


def make_metrics(address=''):
    """Create metrics, sent to a statsd at 'IP:PORT' if one is given."""
    client = None
    if address:
        host, _, port = address.rpartition(':')
        client = statsd.StatsClient(host, int(port), prefix=PREFIX)
    return Metrics(client)
