"""Claims to a key, as asked of the table service and of peers."""

__all__ = [
    'VoteRequest',
    'ReleaseRequest',
    'HeldState',
    'HeldView',
    'ClaimActor',
    'Claims',
    'HeldElsewhere',
    'claim_row',
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
VOTE_TIMEOUT = 0.5
VOTE_GRACE = 0.03
TABLE_PAUSE = 2.0
POOL_THREADS = 32
RETRY_AFTER = 1.0
SWEPT_AT_ONCE = 100
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
    """What a claim's owner says of its answer."""

    RUNNING = 'running'
    ENDED = 'ended'
    ABSENT = 'absent'


class HeldView(msgspec.Struct):
    """An answer as its owner tells it; `parts` are encoded by the runner."""

    state: HeldState
    fingerprint: str = ''
    parts: list[msgspec.Raw] = []
    error_code: str = ''
    error_detail: str = ''


class HeldElsewhere(Exception):
    """Another router holds the key.

    Attributes
    ----------
    holder : claims.Claim
    """

    def __init__(self, holder):
        super().__init__(holder.owner)
        self.holder = holder


class ClaimActor(actors.MessageActor):
    """Owns this router's claim book."""

    def __init__(self, window, clock):
        super().__init__()
        self.clock = clock
        self.book = claims_module.make_voter(window, clock())

    def handlers(self):
        return {
            VoteRequest: self.on_vote_request,
            ReleaseRequest: self.on_release_request,
        }

    def on_vote_request(self, message):
        return self.book.vote(message.claim, self.clock())

    def on_release_request(self, message):
        self.book.release(message.key, message.claim_id)


def claim_row(key):
    """Give the table key of a claim."""
    return f'{CLAIM_PREFIX}{key}'


class Claims:
    """Makes claims for this router and votes on those of others.

    Parameters
    ----------
    table : tables.TableService
        With short timeouts of its own.
    upkeep : tables.TableService
        For what no caller waits for.
    members : callable
        Gives ``dict`` of voter id to 'IP:PORT' (this router's own under
        its id), or None while the VM list was never read.
    own_id : str
    caller : calls.Caller
    window : float
    clock : callable
    """

    def __init__(self, table, upkeep, members, own_id, caller, window, clock):
        self.table = table
        self.upkeep = upkeep
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
        """Vote on a claim, as one of its voters."""
        return self.actor.ask(VoteRequest(claim))

    def release_local(self, request):
        """Forget a claim that did not run."""
        self.actor.tell(request)

    def claim(self, claim):
        """Claim a key, so that the caller of this may run its request.

        Parameters
        ----------
        claim : claims.Claim

        Raises
        ------
        HeldElsewhere
        ClaimUnavailable
            Nothing ran and nothing is claimed any more.
        """
        members = self.members()
        if members is None:
            raise exceptions.ClaimUnavailable(
                'the VM list was never read here', retry_after=RETRY_AFTER
            )
        table, holder = self._claim_row(claim)
        chosen = claims_module.voters(claim.key, members)
        votes = []
        if table is not claims_module.TableAnswer.HELD:
            votes = self._ask_voters(claim, chosen, members)
        decision = claims_module.decide(
            claim, table, holder, votes, len(chosen), self.window
        )
        if decision.verdict is claims_module.Verdict.RUN:
            if table is claims_module.TableAnswer.DOWN:
                self.unsaved[claim.key] = claim
            return
        self.release(claim)
        if decision.verdict is claims_module.Verdict.HELD:
            raise HeldElsewhere(decision.holder)
        raise exceptions.ClaimUnavailable(
            f'{len(votes)} of {len(chosen)} routers remember the claim',
            retry_after=RETRY_AFTER,
        )

    # Table service

    def _claim_row(self, claim):
        """Write the claim row; give a `TableAnswer` and another's claim.

        After a failure the table is left alone for a moment: an alert must
        not wait out a timeout each time while the store is down.
        """
        if self.clock() < self.table_down_until:
            return claims_module.TableAnswer.DOWN, None
        try:
            return self._write_row(self.table, claim)
        except exceptions.StoreBudgetSpent:
            return claims_module.TableAnswer.DOWN, None
        except TABLE_ERRORS:
            self.table_down_until = self.clock() + TABLE_PAUSE
            return claims_module.TableAnswer.DOWN, None

    def _write_row(self, table, claim):
        key = claim_row(claim.key)
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
        """Write claims made during an outage, now that it may be over.

        As many as the budget allows; the others wait for the next time.
        One that is older than any repeat may be needs no row any more.
        """
        for key, claim in list(self.unsaved.items()):
            if self.wall_clock() - claim.made_at <= self.window:
                try:
                    self._write_row(self.upkeep, claim)
                except TABLE_ERRORS:
                    return
            self.unsaved.pop(key, None)

    def sweep(self, wall_time):
        """Delete claim rows that are older than any repeat may be."""
        old = {}
        for row in self.upkeep.scan_all(CLAIM_PREFIX):
            claim = msgspec.convert(row.value, claims_module.Claim)
            if wall_time - claim.made_at > 2 * self.window:
                old[row.key] = row.version
        for keys in more_itertools.chunked(old, SWEPT_AT_ONCE):
            _delete_rows(self.upkeep, {key: old[key] for key in keys})

    # Voters

    def _ask_voters(self, claim, chosen, members):
        others = [name for name in chosen if name != self.own_id]
        asked = [
            self.pool.submit(self._ask_one, members[name], claim)
            for name in others
        ]
        votes = []
        if self.own_id in chosen:
            votes.append(self.vote(claim))
        return _gather(asked, votes, len(chosen))

    def _ask_one(self, address, claim):
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
        """Take a claim back everywhere: its request did not run.

        The caller is answered only after this, for a short time at most:
        its repeat may follow at once and must not meet its own claim.
        Where a release is lost all the same, the repeat is told by this
        router that it holds nothing, and is answered `unknown`.
        """
        request = ReleaseRequest(claim.key, claim.id)
        self.release_local(request)
        self.unsaved.pop(claim.key, None)
        members = self.members() or {}
        asked = [
            self.pool.submit(self._release_one, members[name], request)
            for name in claims_module.voters(claim.key, members)
            if name != self.own_id
        ]
        if self.clock() >= self.table_down_until:
            asked.append(self.pool.submit(self._release_row, claim))
        concurrent.futures.wait(asked, timeout=VOTE_TIMEOUT)

    def _release_one(self, address, request):
        try:
            self.caller.call('POST', address, '/peer/releases', request)
        except (calls.CallError, exceptions.IbisringError):
            return

    def _release_row(self, claim):
        key = claim_row(claim.key)
        try:
            found = self.table.read([key]).get(key)
        except exceptions.IbisringError:
            return
        if found is not None and found.value['id'] == claim.id:
            _delete_rows(self.table, {key: found.version})

    # Owners

    def query_owner(self, holder, wait):
        """Ask a claim's owner for its answer.

        Parameters
        ----------
        holder : claims.Claim
        wait : float
            Seconds to wait for its end.

        Returns
        -------
        HeldView or None
            None if the owner can't be reached.
        """
        path = f'/peer/answers/{holder.key}?wait={wait:.3f}'
        try:
            return self.caller.call(
                'GET',
                holder.owner,
                path,
                cls=HeldView,
                read_timeout=wait + VOTE_TIMEOUT,
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
        # Another router deleted one, or the next sweep will.
        return


def _gather(asked, votes, voter_count):
    """Collect votes until they are enough.

    A frozen voter answers only by its timeout.  Were it waited for, every
    alert would be late while one router is frozen.  Any earlier claim that
    ran has a vote in every majority, so a majority is enough; the others
    get a short grace, for they may know of a claim that did not run.
    """
    done, pending = concurrent.futures.wait(asked, timeout=VOTE_GRACE)
    while True:
        answers = (future.result() for future in done)
        votes.extend(vote for vote in answers if vote is not None)
        if not pending or 2 * len(votes) > voter_count:
            return votes
        done, pending = concurrent.futures.wait(
            pending, return_when=concurrent.futures.FIRST_COMPLETED
        )


def make_claims(
    settings, table, upkeep, members, caller, clock=time.monotonic
):
    """Make the claims of a router."""
    return Claims(
        table,
        upkeep,
        members,
        settings.router_id,
        caller,
        settings.claim_seconds,
        clock,
    )
