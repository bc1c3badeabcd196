"""Stateful fuzzing of submissions and their propagation against an oracle.

Real record keepers use an in-memory table that goes down, loses answers, and
accepts another operator's submission between a read and its commit.
"""

import collections

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from ibisring_policy import revisions
from ibisring_records import conversion
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_router import recordkeeping
from ibisring_router.tests import builders
from ibisring_standins import memory

ROUTERS = 3
NAMES = ('a', 'b')
TOTALS = collections.Counter()
EXAMPLES = 80


class RacingTable(memory.MemoryTable):
    """Calls `between` once, after a read and before the commit."""

    def __init__(self):
        super().__init__()
        self.between = None
        self.down_after_commit = False

    def commit(self, expected, puts, deletes=()):
        if self.between is not None:
            between, self.between = self.between, None
            between()
        try:
            return super().commit(expected, puts, deletes)
        finally:
            if self.down_after_commit:
                self.down_after_commit = False
                self.faults.down = True


class RecordsMachine(stateful.RuleBasedStateMachine):
    """Operators race at three routers; routers restart and lag."""

    def __init__(self):
        super().__init__()
        self.table = RacingTable()
        self.keepers = [self.new_keeper() for _ in range(ROUTERS)]
        self.highest = [-1] * ROUTERS
        self.numbers = 0
        self.refused = set()
        self.accepted = {}

    def new_keeper(self):
        return recordkeeping.start_records(self.table, builders.metrics())

    def submission(self, name, schema, layers, based_on):
        self.numbers += 1
        spec = {'layers': layers}
        if schema == 'v2':
            spec['context_tokens'] = layers * 1000
        record = records.Submitted(
            'model', name, schema, spec, revision=based_on
        )
        return records.Submission(f's{self.numbers}', [record])

    def try_submit(self, router, submission):
        TOTALS['submissions'] += 1
        try:
            accepted, _ = self.keepers[router].submit(submission)
        except exceptions.SubmissionUnknown:
            TOTALS['unknown'] += 1
        except (exceptions.NotAccepted, exceptions.Conflict) as error:
            TOTALS[error.code] += 1
            self.refused.add(submission.id)
        else:
            TOTALS['accepted'] += 1
            self.accepted[submission.id] = accepted.revision

    change = {
        'router': strategies.integers(0, ROUTERS - 1),
        'name': strategies.sampled_from(NAMES),
        'schema': strategies.sampled_from(['v1', 'v2']),
        'layers': strategies.integers(1, 9),
        'strict': strategies.booleans(),
    }

    def based_on(self, router, name, strict):
        if not strict:
            return None
        stored = self.keepers[router].snapshot().records
        return max((r.revision for r in stored if r.name == name), default=0)

    @stateful.rule(**change)
    def submit(self, router, name, schema, layers, strict):
        based_on = self.based_on(router, name, strict)
        made = self.submission(name, schema, layers, based_on)
        self.try_submit(router, made)

    @stateful.rule(other=strategies.integers(0, ROUTERS - 1), **change)
    def submit_with_a_race(self, other, router, name, schema, layers, strict):
        rival = self.submission(name, 'v2', 5, None)
        self.table.between = lambda: self.try_submit(other, rival)
        based_on = self.based_on(router, name, strict)
        made = self.submission(name, schema, layers, based_on)
        self.try_submit(router, made)
        self.table.between = None

    @stateful.rule(left=strategies.integers(0, 3))
    def table_changes(self, left):
        self.table.faults.down = left == 0

    @stateful.rule(then_down=strategies.booleans())
    def next_answer_is_lost(self, then_down):
        self.table.faults.lose_answers = 1
        self.table.down_after_commit = then_down

    @stateful.rule(router=strategies.integers(0, ROUTERS - 1))
    def follow(self, router):
        try:
            self.keepers[router].follow()
        except exceptions.PlatformUnavailable:
            TOTALS['outages'] += 1

    @stateful.rule(
        source=strategies.integers(0, ROUTERS - 1),
        router=strategies.integers(0, ROUTERS - 1),
        whole=strategies.booleans(),
    )
    def hear_from_peer(self, source, router, whole):
        if self.keepers[source].revision < 0:
            return
        if whole:
            snapshot = self.keepers[source].snapshot()
            self.keepers[router].apply_snapshot(snapshot)
            return
        changes = self.keepers[source].changes_since(0) or []
        self.keepers[router].apply_changes(changes)

    @stateful.rule(router=strategies.integers(0, ROUTERS - 1))
    def restart(self, router):
        self.keepers[router].stop()
        self.keepers[router] = self.new_keeper()
        self.highest[router] = -1

    # The oracle

    def kept_changes(self):
        return [
            self.table._row(key).value
            for key in self.table.rows
            if key.startswith(records.CHANGE_PREFIX)
        ]

    @stateful.invariant()
    def revisions_never_go_back(self):
        for router, keeper in enumerate(self.keepers):
            assert keeper.revision >= self.highest[router]
            self.highest[router] = keeper.revision

    @stateful.invariant()
    def what_was_said_is_what_is_kept(self):
        kept = [change['submission'] for change in self.kept_changes()]
        assert len(kept) == len(set(kept))
        assert not self.refused & set(kept)
        numbers = {c['submission']: c['revision'] for c in self.kept_changes()}
        for name, revision in self.accepted.items():
            assert numbers[name] == revision

    @stateful.invariant()
    def each_router_has_just_the_state_of_its_revision(self):
        for keeper in self.keepers:
            state = {}
            for change in self.kept_changes():
                if change['revision'] <= keeper.revision:
                    for record in change['records']:
                        state[record['name']] = record
            held = {r.name: r.revision for r in keeper.snapshot().records}
            assert held == {n: r['revision'] for n, r in state.items()}

    @stateful.invariant()
    def a_v1_write_keeps_what_only_v2_knows(self):
        newest = {}
        for change in self.kept_changes():
            for record in change['records']:
                spec = conversion.read_spec(
                    'model', record['schema'], record['spec']
                )
                before = newest.get(record['name'])
                if before is not None and before != 8192:
                    assert spec.context_tokens != 8192
                newest[record['name']] = spec.context_tokens

    def teardown(self):
        for keeper in self.keepers:
            keeper.stop()


def run_machine(phases=tuple(Phase)):
    stateful.run_state_machine_as_test(
        RecordsMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            report_multiple_bugs=False,
            phases=phases,
        ),
    )


def test_fuzz_records():
    run_machine()
    assert TOTALS['accepted'] and TOTALS['conflict'] and TOTALS['unknown']
    print(dict(TOTALS))


def report_lost_answers_as_refusals(monkeypatch):
    def resolve(self, submission, cause):
        raise exceptions.NotAccepted(cause.detail)

    monkeypatch.setattr(recordkeeping.RecordKeeper, '_resolve_commit', resolve)


def commit_without_version_check(monkeypatch):
    monkeypatch.setattr(
        memory.MemoryTable, '_check_versions', lambda self, expected: None
    )


def apply_older_snapshots(monkeypatch):
    def apply_snapshot(self, revision, stored):
        self.stored = {(r.kind, r.name): r for r in stored}
        self.revision = revision
        return revisions.ApplyResult.APPLIED

    monkeypatch.setattr(
        revisions.ActiveRecords, 'apply_snapshot', apply_snapshot
    )


def apply_changes_after_gaps(monkeypatch):
    real = revisions.ActiveRecords.apply_change

    def apply_change(self, change):
        if change.revision > self.revision:
            self.revision = change.revision - 1
        return real(self, change)

    monkeypatch.setattr(revisions.ActiveRecords, 'apply_change', apply_change)


def drop_fields_unknown_to_v1(monkeypatch):
    monkeypatch.setattr(
        conversion,
        'merge_spec',
        lambda kind, schema, spec, old_schema, old: (schema, spec),
    )


@pytest.mark.parametrize(
    'break_guard',
    [
        report_lost_answers_as_refusals,
        commit_without_version_check,
        apply_older_snapshots,
        apply_changes_after_gaps,
        drop_fields_unknown_to_v1,
    ],
)
def test_oracle_detects_a_broken_guard(break_guard, monkeypatch):
    break_guard(monkeypatch)
    with pytest.raises(Exception):
        run_machine((Phase.generate,))
