"""Error budget burn rate."""

from ibisring_policy import burn
from ibisring_records import configuration
from ibisring_records import exceptions
from ibisring_records import schemas

NOW = 1_000_000 * 60.0
OBJECTIVE = schemas.Objective(target=0.9, bound_ms=500)


def active_configuration():
    return configuration.Configuration(
        1,
        {'m': schemas.ModelV2(layers=3, objective=OBJECTIVE)},
        {},
        {},
        {},
        {},
        {},
        {},
        {},
    )


def test_burn_rate_is_the_ratio_of_bad_requests_to_the_error_budget():
    counter = burn.BurnCounter()
    members = {burn.Group.SERVICE: 'm'}
    for seconds, answered in ((0.1, True), (0.6, True), (0.1, False)):
        counter.count(active_configuration(), members, seconds, answered, NOW)
    for _ in range(7):
        counter.count(active_configuration(), members, 0.1, True, NOW - 120.0)
    rows = burn.burn_rows(
        active_configuration(), burn.merge([counter.minutes]), NOW
    )
    by_window = {row.window: row for row in rows}
    assert by_window['5m'].total == 10
    assert by_window['5m'].good == 8
    assert by_window['5m'].burn == 2.0


def test_merge_sums_the_tallies_of_processes():
    counters = [burn.BurnCounter(), burn.BurnCounter()]
    for counter in counters:
        counter.count(
            active_configuration(), {burn.Group.CLASS: 'x'}, 0.1, True, NOW
        )
    merged = burn.merge(counter.minutes for counter in counters)
    assert merged[int(NOW // 60)]['class/x'].total == 2


def test_caller_errors_do_not_count_as_bad():
    assert not burn.counts_as_bad(exceptions.InvalidRequest('x'))
    assert not burn.counts_as_bad(exceptions.AccountLimited('x'))
    assert burn.counts_as_bad(exceptions.Overloaded('x'))
    assert burn.counts_as_bad(exceptions.OutcomeUnknown('x'))


def test_account_tallies_of_five_minutes_lose_no_requests():
    counter = burn.BurnCounter()
    members = {burn.Group.ACCOUNT: 'a', burn.Group.CLASS: 'x'}
    times = [NOW - 60.0 * minute for minute in range(10)]
    for time in times:
        counter.count(active_configuration(), members, 0.1, True, time)
    keys = [key for tallies in counter.minutes.values() for key in tallies]
    assert (keys.count('account/a'), keys.count('class/x')) == (3, 10)
    rows = burn.burn_rows(active_configuration(), counter.minutes, NOW)
    found = {(row.name, row.window): row.total for row in rows}
    assert found['x', '5m'] == 5
    assert 5 <= found['a', '5m'] <= 9
    assert found['a', '1h'] == found['x', '1h'] == 10


def test_plots_show_the_accounts_with_most_bad_requests():
    counter = burn.BurnCounter()
    for number in range(30):
        for _ in range(number + 1):
            members = {burn.Group.ACCOUNT: str(number)}
            counter.count(active_configuration(), members, 0.1, False, NOW)
    (tallies,) = burn.plotted_tallies(counter.minutes, NOW).values()
    assert set(tallies) == {f'account/{n}' for n in range(20, 30)}


def test_tightest_objective_of_a_request_applies():
    members = burn.group_members('m', '', 'a')
    assert burn.tightest_bound_seconds(active_configuration(), members) == 0.5
    others = burn.group_members('other', 'none', 'a')
    default = burn.DEFAULT_OBJECTIVE.bound_ms / 1000.0
    assert (
        burn.tightest_bound_seconds(active_configuration(), others) == default
    )
