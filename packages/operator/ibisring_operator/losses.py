"""Where callers lost, summed up from the logs of several VMs.

Each request counts once, by how it ended and why, in the order in which
operators act on it: what was refused, what failed, what was late.
"""

__all__ = ['Losses', 'make_losses', 'report', 'text', 'plot']

import collections

import msgspec
import pygal

# Requests under way whose causes are kept; beyond it the oldest are dropped.
MOST_REQUESTS = 50000
# Engines and chains listed in a table.
MOST_ROWS = 12
# Streams with fewer events say little of the time that an event takes.
LEAST_EVENTS = 10
# Seconds that a bar of the plot stands for.
BAR = 2.0
ON_TIME = 'on time'
# Events that explain why a request was late or failed, by what they say.
CAUSES = {
    'stages_lost': 'stage lost',
    'no_way_round': 'no other holder',
    'cleared_out': 'engine to be emptied',
    'endpoint_refused': 'refused by an engine',
    'endpoint_unreachable': 'not reached',
    'answer_lost': 'answer lost',
}
# Outcomes that say that callers asked for what is not allowed, or left.
NOT_OWED = frozenset(('unauthorized', 'not_found', 'caller_gone'))


class Bar(msgspec.Struct):
    """Requests that began within some seconds, by how they ended."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


class Losses:
    """Counts requests line by line; what it holds is bounded.

    Parameters
    ----------
    since, until : float
        Seconds from the first line; requests that began outside are left
        out.
    """

    def __init__(self, since=0.0, until=float('inf')):
        self.since = since
        self.until = until
        self.zero = None
        self.causes = collections.OrderedDict()
        self.ends = collections.Counter()
        self.bars = collections.defaultdict(Bar)
        self.paces = collections.defaultdict(list)
        self.heads = collections.defaultdict(collections.Counter)
        self.rejections = collections.Counter()
        self.shortages = collections.Counter()

    def take(self, line):
        """Count a line."""
        if self.zero is None:
            self.zero = line.time
        if line.event in CAUSES:
            self._note_cause(line)
        elif line.event == 'request':
            self._take_request(line)

    def _note_cause(self, line):
        key = line.source, line.request
        self.causes.setdefault(key, set()).add(CAUSES[line.event])
        while len(self.causes) > MOST_REQUESTS:
            self.causes.popitem(last=False)
        begun = line.time - self.zero
        if line.event == 'endpoint_refused' and self._is_within(begun):
            culprit = line.facts.get('culprit')
            self.rejections[culprit, line.facts.get('status')] += 1

    def _is_within(self, seconds):
        return self.since <= seconds < self.until

    def _take_request(self, line):
        causes = self.causes.pop((line.source, line.request), ())
        facts = line.facts
        seconds = float(facts.get('ms') or 0.0) / 1000.0
        begun = line.time - seconds - self.zero
        if not self._is_within(begun) or facts.get('outcome') in NOT_OWED:
            return
        end, cause = _end(facts, causes)
        self.ends[end, cause] += 1
        bar = self.bars[int(begun // BAR)]
        setattr(bar, end, getattr(bar, end) + 1)
        for each in facts.get('layers') or ():
            self.shortages[each] += 1
        if facts.get('chain') and facts.get('outcome') == 'answered':
            self._take_stream(facts, begun, seconds)

    def _take_stream(self, facts, begun, seconds):
        stages = facts['chain'].split()
        events = int(facts.get('events') or 0)
        if events >= LEAST_EVENTS:
            self.paces[len(stages)].append(seconds * 1000.0 / events)
        head = stages[0].partition('=')[0]
        for second in range(int(begun), int(begun + seconds) + 1):
            overlap = min(second + 1, begun + seconds) - max(second, begun)
            self.heads[head][second] += max(0.0, overlap)


def _end(facts, causes):
    """Give how a request ended, and why."""
    outcome = facts.get('outcome')
    status = facts.get('status') or 0
    if outcome == 'answered':
        late = facts.get('late')
        if not late:
            return 'on_time', ON_TIME
        return 'late', f'{late}: {", ".join(sorted(causes)) or "no loss seen"}'
    if outcome == 'failed':
        what = f'status {status}' if status else 'broken off'
        return 'failed', what
    why = f'{outcome}: {facts.get("why", "")}'
    return ('refused' if status in (429, 503) else 'failed'), why


def report(losses):
    """Give all figures as builtins."""
    total = sum(losses.ends.values())
    return {
        'requests': total,
        'ends': [
            {'end': end, 'cause': cause, 'requests': count}
            for (end, cause), count in losses.ends.most_common()
        ],
        'ms_an_event': [
            {'stages': stages, 'streams': len(found), 'median': _median(found)}
            for stages, found in sorted(losses.paces.items())
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
            {'second': number * BAR, **msgspec.to_builtins(bar)}
            for number, bar in sorted(losses.bars.items())
        ],
    }


def _median(values):
    return round(sorted(values)[len(values) // 2], 1)


def _first_stages(losses):
    rows = []
    for head, seconds in losses.heads.items():
        total = sum(seconds.values())
        rows.append(
            {
                'engine': head,
                'mean': round(total / max(1, len(seconds)), 1),
                'most': round(max(seconds.values()), 1),
            }
        )
    return sorted(rows, key=lambda row: -row['most'])


def text(figures):
    """Write a report as aligned tables."""
    parts = [f'{figures["requests"]} requests']
    for title, rows in (
        ('how requests ended', figures['ends']),
        ('layers without room', figures['without_room']),
        ('rejections', figures['rejections']),
        ('streams by number of stages', figures['ms_an_event']),
        ('streams at a time by first stage', figures['first_stages']),
    ):
        if rows:
            parts.append(f'\n{title}\n{_table(rows[:MOST_ROWS])}')
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
    """Draw how requests ended over time, as one SVG.

    Parameters
    ----------
    figures : dict
        Of `report`.
    marks : list of (float, str)
        Seconds and what happened then.
    """
    chart = pygal.StackedBar(
        title='Requests by second at which they began',
        js=(),
        x_label_rotation=60,
    )
    bars = figures['bars']
    chart.x_labels = [_label(bar['second'], marks) for bar in bars]
    for name in ('on_time', 'late', 'refused', 'failed'):
        chart.add(name.replace('_', ' '), [bar[name] for bar in bars])
    return chart.render(is_unicode=True)


def _label(second, marks):
    names = [name for at, name in marks if second <= at < second + BAR]
    return ' '.join([f'{second:g}', *names])


def make_losses(since=0.0, until=float('inf')):
    """Make `Losses` that have counted nothing."""
    return Losses(since, until)
