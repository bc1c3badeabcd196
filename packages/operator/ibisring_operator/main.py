"""The ``ibisring`` command for operators.

Exit codes: 0 success, 2 usage error or invalid record, 3 conflict, 4 not
accepted or router unreachable, 5 unknown whether accepted, 6 some router is
behind.
"""

__all__ = ['app']

import enum
import json
import pathlib
import time
import uuid

from ibisring_operator import burnreport
from ibisring_operator import client as client_module
from ibisring_operator import loglines
from ibisring_operator import losses as losses_module
from ibisring_operator import tracing
from ibisring_records import exceptions
from ibisring_records import records
import msgspec
import typer

app = typer.Typer(help=__doc__, add_completion=False)
report_app = typer.Typer(help='Reports.')
app.add_typer(report_app, name='report')

EXIT_CODES = (
    (exceptions.Conflict, 3),
    (exceptions.InvalidRequest, 2),
    (exceptions.SubmissionUnknown, 5),
    (exceptions.IbisringError, 4),
)
EXIT_BEHIND = 6


class Output(enum.StrEnum):
    """How results are printed."""

    TABLE = 'table'
    JSON = 'json'


ADDRESS = typer.Option(
    '127.0.0.1:8081',
    '--router',
    envvar='IBISRING_ROUTER',
    help='IP:PORT of a router control listener.',
)
KEY = typer.Option(
    ..., '--key', envvar='IBISRING_OPERATOR_KEY', help='Operator key.'
)
OUTPUT = typer.Option(Output.TABLE, '--output', envvar='IBISRING_OUTPUT')


def exit_with_error(error):
    """Print an error and exit with its code."""
    typer.echo(f'{error.code}: {error}', err=True)
    for name, value in error.facts.items():
        typer.echo(f'  {name}: {value}', err=True)
    for cls, code in EXIT_CODES:
        if isinstance(error, cls):
            raise typer.Exit(code) from error


def print_rows(rows, columns, output):
    """Print rows of builtins as an aligned table or as JSON."""
    if output is Output.JSON:
        typer.echo(json.dumps(rows, indent=2))
        return
    cells = [columns]
    for row in rows:
        cells.append([str(row.get(column, '')) for column in columns])
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths)]
        typer.echo('  '.join(padded).rstrip())


def _read_records(files):
    submitted = []
    for file in files:
        try:
            raw = json.loads(file.read_text())
        except (OSError, ValueError) as error:
            raise exceptions.InvalidRecord(f'{file}: {error}') from error
        if isinstance(raw, dict):
            raw = [raw]
        try:
            submitted.extend(msgspec.convert(raw, list[records.Submitted]))
        except msgspec.ValidationError as error:
            raise exceptions.InvalidRecord(f'{file}: {error}') from error
    return submitted


@app.command()
def submit(
    files: list[pathlib.Path],
    address: str = ADDRESS,
    key: str = KEY,
    output: Output = OUTPUT,
    submission_id: str = typer.Option(
        '', '--id', help='Id, to retry a submission.'
    ),
):
    """Submit the records in FILES; either all are accepted or none."""
    submission_id = submission_id or uuid.uuid4().hex
    try:
        submission = records.Submission(submission_id, _read_records(files))
        accepted = client_module.make_client(address, key).submit(submission)
    except exceptions.IbisringError as error:
        exit_with_error(error)
    row = msgspec.to_builtins(accepted)
    print_rows([row], ['submission', 'revision'], output)


@app.command()
def settle(
    submission_id: str,
    address: str = ADDRESS,
    key: str = KEY,
    output: Output = OUTPUT,
):
    """Show whether a submission was accepted."""
    try:
        accepted = client_module.make_client(address, key).settle(
            submission_id
        )
    except exceptions.IbisringError as error:
        exit_with_error(error)
    row = msgspec.to_builtins(accepted)
    print_rows([row], ['submission', 'revision'], output)


@app.command()
def get(
    kind: str = typer.Argument(''),
    name: str = typer.Argument(''),
    schema: str = typer.Option(
        '', help='Schema in which to show records, v1 or v2.'
    ),
    address: str = ADDRESS,
    key: str = KEY,
    output: Output = OUTPUT,
):
    """Show the active records."""
    try:
        rows = client_module.make_client(address, key).get(kind, name, schema)
    except exceptions.IbisringError as error:
        exit_with_error(error)
    columns = ['kind', 'name', 'schema', 'revision', 'problem']
    if output is Output.TABLE and name:
        columns.append('spec')
    print_rows(rows, columns, output)


@app.command()
def watch(
    address: str = ADDRESS,
    key: str = KEY,
    output: Output = OUTPUT,
    once: bool = typer.Option(False, help='Show once and exit.'),
    seconds: float = typer.Option(2.0, help='Seconds between updates.'),
):
    """Show the active revision of each router, and which are behind."""
    control = client_module.make_client(address, key)
    while True:
        try:
            views = control.router_views()
        except exceptions.IbisringError as error:
            exit_with_error(error)
        newest = max((view.revision for view in views), default=-1)
        rows = [_watch_row(view, newest) for view in views]
        print_rows(rows, list(rows[0]), output)
        if once:
            behind = any(view.revision < newest for view in views)
            raise typer.Exit(EXIT_BEHIND if behind else 0)
        time.sleep(seconds)


class Format(enum.StrEnum):
    """Formats of a report."""

    TEXT = 'text'
    JSON = 'json'
    HTML = 'html'


@report_app.command()
def burn(
    address: str = ADDRESS,
    key: str = KEY,
    form: Format = typer.Option(Format.TEXT, '--format'),
):
    """Show the error budget burn of services, classes and accounts."""
    try:
        report = client_module.make_client(address, key).burn()
    except exceptions.IbisringError as error:
        exit_with_error(error)
    if form is Format.JSON:
        typer.echo(json.dumps(report, indent=2))
    elif form is Format.HTML:
        typer.echo(burnreport.page(report))
    else:
        typer.echo(burnreport.text(report))


@app.command()
def trace(request: str, logs: list[pathlib.Path]):
    """Show the lines of a request from the logs of one or more VMs."""
    lines = list(_read_lines(logs))
    traced = tracing.trace(lines, request)
    if not traced:
        exit_with_error(exceptions.NotFound(f'no lines of request {request}'))
    typer.echo(tracing.text(traced))


def _read_lines(logs):
    """Yield the lines of all files, then report damaged lines."""
    reader = loglines.make_reader()
    for path in logs:
        try:
            yield from reader.read(path)
        except exceptions.IbisringError as error:
            exit_with_error(error)
    if reader.damaged:
        typer.echo(
            f'{reader.damaged} damaged lines skipped, the first at '
            f'{", ".join(reader.damaged_places)}',
            err=True,
        )


def _parse_mark(text):
    """Parse a mark, `SECONDS:NAME`."""
    seconds, colon, name = text.partition(':')
    try:
        return float(seconds), name
    except ValueError:
        exit_with_error(
            exceptions.InvalidRequest(f'mark {text!r} is not SECONDS:NAME')
        )


@app.command()
def losses(
    logs: list[pathlib.Path],
    since: float = typer.Option(0.0, help='Seconds from the first line.'),
    until: float = typer.Option(
        float('inf'), help='Seconds from the first line, exclusive.'
    ),
    output: Output = OUTPUT,
    plot: pathlib.Path = typer.Option(None, help='SVG file to write.'),
    mark: list[str] = typer.Option(
        [], help='SECONDS:NAME, a label in the plot.'
    ),
):
    """Show results of requests and causes, from the logs of VMs."""
    marks = [_parse_mark(each) for each in mark]
    counts = losses_module.make_losses(since, until)
    for line in _read_lines(logs):
        counts.add_line(line)
    figures = losses_module.report(counts)
    if plot is not None:
        plot.write_text(losses_module.plot(figures, marks))
    if output is Output.JSON:
        typer.echo(json.dumps(figures, indent=2))
    else:
        typer.echo(losses_module.text(figures))


def _watch_row(view, newest):
    state = 'in force'
    if view.problem:
        state = 'unreachable'
    elif view.revision < newest:
        state = f'behind by {newest - view.revision}'
    return {
        'router': view.router,
        'failure_domain': view.failure_domain,
        'revision': view.revision,
        'state': state,
        'unreadable': len(view.unreadable),
        'problem': view.problem,
    }


if __name__ == '__main__':
    app()
