"""Example record files match the deployments that they are written from."""

import collections
import pathlib

import msgspec
import pytest

from ibisring_records import configuration
from ibisring_records import records
from ibisring_records import submitting
from ibisring_standins import deployments

ROOT = pathlib.Path(__file__).parents[4]


def read_example(name):
    data = (ROOT / 'examples' / f'{name}.json').read_bytes()
    return msgspec.json.decode(data, type=list[records.Submitted])


@pytest.mark.parametrize('name', deployments.DEPLOYMENTS)
def test_example_file_matches_the_deployment(name):
    assert read_example(name) == deployments.DEPLOYMENTS[name]().records


@pytest.mark.parametrize(
    ('name', 'service'), [('cocinas', 'etiquetado'), ('morales', 'avisador')]
)
def test_example_has_the_specified_sizes(name, service):
    submission = records.Submission('example', read_example(name))
    change = submitting.make_change(submission, {})
    current = configuration.build(1, change.records)
    endpoints = current.endpoints.values()
    kinds = collections.Counter(bool(e.spec.service) for e in endpoints)
    assert (kinds[False], kinds[True]) == (40, 3)
    assert current.services() == [service]
    assert len({e.spec.failure_domain for e in endpoints}) == 3
    assert len(current.accounts) == 10
    assert not current.unreadable
