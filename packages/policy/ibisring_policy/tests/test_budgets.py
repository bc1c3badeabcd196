"""The calls of all routers to the table service stay within one budget."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from ibisring_policy import budgets

TOTAL = 20
BACKGROUND = budgets.Urgency.BACKGROUND
FOREGROUND = budgets.Urgency.FOREGROUND


def make_fleet(routers):
    return [budgets.make_budget(TOTAL, TOTAL, 0.0) for _ in range(routers)]


@settings(max_examples=60, deadline=None)
@given(
    strategies.integers(1, 50),
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.7),
            strategies.integers(0, 49),
            strategies.integers(1, 40),
            strategies.sampled_from(budgets.Urgency),
        ),
        max_size=120,
    ),
)
def test_fuzz_no_window_holds_more_than_the_budget(routers, demands):
    """Guards against overloading the table service as it recovers.

    After an outage every router writes its backlog; limits per router
    alone let the sum of all routers bring the service down again.
    """
    fleet = make_fleet(routers)
    made = []
    now = 0.0
    for wait, router, calls, urgency in demands:
        now += wait
        budget = fleet[router % routers]
        for _ in range(calls):
            if budget.may_write(urgency, routers, now):
                made.append(now)
    burst = max(TOTAL * budgets.BURST_SECONDS, routers)
    for start in set(made):
        for end in set(made):
            within = sum(start <= time <= end for time in made)
            assert within <= TOTAL * max(0.0, end - start) + burst + 1e-6


def test_background_reads_leave_half_of_the_burst_to_foreground_reads():
    budget = budgets.make_budget(TOTAL, TOTAL, 0.0)
    polls = [budget.may_read(BACKGROUND, 1, 0.0) for _ in range(TOTAL)]
    assert sum(polls) == TOTAL / 2 + 1
    assert budget.may_read(FOREGROUND, 1, 0.0)
    assert not budget.may_read(BACKGROUND, 1, 0.0)


def test_reads_and_writes_are_counted_separately():
    budget = budgets.make_budget(1, 1, 0.0)
    assert budget.may_read(FOREGROUND, 1, 0.0)
    assert budget.may_write(FOREGROUND, 1, 0.0)
    assert not budget.may_write(FOREGROUND, 1, 0.0)
    assert budget.may_write(FOREGROUND, 1, 1.0)


def test_router_without_a_vm_list_assumes_the_default_router_count():
    budget = budgets.make_budget(1000, 1000, 0.0)
    taken = [budget.may_write(FOREGROUND, 0, 0.0) for _ in range(50)]
    assert sum(taken) == 1000 / budgets.ROUTERS_IF_UNKNOWN
