"""Client of the routers' control interface."""

__all__ = ['ControlClient', 'RouterView', 'make_client']

import concurrent.futures
import urllib.parse

from ibisring_records import exceptions
from ibisring_records import records
from ibisring_web import calls
import msgspec

READ_TIMEOUT_SECONDS = 10.0
VIEW_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_VIEWS = 32


class RouterView(msgspec.Struct):
    """Status of one router; `problem` is set if it did not respond."""

    router: str
    revision: int = -1
    failure_domain: str = ''
    unreadable: dict[str, str] = {}
    leaving: bool = False
    problem: str = ''


class ControlClient:
    """Client of one router, authenticated by an operator key.

    Parameters
    ----------
    address : str
        'IP:PORT' of a control listener.
    key : str
    """

    def __init__(self, address, key):
        self.address = address
        self.headers = {'Authorization': f'Bearer {key}'}
        self.caller = calls.make_caller(read_timeout=READ_TIMEOUT_SECONDS)

    def _get(self, path, cls=None, address='', **options):
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
        """Return the `Accepted` of a submission.

        Raises
        ------
        NotFound
            It was not accepted.
        """
        quoted = urllib.parse.quote(submission_id)
        return self._get(f'/v1/submissions/{quoted}', records.Accepted)

    def get(self, kind='', name='', schema=''):
        """Return the active records of the router, as builtins."""
        query = urllib.parse.urlencode(
            {'kind': kind, 'name': name, 'schema': schema}
        )
        return self._get(f'/v1/records?{query}')

    def burn(self):
        """Return the burn report as builtins."""
        return self._get('/v1/burn')

    def router_views(self):
        """Return the views of all routers on the VM list.

        Routers are queried concurrently, so that unresponsive ones don't
        delay the operator by one timeout each.
        """
        entries = self._get('/v1/vms')
        with concurrent.futures.ThreadPoolExecutor(
            MAX_CONCURRENT_VIEWS
        ) as pool:
            return list(pool.map(self._view_or_problem, entries))

    def _view_or_problem(self, vm):
        try:
            return self.router_view(vm['address'])
        except exceptions.IbisringError as error:
            return RouterView(vm['id'], problem=error.detail)

    def router_view(self, address=''):
        """Return the `RouterView` of a router, by default of this one."""
        view = self._get(
            '/v1/in-force', address=address, read_timeout=VIEW_TIMEOUT_SECONDS
        )
        return msgspec.convert(view, RouterView, strict=False)

    def counters(self):
        """Return the router's counters by name."""
        return self._get('/v1/counters')


def make_client(address, key):
    """Create a client of a router's control interface."""
    return ControlClient(address, key)
