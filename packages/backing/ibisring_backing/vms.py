"""The platform's list of VMs, which lags behind reality."""

__all__ = ['VmState', 'Vm', 'VmList', 'HttpVms', 'http_vms']

import abc
import enum

import msgspec

from ibisring_records import exceptions
from ibisring_web import calls


class VmState(enum.StrEnum):
    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True):
    """An entry VM; `address` is where its router talks to its peers."""

    id: str
    address: str
    failure_domain: str
    state: VmState = VmState.LIVE


class VmList(abc.ABC):
    """Names the VMs that the platform believes to exist."""

    @abc.abstractmethod
    def read(self):
        """Give the list.

        Returns
        -------
        list of Vm

        Raises
        ------
        PlatformUnavailable
        """


class HttpVms(VmList):
    """The VM list over HTTP."""

    def __init__(self, caller, address):
        self.caller = caller
        self.address = address

    def read(self):
        try:
            return self.caller.call('GET', self.address, '/vms', cls=list[Vm])
        except calls.CallError as error:
            raise exceptions.PlatformUnavailable(
                f'VM list: {error}'
            ) from error


def http_vms(address, caller=None):
    """Make the HTTP client of a VM list."""
    return HttpVms(caller or calls.make_caller(), address)
