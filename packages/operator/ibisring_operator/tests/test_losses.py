"""Tests of summing up where callers lost."""

import json

from typer import testing

from ibisring_operator import loglines
from ibisring_operator import losses
from ibisring_operator import main


def _line(seconds, event, request='r', source='vm-1', **facts):
    return loglines.Line(100.0 + seconds, source, event, request, facts)


def _count(*lines, **span):
    found = losses.make_losses(**span)
    for line in [_line(0.0, 'started', ''), *lines]:
        found.take(line)
    return losses.report(found)


def _ends(figures):
    return {
        (row['end'], row['cause']): row['requests'] for row in figures['ends']
    }


def _request(seconds, request, outcome='answered', **facts):
    return _line(
        seconds, 'request', request, outcome=outcome, ms=100.0, **facts
    )


def test_what_made_requests_late_is_told_apart():
    figures = _count(
        _line(1.0, 'stages_lost', 'a', lost=['x']),
        _line(1.0, 'no_way_round', 'a', lost=['x']),
        _request(2.0, 'a', late='pause'),
        _request(2.0, 'b', late='pause'),
        _request(2.0, 'c', late='first'),
        _request(2.0, 'd'),
    )
    assert _ends(figures) == {
        ('late', 'pause: no other holder, stage lost'): 1,
        ('late', 'pause: no loss seen'): 1,
        ('late', 'first: no loss seen'): 1,
        ('on_time', losses.ON_TIME): 1,
    }


def test_refusals_name_the_layers_without_room():
    refused = dict(status=503, why='no endpoint has room')
    figures = _count(
        _request(1.0, 'a', 'overloaded', layers=['0-26 missing'], **refused),
        _request(1.0, 'b', 'overloaded', layers=['0-26 missing'], **refused),
        _line(1.0, 'endpoint_refused', 'c', culprit='x', status=503),
        _request(1.0, 'c', 'outcome_unknown', status=504, why='lost'),
    )
    assert _ends(figures) == {
        ('refused', 'overloaded: no endpoint has room'): 2,
        ('failed', 'outcome_unknown: lost'): 1,
    }
    assert figures['without_room'] == [
        {'layers': '0-26 missing', 'requests': 2}
    ]
    assert figures['rejections'][0]['engine'] == 'x'


def test_a_span_is_by_the_begin_of_requests_and_leaves_others_out():
    lines = [_request(s, f'r{s}') for s in (1.0, 5.05, 9.0)]
    figures = _count(*lines, since=2.0, until=5.0)
    assert figures['requests'] == 1
    gone = _request(1.0, 'gone', 'caller_gone')
    assert _count(gone)['requests'] == 0


def test_streams_are_counted_by_stages_and_by_first_stage():
    chain = 'h=0-40 t=40-80'
    figures = _count(
        _line(
            4.0,
            'request',
            'a',
            outcome='answered',
            ms=2000.0,
            events=50,
            chain=chain,
        )
    )
    assert figures['ms_an_event'] == [
        {'stages': 2, 'streams': 1, 'median': 40.0}
    ]
    assert figures['first_stages'][0] == {
        'engine': 'h',
        'mean': 0.7,
        'most': 1.0,
    }


def test_what_is_held_stays_bounded():
    """Symptom: the command takes all memory on a long log.

    Sequence: requests whose end is in another file are never forgotten.
    Cause: their causes were kept until their end was read.
    """
    found = losses.make_losses()
    for number in range(losses.MOST_REQUESTS + 100):
        found.take(_line(1.0, 'stages_lost', f'r{number}'))
    assert len(found.causes) == losses.MOST_REQUESTS


def test_the_command_tells_damaged_lines_and_draws(tmp_path):
    log = tmp_path / 'vm-1.log'
    value = {'time': 5.0, 'event': 'request', 'id': 'a', 'outcome': 'answered'}
    log.write_text(json.dumps(value) + '\n{"time": 6.0, "ev\nplain text\n')
    picture = tmp_path / 'plot.svg'
    runner = testing.CliRunner()
    arguments = ['losses', str(log), '--plot', str(picture)]
    found = runner.invoke(main.app, [*arguments, '--mark', '0:crash'])
    assert found.exit_code == 0
    assert '1 requests' in found.output
    assert 'vm-1.log:2' in found.output
    assert '0 crash' in picture.read_text()
    bad = runner.invoke(main.app, [*arguments, '--mark', 'x'])
    assert bad.exit_code == 2
    missing = runner.invoke(main.app, ['losses', str(log) + 'x'])
    assert missing.exit_code == 2
