"""Error budget burn report as text and as an HTML page."""

__all__ = ['text', 'page']

import html

import pygal

COLUMNS = ('group', 'name', 'window', 'total', 'good', 'target', 'burn')
PLOT_MINUTES = 60
PLOT_HEIGHT = 320
EMPTY_TALLY = (0, 0)


def text(report):
    """Return the report as aligned text.

    Parameters
    ----------
    report : dict
        As sent by the router.
    """
    lines = [
        f'{"group":8} {"name":24} {"window":6} {"requests":>9}'
        f' {"within":>8} {"target":>8} {"burn":>8}'
    ]
    for row in report['rows']:
        burn = '-' if row['burn'] is None else f'{row["burn"]:.2f}'
        lines.append(
            f'{row["group"]:8} {row["name"]:24} {row["window"]:6}'
            f' {row["total"]:9d} {row["good"]:8d} {row["target"]:8.4f}'
            f' {burn:>8}'
        )
    lines.extend(f'not reached: {period}' for period in report['unreached'])
    return '\n'.join(lines)


def _plot(group, minutes):
    """Plot the share within the bound by minute, one line per member."""
    times = sorted(int(minute) for minute in minutes)[-PLOT_MINUTES:]
    names = sorted(
        {
            key
            for minute in times
            for key in minutes[str(minute)]
            if key.startswith(f'{group}/')
        }
    )
    chart = pygal.Line(
        title=f'Share within the bound, by {group}',
        height=PLOT_HEIGHT,
        range=(0, 1),
        js=(),
        disable_xml_declaration=True,
        show_x_labels=False,
    )
    chart.x_labels = [str(time) for time in times]
    for name in names:
        points = []
        for time in times:
            total, good = minutes[str(time)].get(name, EMPTY_TALLY)
            points.append(good / total if total else None)
        chart.add(name.partition('/')[2], points)
    return chart.render(is_unicode=True)


def page(report):
    """Return the report as one self-contained HTML page."""
    cells = ''.join(f'<th>{column}</th>' for column in COLUMNS)
    body = []
    for row in report['rows']:
        over_budget = row['burn'] is not None and row['burn'] > 1.0
        mark = ' class="burning"' if over_budget else ''
        values = ''.join(
            f'<td>{html.escape(str(row[column]))}</td>' for column in COLUMNS
        )
        body.append(f'<tr{mark}>{values}</tr>')
    unreached = ''.join(
        f'<li>{html.escape(period)}</li>' for period in report['unreached']
    )
    plots = ''.join(
        _plot(group, report['minutes'])
        for group in ('service', 'class', 'account')
    )
    return (
        '<!doctype html><meta charset="utf-8"><title>Service-level burn'
        '</title><style>body{font-family:sans-serif;margin:2em}'
        'td,th{padding:.2em .8em;text-align:right}'
        '.burning{background:#fdd}</style><h1>Service-level burn</h1>'
        f'{plots}<h2>Not reached</h2><ul>{unreached or "<li>nothing</li>"}'
        f'</ul><table><tr>{cells}</tr>{"".join(body)}</table>\n'
    )
