"""Stateful fuzzing of claims under cut links, outages and restarts.

Five real `Claims` share an in-memory table.  Calls between them pass through
`Link`, which can be cut or lose answers.  The oracle is a list of the
requests that ran: no key may run twice within the claim window.
"""

import collections
import os

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from ibisring_policy import claims as claims_module
from ibisring_records import exceptions
from ibisring_router import claiming
from ibisring_standins import memory
from ibisring_web import calls
import msgspec

ROUTERS = 5
WINDOW = 100.0
EXAMPLES = int(os.environ.get('IBISRING_FUZZ_EXAMPLES', '80'))
TOTALS = collections.Counter()

routers = strategies.integers(0, ROUTERS - 1)
EVENTS = (
    'first',
    'first',
    'refused',
    'repeat',
    'repeat',
    'repeat',
    'lose_table_answers',
    'cut_link',
    'isolate',
    'lose_answers',
    'heal',
    'replace_router',
    'rolling_restart',
    'save_unsaved',
    'sweep',
    'pause',
    'wait',
)


class Link:
    """Passes the calls of one router to the others."""

    def __init__(self, machine, number):
        self.machine = machine
        self.number = number

    def call(self, method, address, path, value=None, cls=None):
        other = int(address)
        pair = frozenset((self.number, other))
        if pair in self.machine.cut:
            TOTALS['cut'] += 1
            raise calls.NotSent(address)
        claims = self.machine.claims[other]
        if path == '/peer/claims':
            answer = claims.vote(value.claim)
        else:
            answer = claims.release_local(value)
        if pair in self.machine.lossy:
            TOTALS['lost'] += 1
            raise calls.AnswerLost(address)
        return answer


class Run(msgspec.Struct):
    """A request that ran.

    `voters` are the (router, instance) pairs that stored its claim; `kept`
    is whether its row is in the table.
    """

    claim: claims_module.Claim
    at: float
    voters: list[tuple[int, int]]
    kept: bool


class ClaimsMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.table = memory.MemoryTable()
        self.cut = set()
        self.lossy = set()
        self.instances = [0] * ROUTERS
        self.claims = [self.new_claims(n) for n in range(ROUTERS)]
        self.numbers = 0
        self.ran = []
        # All have been up for as long as claims are kept.
        self.now += WINDOW

    def new_claims(self, number):
        made = claiming.Claims(
            self.table,
            self.table,
            lambda: {f'r{n}': str(n) for n in range(ROUTERS)},
            f'r{number}',
            Link(self, number),
            WINDOW,
            lambda: self.now,
        )
        made.wall_clock = lambda: self.now
        return made

    @stateful.rule(
        events=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(EVENTS),
                routers,
                routers,
                strategies.booleans(),
            ),
            min_size=1,
            max_size=4,
        )
    )
    def happen(self, events):
        """Some things happen; drawn alike often, or few runs are repeated."""
        for name, one, other, flag in events:
            getattr(self, name)(one, other, flag)

    def first(self, router, key, down):
        """A request arrives, maybe during an outage, and runs."""
        self.request(router, f'alerta-{key}', True, down)

    def refused(self, router, key, down):
        """A request arrives and is refused by every endpoint."""
        self.request(router, f'alerta-{key}', False, down)

    def repeat(self, router, _, down):
        """The last request that ran is repeated to any router."""
        if self.ran:
            self.request(router, self.ran[-1].claim.key, True, down)

    def request(self, router, key, runs, down):
        self.table.faults.down = down
        self.numbers += 1
        claim = claims_module.Claim(
            key, f'request-{self.numbers}', str(router), 'f', self.now
        )
        try:
            self.claims[router].claim(claim)
        except (claiming.HeldElsewhere, exceptions.ClaimUnavailable) as error:
            TOTALS[type(error).__name__] += 1
            return
        if not runs:
            TOTALS['released'] += 1
            self.claims[router].release(claim)
            return
        TOTALS['ran'] += 1
        self.check_first(claim)
        voters = self.voters_of(claim)
        self.ran.append(Run(claim, self.now, voters, self.is_kept(claim)))

    def is_kept(self, claim):
        """Say whether the table holds a claim's row."""
        row = self.table.rows.get(claiming.claim_row_key(claim.key))
        return (
            row is not None and msgspec.json.decode(row[1])['id'] == claim.id
        )

    def voters_of(self, claim):
        return [
            (number, self.instances[number])
            for number in range(ROUTERS)
            if self.remembers(number, claim)
        ]

    def remembers(self, number, claim):
        book = self.claims[number].actor.proxy().voter.get()
        held, _ = book.claims.get(claim.key, (None, 0.0))
        return held is not None and held.id == claim.id

    def check_first(self, claim):
        for run in self.ran:
            if run.claim.key != claim.key or self.now - run.at >= WINDOW:
                continue
            assert self.is_forgotten(run), f'{claim.id} after {run.claim.id}'
            TOTALS['doubled by the documented hole'] += 1

    def is_forgotten(self, run):
        """Say whether a run is in the hole that docs/design names.

        Its row did not reach the table before that answered again, and a
        voter that remembered it was replaced meanwhile.
        """
        if self.table.faults.down or run.kept:
            return False
        return any(self.instances[n] != i for n, i in run.voters)

    def lose_table_answers(self, *_):
        self.table.faults.lose_answers = 1

    def cut_link(self, one, other, _):
        if one != other:
            self.cut.add(frozenset((one, other)))

    def isolate(self, one, *_):
        self.cut.update(
            frozenset((one, other)) for other in range(ROUTERS) if other != one
        )

    def lose_answers(self, one, other, _):
        if one != other:
            self.lossy.add(frozenset((one, other)))

    def heal(self, *_):
        self.cut.clear()
        self.lossy.clear()

    def replace_router(self, router, *_):
        TOTALS['replaced'] += 1
        self.claims[router].stop()
        self.instances[router] += 1
        self.claims[router] = self.new_claims(router)

    def rolling_restart(self, *_):
        for router in range(ROUTERS):
            self.replace_router(router)

    def save_unsaved(self, router, *_):
        self.table.faults.down = False
        self.claims[router].save_unsaved()
        for run in self.ran:
            run.kept = run.kept or self.is_kept(run.claim)

    def sweep(self, router, *_):
        self.table.faults.down = False
        self.claims[router].sweep(self.now)

    def pause(self, *_):
        self.now += WINDOW / 8

    def wait(self, *_):
        self.now += WINDOW

    def teardown(self):
        for each in self.claims:
            each.stop()


def run_machine(phases=tuple(Phase)):
    TOTALS.clear()
    stateful.run_state_machine_as_test(
        ClaimsMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=20,
            deadline=None,
            derandomize=True,
            database=None,
            report_multiple_bugs=False,
            phases=phases,
        ),
    )


def test_fuzz_claims():
    run_machine()
    for name in ('ran', 'released', 'cut', 'lost', 'replaced'):
        assert TOTALS[name]
    assert TOTALS['HeldElsewhere'] and TOTALS['ClaimUnavailable']
    print(dict(TOTALS))


def count_voters_without_memory(monkeypatch):
    real = claims_module.decide

    def decide(claim, table, holder, votes, voter_count, window):
        return real(claim, table, holder, votes, voter_count, 0.0)

    monkeypatch.setattr(claims_module, 'decide', decide)


def accept_a_minority(monkeypatch):
    real = claims_module.decide

    def decide(claim, table, holder, votes, voter_count, window):
        return real(claim, table, holder, votes, 1, window)

    monkeypatch.setattr(claims_module, 'decide', decide)


def ignore_other_claims(monkeypatch):
    real = claims_module.decide

    def decide(claim, table, holder, votes, voter_count, window):
        votes = [msgspec.structs.replace(v, held=claim) for v in votes]
        return real(claim, table, holder, votes, voter_count, window)

    monkeypatch.setattr(claims_module, 'decide', decide)


def trust_only_the_table(monkeypatch):
    real = claiming.Claims._query_voters

    def query(self, claim, voter_ids, members):
        votes = real(self, claim, voter_ids, members)
        if self.table.faults.down:
            return votes
        own = claims_module.Vote(claim, WINDOW)
        return [own] * len(voter_ids)

    monkeypatch.setattr(claiming.Claims, '_query_voters', query)


@pytest.mark.parametrize(
    'break_guard',
    [
        count_voters_without_memory,
        accept_a_minority,
        ignore_other_claims,
        trust_only_the_table,
    ],
)
def test_oracle_detects_a_broken_guard(break_guard, monkeypatch):
    break_guard(monkeypatch)
    with pytest.raises(AssertionError):
        run_machine((Phase.generate,))
