"""Operators' command line against a real router."""

import json

import pytest
from typer import testing

from ibisring_operator import main
from ibisring_router.tests import builders
from ibisring_standins import faults

RUNNER = testing.CliRunner()


@pytest.fixture(scope='module')
def router(site):
    (router,) = builders.start_fleet(site, 1)
    yield router
    router.stop()


def run_command(router, *arguments):
    return RUNNER.invoke(
        main.app,
        [*arguments],
        env={
            'IBISRING_ROUTER': router.control.address,
            'IBISRING_OPERATOR_KEY': builders.OPERATOR_KEY,
        },
    )


def write_record(path, **record):
    path.write_text(json.dumps(record))
    return str(path)


def write_model(tmp_path, layers, **fields):
    return write_record(
        tmp_path / 'm.json',
        kind='model',
        name='nuevo',
        schema='v2',
        spec={'layers': layers},
        **fields,
    )


def test_submit_get_and_settle(router, tmp_path):
    file = write_model(tmp_path, 7)
    done = run_command(
        router, 'submit', file, '--id', 'mio', '--output', 'json'
    )
    assert done.exit_code == 0
    (accepted,) = json.loads(done.output)
    (shown,) = json.loads(
        run_command(router, 'get', 'model', 'nuevo', '--output', 'json').output
    )
    assert shown['revision'] == accepted['revision']
    assert shown['spec'] == {'layers': 7}
    settled = run_command(router, 'settle', 'mio', '--output', 'json')
    assert json.loads(settled.output) == [accepted]


def test_conflict_names_both_revisions(router, tmp_path):
    run_command(router, 'submit', write_model(tmp_path, 7))
    refused = run_command(
        router, 'submit', write_model(tmp_path, 8, revision=1)
    )
    assert refused.exit_code == 3
    assert 'submitted_on: 1' in refused.output
    assert 'in_force: ' in refused.output


def test_bad_record_names_the_field(router, tmp_path):
    refused = run_command(router, 'submit', write_model(tmp_path, 'many'))
    assert refused.exit_code == 2
    assert 'layers' in refused.output


def test_submission_during_an_outage_is_not_accepted(site, router, tmp_path):
    site.platform.table.faults = faults.PlatformFaults(down=True)
    refused = run_command(router, 'submit', write_model(tmp_path, 9))
    site.platform.table.faults = faults.PlatformFaults()
    assert refused.exit_code == 4
    assert 'not_accepted' in refused.output


def test_v1_view_of_an_endpoint(router):
    shown = run_command(
        router,
        'get',
        'endpoint',
        'modelo-cocina-00',
        '--schema',
        'v1',
        '--output',
        'json',
    )
    (record,) = json.loads(shown.output)
    assert record['spec']['layers'] == '0-7'
    assert record['spec']['url'].startswith('http://')


def test_watch_shows_the_state_of_routers(site, router):
    watched = run_command(router, 'watch', '--once', '--output', 'json')
    assert watched.exit_code == 0
    assert json.loads(watched.output)[0]['state'] == 'in force'


def test_burn_report_after_a_fault(site, router):
    """The report must show a fault and list what could not be reached."""
    for service in site.services.values():
        service.faults = faults.ServiceFaults(fail=1)
    statuses = [
        builders.post(router, '/v1/services/etiquetado', {'lote': 1}).status
        for _ in range(4)
    ]
    good = statuses.count(200)
    report = json.loads(
        run_command(router, 'report', 'burn', '--format', 'json').output
    )
    (row,) = [
        r
        for r in report['rows']
        if (r['name'], r['window']) == ('etiquetado', '5m')
    ]
    assert (row['total'], row['good']) == (4, good)
    assert row['burn'] > 1
    page = run_command(router, 'report', 'burn', '--format', 'html').output
    assert page.count('<svg') == 3
    site.platform.objects.faults = faults.PlatformFaults(down=True)
    shown = run_command(router, 'report', 'burn').output
    site.platform.objects.faults = faults.PlatformFaults()
    assert 'not reached: ten minutes from' in shown
    assert 'not reached: everything before' in shown


def test_tallies_remain_after_their_process_exits(site, router):
    builders.post(router, '/v1/services/etiquetado', {'lote': 2})
    other = builders.start_router(site, router_id='router-7')
    builders.post(other, '/v1/services/etiquetado', {'lote': 3})
    other.drain(sleep=lambda seconds: None)
    report = router.burn.report()
    (row,) = [
        r for r in report.rows if (r.name, r.window) == ('etiquetado', '5m')
    ]
    assert row.total == sum(len(s.ledger) for s in site.services.values())


def test_wrong_key_is_refused(router):
    refused = RUNNER.invoke(
        main.app,
        ['get', '--key', 'x', '--router', router.control.address],
    )
    assert refused.exit_code == 4
    assert 'unauthorized' in refused.output
