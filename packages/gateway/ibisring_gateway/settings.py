"""Settings of a gateway process, validated before it starts."""

__all__ = ['Settings', 'load', 'check']

import os
import re

import msgspec

from ibisring_policy.gateway import descriptors
from ibisring_policy.gateway import freshness
from ibisring_records import exceptions

ADDRESS = re.compile(r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$')
MS_PER_SECOND = 1000.0
# Values of the settings that choose between ways of working.
CHOICES = {
    'slow_detection': ('adaptive', 'fixed'),
    'link_budgets': ('on', 'off'),
    'rank_room': ('on', 'off'),
    'queueing': ('auto', 'on', 'off'),
}
# Settings that a variable of the process may give in place of the file.
VARIABLES = {'config_ms': 'IBISRING_CONFIG_MS'}


class Settings(msgspec.Struct, kw_only=True):
    """Settings of a gateway.

    Fields that end in `_ms` are in milliseconds, in `_s` in seconds.  Fields
    that the file omits, or sets to null, get the defaults below.
    """

    router_id: str
    failure_domain: str
    host: str
    caller_listen: str
    ready_listen: str
    store: str
    peer_port: int
    metrics_port: int = 9464
    # Descriptors that the process may have, those of files included.
    descriptors: int = 4200
    memory_mb: int = 300
    # Bandwidth of the VM's network link in Mbit/s, 0 if it is unknown.
    link: float = 0.0
    # Longest time for which a draining endpoint still gets requests after it
    # announced that it leaves.
    drain_ms: float = freshness.USUAL_BOUND_MS
    # Time after which no request may be handled as only an older routing
    # table allows.
    config_ms: float = freshness.USUAL_BOUND_MS
    # Between the request to stop a process and killing it.
    grace_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_slack: float = 64.0
    # Whether slow engines are told from lost ones by the times seen recently
    # and retries follow their outcomes (`adaptive`), or by constants
    # (`fixed`).
    slow_detection: str = 'adaptive'
    # Timeout of a long poll for changes, in addition to its waiting time.
    feed_margin_s: float = 0.6
    # Typical requests for which a failure domain must have memory to hold the
    # whole model by itself, if it does not have memory to spare.
    min_pool_requests: int = 8
    # Whether requests of lower ranks leave room that more urgent ones have
    # recently used: `on` or `off`.
    rank_room: str = 'on'
    log_level: str = 'INFO'
    # Whether requests are admitted by the budgets of links between failure
    # domains and by the capacity of a service: `on` or `off`.
    link_budgets: str = 'on'
    # Whether requests wait for a chain in order of rank: `auto` for model
    # services whose routes differ in priority, `on` for all model services.
    queueing: str = 'auto'


def load(path, variables=os.environ):
    """Read and validate a settings file.

    Parameters
    ----------
    path : str
    variables : dict of str to str
        Of the process, see `VARIABLES`.

    Raises
    ------
    InvalidSetting
    """
    try:
        with open(path, 'rb') as file:
            values = msgspec.json.decode(file.read(), type=dict)
        present = {k: v for k, v in values.items() if v is not None}
        present.update(_read_variables(variables))
        settings = msgspec.convert(present, Settings)
    except (OSError, msgspec.MsgspecError) as error:
        raise exceptions.InvalidSetting(f'{path}: {error}') from error
    return check(settings)


def _read_variables(variables):
    """Return the settings that variables give, as JSON values."""
    texts = {field: variables.get(n) for field, n in VARIABLES.items()}
    return {
        field: msgspec.json.decode(text.encode())
        for field, text in texts.items()
        if text
    }


def check(settings):
    """Reject invalid settings with an error that names the field.

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
    for name, choices in CHOICES.items():
        value = getattr(settings, name)
        if value not in choices:
            raise exceptions.InvalidSetting(
                f'{name} is {value!r}, but must be one of {", ".join(choices)}'
            )
    if settings.descriptors < descriptors.MIN_LIMIT:
        raise exceptions.InvalidSetting(
            f'descriptors is {settings.descriptors!r}, but must be at least '
            f'{descriptors.MIN_LIMIT}'
        )
    for name in settings.__struct_fields__:
        value = getattr(settings, name)
        if isinstance(value, int | float) and value < 0:
            raise exceptions.InvalidSetting(
                f'{name} is {value!r}, but must not be negative'
            )
    return settings
