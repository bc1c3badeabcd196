"""HTTP interface for operators and peers, on a separate listener."""

__all__ = ['ControlApi', 'make_app']

import hmac

from ibisring_records import conversion
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_records import schemas
from ibisring_router import claiming
from ibisring_router import peering as peering_module
from ibisring_router import peerkeys
from ibisring_router import recordkeeping
from ibisring_web import routes
import msgspec


class RecordView(msgspec.Struct, omit_defaults=True):
    """A record as shown to operators; `problem` is why it is unreadable."""

    kind: str
    name: str
    schema: str
    spec: dict
    revision: int
    problem: str = ''


class RouterStatus(msgspec.Struct):
    """Status of one router and of the records that it applies."""

    router: str
    failure_domain: str
    revision: int
    unreadable: dict[str, str]
    uptime: float
    ready: bool
    leaving: bool


class ControlApi:
    """Handlers for operators and peers.

    Parameters
    ----------
    settings : settings.Settings
    keeper : recordkeeping.RecordKeeper
    peering : peering.Peering
    claims : claiming.Claims
    keyed : keyed.KeyedRunner
    burn : burnkeeping.BurnKeeper
    readiness : readiness.Readiness
    metrics : metrics.Metrics
    traffic : calls.Traffic
    """

    def __init__(
        self,
        settings,
        keeper,
        peering,
        claims,
        keyed,
        burn,
        readiness,
        metrics,
        traffic,
    ):
        self.settings = settings
        self.claims = claims
        self.keyed = keyed
        self.burn = burn
        self.keeper = keeper
        self.peering = peering
        self.readiness = readiness
        self.metrics = metrics
        self.traffic = traffic
        self.peer_keys = peerkeys.peer_keys(settings)

    def _check_operator(self, request):
        """Accept the operator key of the settings or of an operator account.

        The key of the settings works before any records are active.
        """
        hashed = records.hash_key(routes.bearer_key(request))
        expected = self.settings.operator_key_sha256
        if expected and hmac.compare_digest(hashed, expected):
            return
        configuration = self.keeper.current
        if configuration is not None:
            name = configuration.account_by_hash.get(hashed)
            if name is not None:
                if configuration.accounts[name].operator:
                    return
                raise exceptions.Forbidden(f'account {name} is no operator')
        raise exceptions.Unauthorized('this is no operator key')

    def _check_peer(self, request):
        peerkeys.check_peer(request, self.peer_keys)

    # Operators

    def submit(self, request):
        self._check_operator(request)
        submission = routes.read_body(request, records.Submission)
        accepted, change = self.keeper.submit(submission)
        self.metrics.count('submissions.accepted')
        if change is not None:
            self.peering.push([change])
        return routes.json_response(accepted)

    def settle(self, request, submission_id):
        self._check_operator(request)
        accepted = self.keeper.find_accepted(submission_id)
        if accepted is None:
            raise exceptions.NotFound(
                f'submission {submission_id} was not accepted'
            )
        return routes.json_response(accepted)

    def list_records(self, request):
        self._check_operator(request)
        self.keeper.require()
        kind = request.args.get('kind', '')
        name = request.args.get('name', '')
        schema = request.args.get('schema', '')
        views = [
            _record_view(stored, schema)
            for stored in self.keeper.snapshot().records
            if not stored.deleted
            and kind in ('', stored.kind)
            and name in ('', stored.name)
        ]
        views.sort(key=lambda view: (view.kind, view.name))
        return routes.json_response(views)

    def router_status(self, request):
        self._check_operator(request)
        configuration = self.keeper.current
        unreadable = {}
        if configuration is not None:
            unreadable = configuration.unreadable
        state = self.peering.state()
        return routes.json_response(
            RouterStatus(
                state.router,
                state.failure_domain,
                state.revision,
                unreadable,
                state.uptime,
                configuration is not None,
                state.leaving,
            )
        )

    def list_vms(self, request):
        self._check_operator(request)
        members = self.peering.read(lambda m: dict(m.members))
        entries = [
            {'id': vm.id, 'address': vm.address} for vm in members.values()
        ]
        entries.append(
            {
                'id': self.settings.router_id,
                'address': self.settings.advertise,
            }
        )
        return routes.json_response(sorted(entries, key=lambda v: v['id']))

    def burn_report(self, request):
        self._check_operator(request)
        return routes.json_response(self.burn.report())

    def counters(self, request):
        self._check_operator(request)
        counters = self.metrics.snapshot()
        counters['control.bytes'] = self.traffic.total
        return routes.json_response(counters)

    # Peers

    def peer_state(self, request):
        self._check_peer(request)
        return routes.json_response(self.peering.state())

    def peer_push(self, request):
        self._check_peer(request)
        pushed = routes.read_body(request, peering_module.Pushed)
        self.peering.receive(pushed)
        return routes.json_response({})

    def peer_changes(self, request):
        self._check_peer(request)
        since = request.args.get('since', -1, type=int)
        changes = self.keeper.changes_since(since)
        if changes is None or since < 0:
            raise exceptions.NotFound(f'changes since {since}')
        return routes.json_response(recordkeeping.ChangeList(changes))

    def peer_snapshot(self, request):
        self._check_peer(request)
        self.keeper.require()
        return routes.json_response(self.keeper.snapshot())

    def peer_vote(self, request):
        self._check_peer(request)
        vote_request = routes.read_body(request, claiming.VoteRequest)
        return routes.json_response(self.claims.vote(vote_request.claim))

    def peer_release(self, request):
        self._check_peer(request)
        release_request = routes.read_body(request, claiming.ReleaseRequest)
        self.claims.release_local(release_request)
        return routes.json_response({})

    def peer_answer(self, request, key):
        self._check_peer(request)
        wait = request.args.get('wait', 0.0, type=float)
        return routes.json_response(self.keyed.view(key, wait))

    # Health

    def healthz(self, request):
        return routes.json_response({'status': 'ok'})

    def readyz(self, request):
        self.readiness.check()
        return routes.json_response({'status': 'ready'})


def _record_view(stored, schema):
    """Return a record as stored, or converted to the schema if given."""
    if schema not in ('', 'v1', schemas.LATEST_SCHEMA):
        raise exceptions.InvalidRequest(f'no schema {schema!r}')
    view = RecordView(
        stored.kind,
        stored.name,
        stored.schema,
        stored.spec,
        stored.revision,
    )
    try:
        converted = conversion.convert_spec(
            stored.kind, stored.schema, stored.spec, schema
        )
    except exceptions.InvalidRecord as error:
        view.problem = error.detail
        return view
    if schema:
        view.schema, view.spec = schema, converted
    return view


def make_rules(api):
    """Return the routes of the control listener."""
    return [
        routes.route('POST', '/v1/records', api.submit),
        routes.route('GET', '/v1/records', api.list_records),
        routes.route('GET', '/v1/submissions/<submission_id>', api.settle),
        routes.route('GET', '/v1/in-force', api.router_status),
        routes.route('GET', '/v1/vms', api.list_vms),
        routes.route('GET', '/v1/counters', api.counters),
        routes.route('GET', '/v1/burn', api.burn_report),
        routes.route('GET', '/peer/state', api.peer_state),
        routes.route('POST', '/peer/changes', api.peer_push),
        routes.route('GET', '/peer/changes', api.peer_changes),
        routes.route('GET', '/peer/snapshot', api.peer_snapshot),
        routes.route('POST', '/peer/claims', api.peer_vote),
        routes.route('POST', '/peer/releases', api.peer_release),
        routes.route('GET', '/peer/answers/<key>', api.peer_answer),
        routes.route('GET', '/healthz', api.healthz),
        routes.route('GET', '/readyz', api.readyz),
    ]


def make_app(api):
    """Create the WSGI application of the control listener."""
    return routes.Application(make_rules(api))
