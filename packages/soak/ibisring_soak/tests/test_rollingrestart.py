"""A short seeded run of routers that are restarted in turn."""

from ibisring_soak import rollingrestart
import pytest

SEED = 1
ROUTERS = 16
BUSY_PROCESSES = 8
MIN_WHOLE = 200


@pytest.mark.parametrize(
    'is_resumable', [False, True], ids=['single', 'resumable']
)
def test_restarts_lose_no_stream_on_a_busy_machine(is_resumable, tmp_path):
    """Guards against late routers that take sound engines for lost ones."""
    outcome = rollingrestart.run(
        SEED,
        tmp_path,
        routers=ROUTERS,
        busy=BUSY_PROCESSES,
        is_resumable=is_resumable,
    )
    assert outcome.losses == []
    assert outcome.logged['stages_lost'] == 0
    assert outcome.logged['unreachable_reported'] == 0
    assert outcome.killed == outcome.crashed == 0
    assert outcome.endings['whole'] > MIN_WHOLE
