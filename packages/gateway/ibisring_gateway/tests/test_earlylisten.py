"""Tests of the start of a process."""

import http.client
import json
import subprocess
import sys
import threading

from ibisring_gateway import callerserver
from ibisring_gateway import earlylisten
from ibisring_records import routing
import pytest

SLOW_IMPORTS = ('cheroot', 'msgspec', 'pykka', 'urllib3')


def _settings_file(folder, **values):
    path = folder / 'settings.json'
    path.write_text(json.dumps(values))
    return str(path)


def test_caller_that_connects_during_the_start_is_served(tmp_path):
    """Failure: callers find the port closed while a router starts."""
    path = _settings_file(tmp_path, caller_listen='127.0.0.1:0')
    bound = earlylisten.bind(path)
    host, port = bound.getsockname()
    caller = http.client.HTTPConnection(host, port, timeout=5.0)
    caller.request('GET', '/')
    server = callerserver.make_server(
        f'{host}:{port}',
        (1, 2),
        lambda call: call.answer(200, [], b'served'),
        routing.CallerLimits(),
        bound,
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    assert caller.getresponse().read() == b'served'
    caller.close()
    server.stop()


def test_port_is_bound_before_the_slow_imports():
    """Failure: a port stays closed while libraries are imported."""
    code = (
        'import sys; from ibisring_gateway import earlylisten;'
        f'print([n for n in {SLOW_IMPORTS!r} if n in sys.modules])'
    )
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True
    )
    assert done.stdout.strip() == '[]', done.stderr


@pytest.mark.parametrize(
    'values',
    [{}, {'caller_listen': 7}, {'caller_listen': '127.0.0.1:99999'}],
)
def test_unusable_settings_leave_the_port_to_the_later_start(tmp_path, values):
    assert earlylisten.bind(_settings_file(tmp_path, **values)) is None


def test_missing_settings_file_is_left_to_the_later_start(tmp_path):
    assert earlylisten.bind(str(tmp_path / 'missing.json')) is None
