"""Claims to idempotency keys, made at the table service and at peers."""

__all__ = [
    'VoteRequest',
    'ReleaseRequest',
    'HeldState',
    'HeldView',
    'ClaimActor',
    'Claims',
    'HeldElsewhere',
    'claim_row_key',
    'make_claims',
]

import concurrent.futures
import enum
import logging
import time

from ibisring_backing import tables
from ibisring_policy import claims as claims_module
from ibisring_records import exceptions
from ibisring_router import actors
from ibisring_web import calls
import more_itertools
import msgspec

LOG = logging.getLogger(__name__)
CLAIM_PREFIX = 'claims/'
VOTE_TIMEOUT_SECONDS = 0.5
VOTE_GRACE_SECONDS = 0.03
TABLE_RETRY_SECONDS = 2.0
POOL_THREADS = 32
RETRY_AFTER_SECONDS = 1.0
SWEEP_BATCH_SIZE = 100
TABLE_ERRORS = (
    exceptions.PlatformUnavailable,
    exceptions.PlatformAnswerLost,
)


class VoteRequest(msgspec.Struct):
    claim: claims_module.Claim


class ReleaseRequest(msgspec.Struct):
    key: str
    claim_id: str


class HeldState(enum.StrEnum):
    """State of a claimed request's answer, as its owner reports it."""

    RUNNING = 'running'
    ENDED = 'ended'
    ABSENT = 'absent'


class HeldView(msgspec.Struct):
    """A held answer as its owner reports it.

    `parts` are encoded by `keyed.KeyedRunner`.
    """

    state: HeldState
    fingerprint: str = ''
    parts: list[msgspec.Raw] = []
    error_code: str = ''
    error_detail: str = ''


class HeldElsewhere(Exception):
    """Another request has claimed the key.

    Attributes
    ----------
    holder : claims.Claim
        The claim of that request.
    """

    def __init__(self, holder):
        super().__init__(holder.owner)
        self.holder = holder


class ClaimActor(actors.MessageActor):
    """Owns the claims that this router stores as a voter."""

    def __init__(self, window, clock):
        super().__init__()
        self.clock = clock
        self.voter = claims_module.make_voter(window, clock())

    def handlers(self):
        return {
            VoteRequest: self.on_vote_request,
            ReleaseRequest: self.on_release_request,
        }

    def on_vote_request(self, message):
        return self.voter.vote(message.claim, self.clock())

    def on_release_request(self, message):
        self.voter.release(message.key, message.claim_id)


def claim_row_key(key):
    """Return the table key of the claim to an idempotency key."""
    return f'{CLAIM_PREFIX}{key}'


class Claims:
    """Makes claims for this router and votes on those of others.

    Parameters
    ----------
    table : tables.TableService
        Used while a caller waits, so with short timeouts.
    background_table : tables.TableService
        Used for background work.
    members : callable
        Returns a ``dict`` of voter id to 'IP:PORT', which includes this
        router, or None until the VM list has been read once.
    own_id : str
    caller : calls.Caller
    window : float
        Seconds for which a claim must be remembered.
    clock : callable
    """

    def __init__(
        self, table, background_table, members, own_id, caller, window, clock
    ):
        self.table = table
        self.background_table = background_table
        self.members = members
        self.own_id = own_id
        self.caller = caller
        self.window = window
        self.clock = clock
        self.wall_clock = time.time
        self.table_down_until = 0.0
        self.unsaved = {}
        self.actor = ClaimActor.start(window, clock)
        self.pool = concurrent.futures.ThreadPoolExecutor(POOL_THREADS)

    def vote(self, claim):
        """Return this router's vote on a claim."""
        return self.actor.ask(VoteRequest(claim))

    def release_local(self, request):
        """Remove a claim whose request did not run from this router."""
        self.actor.tell(request)

    def claim(self, claim):
        """Claim a key, after which its request may run.

        Parameters
        ----------
        claim : claims.Claim

        Raises
        ------
        HeldElsewhere
        ClaimUnavailable
            The request did not run, and its claim was released.
        """
        members = self.members()
        if members is None:
            raise exceptions.ClaimUnavailable(
                'the VM list was never read here',
                retry_after=RETRY_AFTER_SECONDS,
            )
        table, holder = self._commit_claim(claim)
        voter_ids = claims_module.voters(claim.key, members)
        votes = []
        if table is not claims_module.TableAnswer.HELD:
            votes = self._query_voters(claim, voter_ids, members)
        decision = claims_module.decide(
            claim, table, holder, votes, len(voter_ids), self.window
        )
        if decision.verdict is claims_module.Verdict.RUN:
            if table is claims_module.TableAnswer.DOWN:
                self.unsaved[claim.key] = claim
            return
        self.release(claim)
        if decision.verdict is claims_module.Verdict.HELD:
            raise HeldElsewhere(decision.holder)
        raise exceptions.ClaimUnavailable(
            f'{len(votes)} of {len(voter_ids)} routers remember the claim',
            retry_after=RETRY_AFTER_SECONDS,
        )

    # Table service

    def _commit_claim(self, claim):
        """Write the claim row; return a `TableAnswer` and the other holder.

        After a failure the table is not called for some seconds: while the
        store is down, an urgent request must not wait for a timeout each
        time.
        """
        if self.clock() < self.table_down_until:
            return claims_module.TableAnswer.DOWN, None
        try:
            return self._write_claim(self.table, claim)
        except exceptions.StoreBudgetSpent:
            return claims_module.TableAnswer.DOWN, None
        except TABLE_ERRORS:
            self.table_down_until = self.clock() + TABLE_RETRY_SECONDS
            return claims_module.TableAnswer.DOWN, None

    def _write_claim(self, table, claim):
        key = claim_row_key(claim.key)
        row = msgspec.to_builtins(claim)
        try:
            table.commit({key: tables.ABSENT}, {key: row})
            return claims_module.TableAnswer.GRANTED, None
        except (exceptions.Conflict, exceptions.PlatformAnswerLost):
            found = table.read([key]).get(key)
        if found is None:
            return claims_module.TableAnswer.DOWN, None
        holder = msgspec.convert(found.value, claims_module.Claim)
        if holder.id == claim.id:
            return claims_module.TableAnswer.GRANTED, None
        return claims_module.TableAnswer.HELD, holder

    def save_unsaved(self):
        """Write the rows of claims that were made during a table outage.

        It writes as many as the budget allows and leaves the others for the
        next call.  A claim older than `window` is dropped: no repeat of its
        request can arrive any more.
        """
        for key, claim in list(self.unsaved.items()):
            if self.wall_clock() - claim.made_at <= self.window:
                try:
                    self._write_claim(self.background_table, claim)
                except TABLE_ERRORS:
                    return
            self.unsaved.pop(key, None)

    def sweep(self, wall_time):
        """Delete claim rows that are older than twice the window.

        No repeat of their requests can arrive any more.
        """
        old_versions = {}
        for row in self.background_table.scan_all(CLAIM_PREFIX):
            claim = msgspec.convert(row.value, claims_module.Claim)
            if wall_time - claim.made_at > 2 * self.window:
                old_versions[row.key] = row.version
        for keys in more_itertools.chunked(old_versions, SWEEP_BATCH_SIZE):
            _delete_rows(
                self.background_table, {key: old_versions[key] for key in keys}
            )

    # Voters

    def _query_voters(self, claim, voter_ids, members):
        others = [name for name in voter_ids if name != self.own_id]
        futures = [
            self.pool.submit(self._query_voter, members[name], claim)
            for name in others
        ]
        votes = []
        if self.own_id in voter_ids:
            votes.append(self.vote(claim))
        return _collect_votes(futures, votes, len(voter_ids))

    def _query_voter(self, address, claim):
        try:
            return self.caller.call(
                'POST',
                address,
                '/peer/claims',
                VoteRequest(claim),
                cls=claims_module.Vote,
            )
        except (calls.CallError, exceptions.IbisringError):
            return None

    def release(self, claim):
        """Release a claim at all voters and in the table.

        Its request did not run.  The caller's response waits for this, up to
        `VOTE_TIMEOUT_SECONDS`, because a repeat may follow at once and
        must not find its own claim.  If a release is lost nevertheless, the
        repeat finds the claim, this router reports that it has no answer to
        it, and the caller gets outcome `unknown`.
        """
        request = ReleaseRequest(claim.key, claim.id)
        self.release_local(request)
        self.unsaved.pop(claim.key, None)
        members = self.members() or {}
        futures = [
            self.pool.submit(self._release_at_voter, members[name], request)
            for name in claims_module.voters(claim.key, members)
            if name != self.own_id
        ]
        if self.clock() >= self.table_down_until:
            futures.append(self.pool.submit(self._release_row, claim))
        concurrent.futures.wait(futures, timeout=VOTE_TIMEOUT_SECONDS)

    def _release_at_voter(self, address, request):
        try:
            self.caller.call('POST', address, '/peer/releases', request)
        except (calls.CallError, exceptions.IbisringError):
            return

    def _release_row(self, claim):
        key = claim_row_key(claim.key)
        try:
            found = self.table.read([key]).get(key)
        except exceptions.IbisringError:
            return
        if found is not None and found.value['id'] == claim.id:
            _delete_rows(self.table, {key: found.version})

    # Owners of claims

    def query_owner(self, holder, wait):
        """Query a claim's owner for its answer.

        Parameters
        ----------
        holder : claims.Claim
        wait : float
            Seconds for which the owner may wait for the answer to end.

        Returns
        -------
        HeldView or None
            None if the owner can't be reached or returns an error.
        """
        path = f'/peer/answers/{holder.key}?wait={wait:.3f}'
        try:
            return self.caller.call(
                'GET',
                holder.owner,
                path,
                cls=HeldView,
                read_timeout=wait + VOTE_TIMEOUT_SECONDS,
            )
        except (calls.CallError, exceptions.IbisringError):
            return None

    def stop(self):
        self.pool.shutdown(wait=False, cancel_futures=True)
        self.actor.stop()


def _delete_rows(table, versions):
    try:
        table.commit(versions, {}, list(versions))
    except exceptions.IbisringError:
        # Another router deleted a row already, or the next sweep does.
        return


def _collect_votes(futures, votes, voter_count):
    """Collect votes until a majority has replied.

    A voter that hangs would delay every urgent request until its timeout.
    A majority is enough, because any earlier claim whose request ran is
    remembered by at least one voter of every majority.  The other voters
    get a short grace period, as they may know of a claim that did not run.
    """
    done, pending = concurrent.futures.wait(
        futures, timeout=VOTE_GRACE_SECONDS
    )
    while True:
        replies = (future.result() for future in done)
        votes.extend(vote for vote in replies if vote is not None)
        if not pending or 2 * len(votes) > voter_count:
            return votes
        done, pending = concurrent.futures.wait(
            pending, return_when=concurrent.futures.FIRST_COMPLETED
        )


def make_claims(
    settings, table, background_table, members, caller, clock=time.monotonic
):
    """Make the claims client of a router."""
    return Claims(
        table,
        background_table,
        members,
        settings.router_id,
        caller,
        settings.claim_seconds,
        clock,
    )
