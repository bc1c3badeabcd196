"""Calling routers' control interfaces."""

__all__ = ['ControlClient', 'RouterView', 'make_client']

import concurrent.futures
import urllib.parse

from ibisring_records import exceptions
from ibisring_records import records
from ibisring_web import calls
import msgspec

READ_TIMEOUT = 10.0
LOOK_TIMEOUT = 2.0
LOOKS_AT_ONCE = 32


class RouterView(msgspec.Struct):
    """What is in force on one router; `problem` if it did not answer."""

    router: str
    revision: int = -1
    failure_domain: str = ''
    unreadable: dict[str, str] = {}
    leaving: bool = False
    problem: str = ''


class ControlClient:
    """Speaks to one router with an operator's key.

    Parameters
    ----------
    address : str
        'IP:PORT' of a control listener.
    key : str
    """

    def __init__(self, address, key):
        self.address = address
        self.headers = {'Authorization': f'Bearer {key}'}
        self.caller = calls.make_caller(read_timeout=READ_TIMEOUT)

    def _ask(self, path, cls=None, address='', **options):
        address = address or self.address
        try:
            return self.caller.call(
                'GET',
                address,
                path,
                cls=cls,
                headers=self.headers,
                **options,
            )
        except calls.CallError as error:
            raise exceptions.NotReady(f'router {address}: {error}') from error

    def submit(self, submission):
        """Submit records.

        Raises
        ------
        InvalidRecord, Conflict, NotAccepted, SubmissionUnknown
        """
        try:
            return self.caller.call(
                'POST',
                self.address,
                '/v1/records',
                submission,
                cls=records.Accepted,
                headers=self.headers,
            )
        except calls.NotSent as error:
            raise exceptions.NotAccepted(str(error)) from error
        except calls.AnswerLost as error:
            raise exceptions.SubmissionUnknown(
                str(error), submission=submission.id
            ) from error

    def settle(self, submission_id):
        """Give the acceptance of a submission.

        Raises
        ------
        NotFound
            It was not accepted.
        """
        quoted = urllib.parse.quote(submission_id)
        return self._ask(f'/v1/submissions/{quoted}', records.Accepted)

    def get(self, kind='', name='', schema=''):
        """Give records as the router sees them, as builtins."""
        query = urllib.parse.urlencode(
            {'kind': kind, 'name': name, 'schema': schema}
        )
        return self._ask(f'/v1/records?{query}')

    def burn(self):
        """Give the service-level burn report as builtins."""
        return self._ask('/v1/burn')

    def fleet(self):
        """Give what is in force on every router of the VM list.

        Many are asked at the same time: while some are frozen an operator
        must not wait out a timeout for each of them in turn.
        """
        listed = self._ask('/v1/vms')
        with concurrent.futures.ThreadPoolExecutor(LOOKS_AT_ONCE) as pool:
            return list(pool.map(self._view, listed))

    def _view(self, vm):
        try:
            return self.router_view(vm['address'])
        except exceptions.IbisringError as error:
            return RouterView(vm['id'], problem=error.detail)

    def router_view(self, address=''):
        """Give the `RouterView` of a router, of this one if none is named."""
        found = self._ask(
            '/v1/in-force', address=address, read_timeout=LOOK_TIMEOUT
        )
        return msgspec.convert(found, RouterView, strict=False)

    def counters(self):
        """Give the router's counters by name."""
        return self._ask('/v1/counters')


def make_client(address, key):
    """Make a client of a router's control interface."""
    return ControlClient(address, key)
