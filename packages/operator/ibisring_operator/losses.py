"""Statistics of failed and late requests, from the logs of several VMs.

Each request is counted once, by its result and the cause: refused, failed,
late or on time.
"""

__all__ = ['Losses', 'make_losses', 'report', 'text', 'plot']

import collections

import msgspec
import pygal

# Unfinished requests whose causes are kept; beyond it the oldest are dropped.
MAX_REQUESTS = 50000
# Rows per table of the text report.
MAX_ROWS = 12
# With fewer events the mean time per event of a stream is too inaccurate.
MIN_EVENTS = 10
# Seconds per bar of the plot.
BAR_SECONDS = 2.0
ON_TIME = 'on time'
# Causes for which a request is late or fails, by the event that logs them.
CAUSES = {
    'stages_lost': 'stage lost',
    'no_way_round': 'no other holder',
    'cleared_out': 'engine to be emptied',
    'endpoint_refused': 'refused by an engine',
    'endpoint_unreachable': 'not reached',
    'answer_lost': 'answer lost',
    'relayed': 'own links cut',
    'relay_lost': 'lost at another router',
}
# Outcomes due to the caller: forbidden requests, closed connections.
CALLER_OUTCOMES = frozenset(('unauthorized', 'not_found', 'caller_gone'))


class Bar(msgspec.Struct):
    """Requests that started within `BAR_SECONDS`, by result."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


class Losses:
    """Counts requests line by line, in bounded memory.

    Parameters
    ----------
    since, until : float
        Seconds from the first line; requests that started outside are not
        counted.
    """

    def __init__(self, since=0.0, until=float('inf')):
        self.since = since
        self.until = until
        self.first_line_at = None
        self.causes = collections.OrderedDict()
        self.results = collections.Counter()
        self.bars = collections.defaultdict(Bar)
        self.event_ms_by_stages = collections.defaultdict(list)
        self.first_stage_load = collections.defaultdict(collections.Counter)
        self.rejections = collections.Counter()
        self.shortages = collections.Counter()

    def add_line(self, line):
        """Count a line."""
        if self.first_line_at is None:
            self.first_line_at = line.time
        if line.event in CAUSES:
            self._add_cause(line)
        elif line.event == 'request':
            self._add_request(line)

    def _add_cause(self, line):
        key = line.source, line.request
        self.causes.setdefault(key, set()).add(CAUSES[line.event])
        while len(self.causes) > MAX_REQUESTS:
            self.causes.popitem(last=False)
        start = line.time - self.first_line_at
        if line.event == 'endpoint_refused' and self._is_within(start):
            endpoint = line.facts.get('culprit')
            self.rejections[endpoint, line.facts.get('status')] += 1

    def _is_within(self, seconds):
        return self.since <= seconds < self.until

    def _add_request(self, line):
        causes = self.causes.pop((line.source, line.request), ())
        facts = line.facts
        if facts.get('relayed_by'):
            # The router that the caller asked has a line of its own.
            return
        seconds = float(facts.get('ms') or 0.0) / 1000.0
        start = line.time - seconds - self.first_line_at
        if (
            not self._is_within(start)
            or facts.get('outcome') in CALLER_OUTCOMES
        ):
            return
        result, cause = _classify(facts, causes)
        self.results[result, cause] += 1
        bar = self.bars[int(start // BAR_SECONDS)]
        setattr(bar, result, getattr(bar, result) + 1)
        for layers in facts.get('layers') or ():
            self.shortages[layers] += 1
        if facts.get('chain') and facts.get('outcome') == 'answered':
            self._add_stream(facts, start, seconds)

    def _add_stream(self, facts, start, seconds):
        stages = facts['chain'].split()
        events = int(facts.get('events') or 0)
        if events >= MIN_EVENTS:
            self.event_ms_by_stages[len(stages)].append(
                seconds * 1000.0 / events
            )
        first_stage = stages[0].partition('=')[0]
        for second in range(int(start), int(start + seconds) + 1):
            overlap = min(second + 1, start + seconds) - max(second, start)
            self.first_stage_load[first_stage][second] += max(0.0, overlap)


def _classify(facts, causes):
    """Return the result of a request and its cause."""
    outcome = facts.get('outcome')
    status = facts.get('status') or 0
    if outcome == 'answered':
        late = facts.get('late')
        if not late:
            return 'on_time', ON_TIME
        return 'late', f'{late}: {", ".join(sorted(causes)) or "no loss seen"}'
    if outcome == 'failed':
        cause = f'status {status}' if status else 'broken off'
        return 'failed', cause
    cause = f'{outcome}: {facts.get("why", "")}'
    return ('refused' if status in (429, 503) else 'failed'), cause


def report(losses):
    """Return all figures as builtins."""
    total = sum(losses.results.values())
    return {
        'requests': total,
        'ends': [
            {'end': result, 'cause': cause, 'requests': count}
            for (result, cause), count in losses.results.most_common()
        ],
        'ms_an_event': [
            {'stages': stages, 'streams': len(times), 'median': _median(times)}
            for stages, times in sorted(losses.event_ms_by_stages.items())
        ],
        'first_stages': _first_stages(losses),
        'rejections': [
            {'engine': engine, 'status': status, 'requests': count}
            for (engine, status), count in losses.rejections.most_common()
        ],
        'without_room': [
            {'layers': layers, 'requests': count}
            for layers, count in losses.shortages.most_common()
        ],
        'bars': [
            {'second': number * BAR_SECONDS, **msgspec.to_builtins(bar)}
            for number, bar in sorted(losses.bars.items())
        ],
    }


def _median(values):
    return round(sorted(values)[len(values) // 2], 1)


def _first_stages(losses):
    rows = []
    for first_stage, seconds in losses.first_stage_load.items():
        total = sum(seconds.values())
        rows.append(
            {
                'engine': first_stage,
                'mean': round(total / max(1, len(seconds)), 1),
                'most': round(max(seconds.values()), 1),
            }
        )
    return sorted(rows, key=lambda row: -row['most'])


def text(figures):
    """Return a report as aligned tables."""
    parts = [f'{figures["requests"]} requests']
    for title, rows in (
        ('results of requests', figures['ends']),
        ('layers without free capacity', figures['without_room']),
        ('rejections', figures['rejections']),
        ('streams by number of stages', figures['ms_an_event']),
        ('concurrent streams by first stage', figures['first_stages']),
    ):
        if rows:
            parts.append(f'\n{title}\n{_table(rows[:MAX_ROWS])}')
    return '\n'.join(parts)


def _table(rows):
    columns = list(rows[0])
    cells = [columns, *([str(row[c]) for c in columns] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    return '\n'.join(
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths))
        for row in cells
    )


def plot(figures, marks):
    """Plot the results of requests over time, as one SVG.

    Parameters
    ----------
    figures : dict
        As returned by `report`.
    marks : list of (float, str)
        Seconds from the first line, and a label.
    """
    chart = pygal.StackedBar(
        title='Requests by second of their start',
        js=(),
        x_label_rotation=60,
    )
    bars = figures['bars']
    chart.x_labels = [_label(bar['second'], marks) for bar in bars]
    for name in ('on_time', 'late', 'refused', 'failed'):
        chart.add(name.replace('_', ' '), [bar[name] for bar in bars])
    return chart.render(is_unicode=True)


def _label(second, marks):
    names = [name for at, name in marks if second <= at < second + BAR_SECONDS]
    return ' '.join([f'{second:g}', *names])


def make_losses(since=0.0, until=float('inf')):
    """Create an empty `Losses`."""
    return Losses(since, until)
