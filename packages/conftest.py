"""A site for tests to share; and a run that ends, whatever is left."""

import os
import sys
import threading

import hypothesis
import pytest

from ibisring_router.tests import builders

SHOWN = 5
PROFILE = 'HYPOTHESIS_PROFILE'

# Without it CI would draw other examples each time, and its verdict with
# them; hypothesis itself reads only the variable CI.
if PROFILE in os.environ:
    hypothesis.settings.load_profile(os.environ[PROFILE])


@pytest.fixture(scope='module')
def site():
    """Give the stand-ins of a small site, one for each test module."""
    site = builders.small_site()
    yield site
    site.stop()


def _left_running():
    """Give the threads that a process waits for before it ends."""
    main = threading.main_thread()
    alive = threading.enumerate()
    return [each for each in alive if not each.daemon and each is not main]


@pytest.hookimpl(trylast=True)
def pytest_sessionfinish(session):
    if _left_running():
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


@pytest.hookimpl(trylast=True)
def pytest_unconfigure(config):
    """Fail at once: waiting would hold CI until its own limit."""
    left = _left_running()
    if left:
        names = sorted(each.name for each in left)[:SHOWN]
        text = f'{len(left)} threads left running by tests: {names}'
        sys.stderr.write(text + '\n')
        sys.stderr.flush()
        os._exit(pytest.ExitCode.TESTS_FAILED)
