"""Tests of the settings of a gateway process."""

import msgspec
import pytest

from ibisring_gateway import settings as settings_module
from ibisring_policy.gateway import descriptors
from ibisring_records import exceptions


def _settings(**values):
    return settings_module.Settings(
        router_id='r1',
        failure_domain='a',
        host='127.0.0.1',
        caller_listen='127.0.0.1:1',
        ready_listen='127.0.0.1:2',
        store='127.0.0.1:3',
        peer_port=4,
        **values,
    )


def test_unknown_queueing_mode_ends_the_start():
    """Guards against a misspelt mode that silently changes nothing."""
    for mode in settings_module.CHOICES['queueing']:
        settings_module.check(_settings(queueing=mode))
    with pytest.raises(exceptions.InvalidSetting, match='queueing'):
        settings_module.check(_settings(queueing='yes'))


def test_limit_on_descriptors_that_leaves_too_few_ends_the_start():
    """Guards against a router that starts and can serve no caller."""
    lowest = descriptors.MIN_LIMIT
    settings_module.check(_settings(descriptors=lowest))
    with pytest.raises(exceptions.InvalidSetting, match='descriptors'):
        settings_module.check(_settings(descriptors=lowest - 1))


def test_bound_on_changes_is_read_from_the_process_too(tmp_path):
    """Guards against a bound beside the one that the platform sets."""
    path = tmp_path / 'settings.json'
    path.write_bytes(msgspec.json.encode(_settings()))
    variables = {'IBISRING_CONFIG_MS': '1200'}
    assert settings_module.load(path, {}).config_ms == 2000.0
    assert settings_module.load(path, variables).config_ms == 1200.0
    for text in ('soon', '-1', '{'):
        with pytest.raises(exceptions.InvalidSetting):
            settings_module.load(path, {'IBISRING_CONFIG_MS': text})
