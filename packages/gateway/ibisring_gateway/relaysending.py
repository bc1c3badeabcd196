"""Hands a request to another router, and relays that router's answer.

The router that is asked serves the request as if a caller had sent it: by its
own table, limits and budgets.  It begins only after it has received the whole
request, and the last part of that is held back until it has answered the
headers: a request that waits in a frozen router has not been handed over.
"""

__all__ = ['RelaySender', 'make_relay_sender']

import http
import logging
import random
import socket

from ibisring_gateway import attemptwatching
from ibisring_gateway import events
from ibisring_gateway import relaying
from ibisring_gateway import relaymarks
from ibisring_gateway import upstream
from ibisring_policy.gateway import attempts
from ibisring_records import exceptions
from ibisring_router import logs
from ibisring_web import answerheads
from ibisring_web import sockets
import msgspec

LOG = logging.getLogger(__name__)
CONNECT_TIMEOUT_SECONDS = 0.15
# Time for the answer to the headers, and its size.
CONTINUE_TIMEOUT_SECONDS = 0.2
MAX_INTERIM_BYTES = 1024
# Silence after which a repeatable request is handed to another router: longer
# than that router itself waits for an endpoint, shorter than callers wait.
FIRST_EVENT_SECONDS = 1.2
NEXT_EVENT_SECONDS = 1.0
PLAIN_OBJECTIVES = 5.0
# Longest time for which a request that has not begun is kept for routers that
# are not ready: a caller that comes back may reach another one.
MAX_UNREADY_SECONDS = 1.3
MS_PER_SECOND = 1000.0
# Statuses of other routers' errors that state that a request has not run.
NOT_RUN_STATUSES = frozenset((400, 401, 403, 404, 408, 413, 421, 429, 503))
# Errors that say nothing of the request, and soon hold no longer.
_UNREADY_CODES = frozenset(
    (exceptions.NotReady.code, exceptions.TableBehind.code)
)
_INTERIM_HEAD = b'HTTP/1.1 100'
_END_OF_HEAD = b'\r\n\r\n'
_EXPECT = {'Expect': '100-continue'}


class _Peer(msgspec.Struct):
    """A router in the place of an endpoint; the pool goes by its id."""

    id: str
    address: str


class _HandedOver(msgspec.Struct):
    """A request as it is written to another router."""

    method: str
    target: str
    body: object


class RelaySender:
    """Hands requests to other routers.

    Parameters
    ----------
    view : view.View
    codec : ports.Codec
    watcher : attemptwatching.Watcher
    connections : upstream.ConnectionPool
        Connections to routers.
    list_candidates : callable
        Returns the `relays.Candidate` of each router heard from.
    own_name : str

    Attributes
    ----------
    may_pass_on : callable
        Returns whether requests may still be sent.
    """

    def __init__(
        self, view, codec, watcher, connections, list_candidates, own_name
    ):
        self.view = view
        self.codec = codec
        self.watcher = watcher
        self.connections = connections
        self.list_candidates = list_candidates
        self.own_name = own_name
        self.may_pass_on = lambda: True
        self.clock = view.clock
        self.rng = random.Random()

    def choose(self, job, without=None):
        """Return the router to hand a request to, None if there is none.

        Parameters
        ----------
        job : jobs.Job
        without : str or None
            Router that is not chosen.

        Returns
        -------
        relays.Candidate or None
        """
        now = self.clock()
        with self.view.lock:
            return self.view.relays.choose(
                self.list_candidates(),
                job.service.name,
                now,
                self.rng,
                {*job.relays_failed, without},
            )

    def is_possible(self, service):
        """Return whether some router may take requests for a service."""
        now = self.clock()
        with self.view.lock:
            return bool(
                self.view.relays.usable(self.list_candidates(), service, now)
            )

    def is_any_unready(self, job):
        """Return whether a router that was not ready may still take a job.

        Parameters
        ----------
        job : jobs.Job

        Returns
        -------
        bool
        """
        now = self.clock()
        with self.view.lock:
            found = self.view.relays.serving(
                self.list_candidates(),
                job.service.name,
                now,
                job.relays_failed,
            )
        return any(each.name in job.relays_unready for each in found)

    def send(self, job, peer):
        """Hand a request to a router and relay the answer.

        Parameters
        ----------
        job : jobs.Job
        peer : relays.Candidate

        Returns
        -------
        attempts.Result or None
            None if the caller has its final answer.
        """
        job.progress.tries += 1
        if job.relayed_to[-1:] != [peer.name]:
            job.relayed_to.append(peer.name)
        attempt = attemptwatching.Attempt(
            job.request.id, _Peer(peer.name, peer.address), (), job.deadline
        )
        attempt.job = job
        logs.event(
            LOG,
            'relayed',
            id=job.request.id,
            router=peer.name,
            service=job.service.name,
            after_ms=round((self.clock() - job.started) * MS_PER_SECOND),
            after_event=job.splitter.last_position,
        )
        with self.view.lock:
            self.view.relays.started(peer.name)
        self.watcher.add(job.exchange.socket, attempt)
        try:
            return self._send(job, attempt)
        finally:
            self.watcher.remove(job.exchange.socket)
            job.successor = attempt.settle()
            with self.view.lock:
                self.view.relays.ended(peer.name)

    def _send(self, job, attempt):
        try:
            conn = self.connections.acquire(
                attempt.endpoint, fresh=False, timeout=CONNECT_TIMEOUT_SECONDS
            )
        except upstream.NoDescriptor as error:
            job.relays_failed.add(attempt.endpoint.id)
            LOG.debug('not handed to %s: %s', attempt.endpoint.id, error)
            return attempt.result or attempts.Result.NOT_SENT
        except upstream.ConnectionFailed as error:
            return self._not_taken(job, attempt, str(error))
        try:
            return self._send_on(job, attempt, conn)
        except Exception:
            conn.close()
            raise

    def _send_on(self, job, attempt, conn):
        """Hand a request over on a connection."""
        attempt.socket = conn.sock
        if attempt.result is not None or not self.may_pass_on():
            conn.close()
            return attempt.result or attempts.Result.NOT_SENT
        self._set_timeout(job, attempt)
        time_left = max(0.01, job.deadline - self.clock())
        body = _Body(conn, job.request.body, time_left + 1.0, self.clock)
        handed_over = _HandedOver(job.request.method, job.request.target, body)
        try:
            response = self.connections.send(
                conn, handed_over, self._headers(job, time_left), time_left + 1
            )
        except upstream.ConnectionFailed as error:
            conn.close()
            if body.is_begun:
                return self._lost(job, attempt, error)
            return self._not_taken(job, attempt, str(error))
        return self._receive(job, attempt, conn, response)

    def _headers(self, job, time_left):
        headers = self.codec.encode_relayed(
            job.request, time_left, job.splitter.last_position
        )
        mark = relaymarks.Mark(
            self.own_name, self.view.snapshot.version, tuple(job.sent_to)
        )
        return {**headers, **_EXPECT, **relaymarks.encode(mark)}

    def _set_timeout(self, job, attempt):
        now = self.clock()
        attempt.sent_at = now
        attempt.last_event_at = now
        if job.progress.stream:
            attempt.check_at = now + FIRST_EVENT_SECONDS
        elif job.route.repeatable:
            attempt.check_at = now + max(
                FIRST_EVENT_SECONDS, PLAIN_OBJECTIVES * job.route.objective
            )

    def _not_taken(self, job, attempt, why):
        """Record that a router did not take a request."""
        name = attempt.endpoint.id
        job.relays_failed.add(name)
        with self.view.lock:
            self.view.relays.not_taken(name, job.service.name, self.clock())
        logs.event(
            LOG,
            'relay_not_taken',
            id=job.request.id,
            router=name,
            late_ms=self.view.late_ms(attempt.sent_at),
            why=why,
        )
        return attempt.result or attempts.Result.NOT_SENT

    def _not_ready(self, job, attempt, why):
        """Record that a router did not take a request yet.

        It has said that the request did not run, so that this is no try.
        """
        now = self.clock()
        if job.unready_since is None:
            job.unready_since = now
        is_over = now - job.unready_since > MAX_UNREADY_SECONDS
        if is_over and not job.exchange.headers_sent:
            return self._not_taken(job, attempt, why)
        name = attempt.endpoint.id
        job.progress.tries -= 1
        job.unready_refusals += 1
        job.relays_unready.add(name)
        with self.view.lock:
            self.view.relays.not_ready(name, job.service.name, now)
        logs.event(
            LOG,
            'relay_not_ready',
            id=job.request.id,
            router=name,
            why=why,
            times=job.unready_refusals,
        )
        return attempt.result or attempts.Result.NOT_SENT

    def _lost(self, job, attempt, error):
        """Handle a failure after a request was handed over."""
        job.record_loss()
        job.relays_failed.add(attempt.endpoint.id)
        logs.event(
            LOG,
            'relay_lost',
            id=job.request.id,
            router=attempt.endpoint.id,
            end=attempt.result.value if attempt.result else None,
            ran_ms=round((self.clock() - attempt.sent_at) * MS_PER_SECOND),
            late_ms=self.view.late_ms(attempt.sent_at),
            events=attempt.events,
            why=str(error),
        )
        return attempt.result or attempts.Result.LOST

    def _receive(self, job, attempt, conn, response):
        answer = self.codec.decode_answer(
            response.status, response.headers, response.head.body
        )
        answer.headers = relaymarks.strip(answer.headers)
        self._record_endpoints(job, response)
        try:
            if relaymarks.REFUSAL in response.headers:
                result = self._refused(job, attempt, response, answer)
            else:
                result = self._relay(job, attempt, response, answer)
        except (upstream.ConnectionFailed, events.StreamBroken) as error:
            conn.close()
            return self._lost(job, attempt, error)
        if attempt.detach() and answer.delimited:
            self.connections.release(attempt.endpoint, conn)
        else:
            conn.close()
        return result

    def _record_endpoints(self, job, response):
        """Record the endpoints that the other router sent the request to."""
        try:
            names = relaymarks.decode_endpoints(
                response.headers.get(relaymarks.SENT_TO, '')
            )
        except exceptions.InvalidRelay as error:
            LOG.warning('endpoints of a relayed request: %s', error.detail)
            return
        job.sent_to += [name for name in names if name not in job.sent_to]
        job.progress.sent_to = len(job.sent_to)

    def _refused(self, job, attempt, response, answer):
        """Handle an error of the other router itself."""
        body = relaying.read_plain(attempt, response, answer)
        code = response.headers[relaymarks.REFUSAL]
        if code in _UNREADY_CODES:
            return self._not_ready(job, attempt, code)
        if code == exceptions.Unreachable.code:
            return self._not_taken(job, attempt, code)
        if answer.status not in NOT_RUN_STATUSES:
            return self._lost(job, attempt, f'{answer.status} {code}')
        if job.exchange.headers_sent:
            job.progress.refusals += 1
            return attempts.Result.REFUSED
        job.relayed_refusal = answer, body
        return attempts.Result.TURNED_AWAY

    def _relay(self, job, attempt, response, answer):
        """Relay an endpoint's answer."""
        job.retry = None
        job.progress.may_have_run = True
        fault = relaying.answer_fault(answer, job.exchange.headers_sent)
        if answer.request_id not in (None, job.request.id):
            fault = 'answer to another request'
        if fault:
            raise upstream.ConnectionFailed(fault, True)
        attempt.last_event_at = self.clock()
        if job.progress.stream and answer.status == 200:
            relaying.relay_events(
                job,
                attempt,
                response,
                answer,
                lambda: self._record_event(job, attempt),
            )
        else:
            body = relaying.read_plain(attempt, response, answer)
            job.record_chunk(self.clock())
            job.exchange.answer(answer.status, answer.headers, body)
        job.answer = answer
        return None

    def _record_event(self, job, attempt):
        now = self.clock()
        attempt.events += 1
        attempt.last_event_at = now
        attempt.check_at = now + NEXT_EVENT_SECONDS
        job.record_chunk(now)


class _Body:
    """A body that is sent once the other side has answered the headers.

    Attributes
    ----------
    is_begun : bool
        Whether it was; until then the request is incomplete and can't run.
    """

    def __init__(self, conn, body, timeout, clock):
        self.conn = conn
        self.body = body
        self.timeout = timeout
        self.clock = clock
        self.is_begun = False

    def __iter__(self):
        head = _read_interim(self.conn.sock, self.clock)
        _check_interim(head)
        self.conn.sock.settimeout(self.timeout)
        self.is_begun = True
        yield self.body


def _check_interim(head):
    """Check that a head asks for the body.

    Raises
    ------
    ConnectionResetError
    InvalidAnswer
    """
    if head.startswith(_INTERIM_HEAD):
        if answerheads.parse(head).status == http.HTTPStatus.CONTINUE:
            return
    raise ConnectionResetError(f'refused with {head[:40]!r}')


def _read_interim(sock, clock):
    """Read an interim response, and nothing of what follows it.

    The final response may follow at once, if it doesn't depend on the body.
    After the time limit, what has arrived is still read: the limit may have
    passed while this process stood still.
    """
    end = clock() + CONTINUE_TIMEOUT_SECONDS
    head = b''
    while not head.endswith(_END_OF_HEAD):
        left = end - clock()
        if left <= 0.0 and not sockets.has_input(sock):
            raise TimeoutError('no whole answer to the headers in time')
        sock.settimeout(max(0.0, left))
        size = _whole_size(head, sock.recv(MAX_INTERIM_BYTES, socket.MSG_PEEK))
        data = sock.recv(size)
        if not data:
            raise ConnectionResetError('closed by the other router')
        head += data
        if not head.startswith(_INTERIM_HEAD[: len(head)]):
            break
        if len(head) > MAX_INTERIM_BYTES:
            raise ConnectionResetError('the answer to the headers is too long')
    return head


def _whole_size(head, data):
    """Return how many bytes of `data` belong to the head, at least one."""
    end = (head + data).find(_END_OF_HEAD)
    if end < 0:
        return max(1, len(data))
    return end + len(_END_OF_HEAD) - len(head)


def make_relay_sender(*parts):
    """Make a `RelaySender`."""
    return RelaySender(*parts)
