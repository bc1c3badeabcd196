"""Invalid settings are rejected at the start with flag and remedy."""

import socket
import threading

import pytest
from typer import testing

from ibisring_records import exceptions
from ibisring_router import main
from ibisring_router import settings

RUNNER = testing.CliRunner()


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('caller_listen', 'localhost:8080'),
        ('platform', 'somewhere'),
        ('statsd', '8125'),
        ('token_timeout', 0.0),
        ('caller_threads', 0),
        ('urgent_threads', 1000),
        ('operator_key_sha256', 'clave'),
        ('peer_keys', 'k' * 16 + ',corta'),
    ],
)
def test_error_for_a_bad_value_names_the_flag(name, value):
    with pytest.raises(exceptions.InvalidSetting) as caught:
        settings.check(settings.Settings(**{name: value}))
    assert '--' + name.replace('_', '-') in str(caught.value)
    assert 'IBISRING_' + name.upper() in str(caught.value)


def test_external_platform_needs_an_operator_key():
    with pytest.raises(exceptions.InvalidSetting):
        settings.check(settings.Settings(platform='127.0.0.1:9000'))


def test_listening_on_all_addresses_needs_one_to_advertise():
    """Failure: retries sent to other routers always get outcome unknown.

    Routers listen on all addresses and advertise 0.0.0.0, at which no peer
    can query them.
    """
    with pytest.raises(exceptions.InvalidSetting) as caught:
        settings.check(settings.Settings(control_listen='0.0.0.0:8081'))
    assert '--advertise' in str(caught.value)


def test_environment_is_checked_like_flags():
    result = RUNNER.invoke(main.app, env={'IBISRING_TOKEN_TIMEOUT': '-1'})
    assert result.exit_code == 2
    assert 'IBISRING_TOKEN_TIMEOUT' in result.output


@pytest.mark.parametrize('flag', ['--control-listen', '--caller-listen'])
def test_address_in_use_names_the_flag_and_exits(flag):
    """Failure: a router that could not start never exits.

    The address of a flag is in use.  Threads of listeners that were already
    started kept the process alive, so its supervisor never restarted it.
    """
    before = _non_daemon_threads()
    with socket.create_server(('127.0.0.1', 0)) as taken:
        address = f'127.0.0.1:{taken.getsockname()[1]}'
        arguments = [
            '--control-listen=127.0.0.1:0',
            '--caller-listen=127.0.0.1:0',
        ]
        result = RUNNER.invoke(main.app, [*arguments, f'{flag}={address}'])
    assert result.exit_code == 2
    assert flag in result.output
    assert _non_daemon_threads() <= before


def _non_daemon_threads():
    return {thread for thread in threading.enumerate() if not thread.daemon}


def test_every_setting_has_a_flag():
    text = RUNNER.invoke(main.app, ['--help'], env={'COLUMNS': '200'}).output
    for name in settings.Settings.__struct_fields__:
        assert '--' + name.replace('_', '-') in text
