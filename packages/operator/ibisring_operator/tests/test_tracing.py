"""Tests of tracing a request through logs."""

from typer import testing

from ibisring_operator import loglines
from ibisring_operator import main
from ibisring_operator import tracing

FIRST = '''not structured
{"time": 9.0, "event": "store_lost", "why": "timed out"}
{"time": 10.0, "event": "attempt_ended", "id": "r1", "end": "lost"}
{"time": 10.1, "event": "request", "id": "r2", "outcome": "answered"}
{"time": 10.2, "event": "request", "id": "r1", "outcome": "x", "ms": 400}
{broken
'''
SECOND = '5.0 vm-2 {"time": 10.1, "event": "store_lost", "why": "other VM"}\n'


def _read(name, content):
    reader = loglines.make_reader()
    return list(reader.parse(name, content.splitlines()))


def test_trace_has_the_request_and_state_changes_around_it():
    lines = _read('vm-1', FIRST) + _read('b', SECOND)
    traced = tracing.trace(lines, 'r1')
    assert [line.event for line in traced] == [
        'store_lost',
        'attempt_ended',
        'request',
    ]
    assert {line.source for line in traced} == {'vm-1'}


SUSPECTED = '''{"time": 1.0, "event": "suspect", "digest": "d1", "ends": 1}
{"time": 1.5, "event": "suspect", "digest": "d2", "ends": 1}
{"time": 60.0, "event": "request", "id": "r1", "digest": "d1", "ms": 1}
{"time": 61.0, "event": "suspect", "digest": "d1", "ends": 4}
'''


def test_trace_of_a_refused_request_shows_the_crashes_behind_it():
    """Failure: the trace lacks crashes minutes earlier at another VM."""
    lines = _read('vm-1', SUSPECTED)
    other_vm = '{"time": 2.0, "event": "suspect", "digest": "d1", "ends": 2}'
    lines += _read('vm-2', other_vm)
    traced = tracing.trace(lines, 'r1')
    assert [line.time for line in traced] == [1.0, 2.0, 60.0]


PARTS = '''{"time": 1.0, "event": "part_suspects", "names": ["Dead"]}
{"time": 2.0, "event": "part_suspects", "names": ["a11e"]}
{"time": 60.0, "event": "request", "id": "r1", "parts": ["dead"], "ms": 1}
'''


def test_trace_of_a_refused_request_shows_the_crashes_of_its_part():
    """Guards against a refusal whose crashes were of other requests."""
    traced = tracing.trace(_read('vm-1', PARTS), 'r1')
    assert [line.time for line in traced] == [1.0, 60.0]


def test_trace_of_an_unknown_request_is_empty():
    assert tracing.trace(_read('vm-1', FIRST), 'none') == []


def test_trace_command(tmp_path):
    path = tmp_path / 'vm-1.log'
    path.write_text(FIRST)
    runner = testing.CliRunner()
    shown = runner.invoke(main.app, ['trace', 'r1', str(path)])
    assert shown.exit_code == 0
    assert 'attempt_ended end="lost"' in shown.output
    missing = runner.invoke(main.app, ['trace', 'none', str(path)])
    assert missing.exit_code == 4
    assert 'none' in missing.output
    unreadable = runner.invoke(main.app, ['trace', 'r1', str(path) + 'x'])
    assert unreadable.exit_code == 2
