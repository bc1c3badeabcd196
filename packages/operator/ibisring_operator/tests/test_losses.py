"""Tests of the statistics of failed and late requests."""

import json

from typer import testing

from ibisring_operator import loglines
from ibisring_operator import losses
from ibisring_operator import main


def _line(seconds, event, request='r', source='vm-1', **facts):
    return loglines.Line(100.0 + seconds, source, event, request, facts)


def _count(*lines, **interval):
    counted = losses.make_losses(**interval)
    for line in [_line(0.0, 'started', ''), *lines]:
        counted.add_line(line)
    return losses.report(counted)


def _results(figures):
    return {
        (row['end'], row['cause']): row['requests'] for row in figures['ends']
    }


def _request(seconds, request, outcome='answered', source='vm-1', **facts):
    return _line(
        seconds, 'request', request, source, outcome=outcome, ms=100.0, **facts
    )


def test_causes_of_late_requests_are_distinguished():
    figures = _count(
        _line(1.0, 'stages_lost', 'a', lost=['x']),
        _line(1.0, 'no_way_round', 'a', lost=['x']),
        _request(2.0, 'a', late='pause'),
        _request(2.0, 'b', late='pause'),
        _request(2.0, 'c', late='first'),
        _request(2.0, 'd'),
    )
    assert _results(figures) == {
        ('late', 'pause: no other holder, stage lost'): 1,
        ('late', 'pause: no loss seen'): 1,
        ('late', 'first: no loss seen'): 1,
        ('on_time', losses.ON_TIME): 1,
    }


def test_refusals_list_the_layers_without_capacity():
    refused = dict(status=503, why='no endpoint has room')
    figures = _count(
        _request(1.0, 'a', 'overloaded', layers=['0-26 missing'], **refused),
        _request(1.0, 'b', 'overloaded', layers=['0-26 missing'], **refused),
        _line(1.0, 'endpoint_refused', 'c', culprit='x', status=503),
        _request(1.0, 'c', 'outcome_unknown', status=504, why='lost'),
    )
    assert _results(figures) == {
        ('refused', 'overloaded: no endpoint has room'): 2,
        ('failed', 'outcome_unknown: lost'): 1,
    }
    assert figures['without_room'] == [
        {'layers': '0-26 missing', 'requests': 2}
    ]
    assert figures['rejections'][0]['engine'] == 'x'


def test_only_requests_that_start_in_the_interval_are_counted():
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


def test_memory_is_bounded():
    """Failure: the command uses up all memory on a long log.

    Causes are kept until the result of their request is read, which may be
    in another file.
    """
    counted = losses.make_losses()
    for number in range(losses.MAX_REQUESTS + 100):
        counted.add_line(_line(1.0, 'stages_lost', f'r{number}'))
    assert len(counted.causes) == losses.MAX_REQUESTS


def test_command_reports_damaged_lines_and_plots(tmp_path):
    log = tmp_path / 'vm-1.log'
    value = {'time': 5.0, 'event': 'request', 'id': 'a', 'outcome': 'answered'}
    log.write_text(json.dumps(value) + '\n{"time": 6.0, "ev\nplain text\n')
    picture = tmp_path / 'plot.svg'
    runner = testing.CliRunner()
    arguments = ['losses', str(log), '--plot', str(picture)]
    result = runner.invoke(main.app, [*arguments, '--mark', '0:crash'])
    assert result.exit_code == 0
    assert '1 requests' in result.output
    assert 'vm-1.log:2' in result.output
    assert '0 crash' in picture.read_text()
    bad = runner.invoke(main.app, [*arguments, '--mark', 'x'])
    assert bad.exit_code == 2
    missing = runner.invoke(main.app, ['losses', str(log) + 'x'])
    assert missing.exit_code == 2


def test_a_request_that_two_routers_served_is_counted_once():
    """Guards against counting a request that was handed over twice."""
    figures = _count(
        _line(1.0, 'relayed', 'a', router='r2'),
        _request(2.0, 'a', late='first'),
        _request(2.0, 'a', source='vm-2', relayed_by='r1'),
    )
    assert _results(figures) == {('late', 'first: own links cut'): 1}
