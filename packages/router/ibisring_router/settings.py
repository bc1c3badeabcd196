"""Settings of a router, validated before anything starts."""

__all__ = ['Settings', 'check', 'invalid_setting', 'EMBEDDED']

import re

from ibisring_policy import retries
from ibisring_records import exceptions
import msgspec

EMBEDDED = 'embedded'
ADDRESS = re.compile(r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$')
MIN_NORMAL_THREADS = 4
MIN_PEER_KEY_CHARACTERS = 16
ANY_HOST = '0.0.0.0:'


class Settings(msgspec.Struct, kw_only=True):
    """All settings of a router; times are in seconds."""

    platform: str = EMBEDDED
    router_id: str = 'router-1'
    failure_domain: str = 'local'
    caller_listen: str = '127.0.0.1:8080'
    control_listen: str = '127.0.0.1:8081'
    advertise: str = ''
    statsd: str = ''
    operator_key_sha256: str = ''
    caller_threads: int = 160
    urgent_threads: int = 32
    control_threads: int = 16
    token_timeout: float = 2.0
    connect_timeout: float = 0.5
    service_timeout: float = 10.0
    poll_seconds: float = 2.0
    probe_seconds: float = 2.0
    status_seconds: float = 1.0
    drain_seconds: float = 5.0
    drain_limit: float = 300.0
    lease_seconds: float = 6.0
    claim_seconds: float = 600.0
    most_peers: int = 8
    most_attempts: int = retries.MAX_ATTEMPTS
    peer_keys: str = ''
    table_reads: int = 1000
    table_writes: int = 200


def _check_address(settings, name):
    value = getattr(settings, name)
    if not ADDRESS.match(value):
        raise invalid_setting(
            name, value, 'an IP:PORT address such as 0.0.0.0:8080'
        )


def _check_peer_keys(settings):
    for key in filter(None, settings.peer_keys.split(',')):
        if len(key) < MIN_PEER_KEY_CHARACTERS:
            raise invalid_setting(
                'peer_keys',
                '...',
                f'keys of at least {MIN_PEER_KEY_CHARACTERS} characters, '
                'with commas between them',
            )


def invalid_setting(name, value, remedy):
    """Return the error for a bad setting, with its flag and variable."""
    flag = '--' + name.replace('_', '-')
    variable = 'IBISRING_' + name.upper()
    return exceptions.InvalidSetting(
        f'{flag} ({variable}) is {value!r}, but must be {remedy}'
    )


def check(settings):
    """Validate settings; errors name the flag and the remedy.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    Settings

    Raises
    ------
    InvalidSetting
    """
    _check_address(settings, 'caller_listen')
    _check_address(settings, 'control_listen')
    for name in ('advertise', 'statsd'):
        if getattr(settings, name):
            _check_address(settings, name)
    if settings.control_listen.startswith(ANY_HOST):
        if not settings.advertise:
            raise invalid_setting(
                'advertise',
                settings.advertise,
                'set to the IP:PORT at which peers reach this VM, since '
                '--control-listen names every address',
            )
    if settings.platform != EMBEDDED:
        _check_address(settings, 'platform')
    for name in settings.__struct_fields__:
        value = getattr(settings, name)
        if isinstance(value, float) and not value > 0:
            raise invalid_setting(name, value, 'a number of seconds above 0')
        if isinstance(value, int) and value < 1:
            raise invalid_setting(name, value, 'at least 1')
    max_urgent = settings.caller_threads - MIN_NORMAL_THREADS
    if settings.urgent_threads > max_urgent:
        raise invalid_setting(
            'urgent_threads',
            settings.urgent_threads,
            f'at most {max_urgent}, which is --caller-threads less '
            f'{MIN_NORMAL_THREADS}',
        )
    _check_peer_keys(settings)
    key = settings.operator_key_sha256
    if key and not re.fullmatch(r'[0-9a-f]{64}', key):
        raise invalid_setting(
            'operator_key_sha256', key, '64 hexadecimal digits (sha256)'
        )
    if settings.platform != EMBEDDED and not key:
        raise invalid_setting(
            'operator_key_sha256', key, 'set unless the platform is embedded'
        )
    return settings
