"""Settings of a gateway process, checked before anything starts."""

__all__ = ['Settings', 'load', 'check']

import re

import msgspec

from ibisring_records import exceptions

ADDRESS = re.compile(r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$')
SECOND_MS = 1000.0


class Settings(msgspec.Struct, kw_only=True):
    """Everything a gateway is told at its start.

    Names that end in `_ms` are milliseconds, in `_s` seconds.  What the file
    leaves out, or gives as null, has the default below.
    """

    router_id: str
    failure_domain: str
    host: str
    caller_listen: str
    ready_listen: str
    store: str
    peer_port: int
    metrics_port: int = 9464
    descriptors: int = 4200
    memory_mb: int = 300
    # Speed of the VM's link in Mbit/s, 0 if it is not known.
    link: float = 0.0
    # Longest time after a leaving endpoint's notice to send it requests.
    drain_ms: float = 2000.0
    # Between the request to end a process and its forced end.
    grace_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_slack: float = 64.0
    # Beyond the time that a call waits for changes, until it is given up.
    feed_margin_s: float = 0.6
    log_level: str = 'INFO'


def load(path):
    """Read and check a settings file.

    Raises
    ------
    InvalidSetting
    """
    try:
        with open(path, 'rb') as file:
            values = msgspec.json.decode(file.read(), type=dict)
        given = {k: v for k, v in values.items() if v is not None}
        settings = msgspec.convert(given, Settings)
    except (OSError, msgspec.MsgspecError) as error:
        raise exceptions.InvalidSetting(f'{path}: {error}') from error
    return check(settings)


def check(settings):
    """Refuse settings that can't work, naming the field.

    Examples
    --------
    >>> check(Settings(router_id='a', failure_domain='x', host='1.2.3.4',
    ...       caller_listen='here', ready_listen='1.2.3.4:2',
    ...       store='1.2.3.4:3', peer_port=7000))
    Traceback (most recent call last):
    ibisring_records.exceptions.InvalidSetting: caller_listen is 'here', but \
must be IP:PORT; start again with a corrected value
    """
    for name in ('caller_listen', 'ready_listen', 'store'):
        value = getattr(settings, name)
        if not ADDRESS.match(value):
            raise exceptions.InvalidSetting(
                f'{name} is {value!r}, but must be IP:PORT'
            )
    for name in settings.__struct_fields__:
        value = getattr(settings, name)
        if isinstance(value, float) and value < 0:
            raise exceptions.InvalidSetting(
                f'{name} is {value!r}, but must not be negative'
            )
    return settings
