"""In-memory implementations of the platform services."""

__all__ = ['MemoryTable', 'MemoryObjects', 'MemoryVms', 'MemoryWeights']

import threading
import time

from ibisring_backing import objects
from ibisring_backing import tables
from ibisring_backing import vms
from ibisring_backing import weights
from ibisring_records import exceptions
from ibisring_standins import faults
import msgspec
import sortedcontainers


def _check_available(switches, name):
    if switches.delay:
        time.sleep(switches.delay)
    if switches.down:
        raise exceptions.PlatformUnavailable(f'{name} is down')


class MemoryTable(tables.TableService):
    """A table service that serializes transactions with a lock.

    Attributes
    ----------
    faults : faults.PlatformFaults
    reads, writes : int
        Number of calls, for tests of call budgets.
    """

    def __init__(self):
        self.rows = sortedcontainers.SortedDict()
        self.sequence = 0
        self.lock = threading.Lock()
        self.faults = faults.PlatformFaults()
        self.reads = 0
        self.writes = 0

    def read(self, keys):
        _check_available(self.faults, 'table service')
        with self.lock:
            self.reads += 1
            return {k: self._row(k) for k in keys if k in self.rows}

    def _row(self, key):
        version, data = self.rows[key]
        return tables.Row(key, msgspec.json.decode(data), version)

    def scan(self, prefix, after='', limit=tables.SCAN_PAGE):
        _check_available(self.faults, 'table service')
        start = max(prefix, after)
        found = []
        with self.lock:
            self.reads += 1
            for key in self.rows.irange(minimum=start):
                if not key.startswith(prefix) or len(found) == limit:
                    break
                if key != after:
                    found.append(self._row(key))
        return found

    def commit(self, expected, puts, deletes=()):
        _check_available(self.faults, 'table service')
        with self.lock:
            self.writes += 1
            self._check_versions(expected)
            self.sequence += 1
            for key, value in puts.items():
                data = msgspec.json.encode(value)
                self.rows[key] = (self.sequence, data)
            for key in deletes:
                self.rows.pop(key, None)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise exceptions.PlatformAnswerLost('commit answer lost')
        return {key: self.sequence for key in puts}

    def _check_versions(self, expected):
        for key, version in expected.items():
            found = self.rows.get(key, (tables.ABSENT, None))[0]
            if found != version:
                raise exceptions.Conflict(
                    f'row {key} is at version {found}, not {version}',
                    row=key,
                    found=found,
                    expected=version,
                )


class MemoryObjects(objects.ObjectStore):
    """An object store in a dictionary."""

    def __init__(self):
        self.values = sortedcontainers.SortedDict()
        self.faults = faults.PlatformFaults()

    def put(self, name, value):
        _check_available(self.faults, 'object store')
        self.values[name] = msgspec.json.encode(value)

    def get(self, name):
        _check_available(self.faults, 'object store')
        data = self.values.get(name)
        return None if data is None else msgspec.json.decode(data)

    def names(self, prefix):
        _check_available(self.faults, 'object store')
        return [name for name in self.values if name.startswith(prefix)]


class MemoryVms(vms.VmList):
    """A VM list that returns the last value of `listed`."""

    def __init__(self, listed=()):
        self.listed = list(listed)
        self.faults = faults.PlatformFaults()

    def read(self):
        _check_available(self.faults, 'VM list')
        return list(self.listed)


class MemoryWeights(weights.WeightStore):
    """A weight store of a fixed bandwidth; fetches run one after another."""

    def __init__(self, megabytes_per_second=2000.0):
        self.rate = megabytes_per_second
        self.faults = faults.PlatformFaults()
        self.lock = threading.Lock()
        self.free_at = 0.0

    def limit(self):
        _check_available(self.faults, 'weight store')
        return self.rate

    def reserve(self, megabytes, now):
        """Reserve a fetch; return the seconds until it would be complete."""
        _check_available(self.faults, 'weight store')
        with self.lock:
            start = max(self.free_at, now)
            self.free_at = start + megabytes / self.rate
            return self.free_at - now
