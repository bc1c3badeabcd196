"""HTTP interface for callers."""

__all__ = ['CallerApi', 'make_app']

import time

from ibisring_policy import burn
from ibisring_policy import targets
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_router import apiformats
from ibisring_router import generating
from ibisring_router import keyed as keyed_module
from ibisring_router import requests
from ibisring_router import servicecalls
from ibisring_web import events
from ibisring_web import routes
from ibisring_web import serving
import msgspec

REQUEST_ID_HEADER = 'Ibisring-Request-Id'
OUTCOME_HEADER = 'Ibisring-Outcome'
URGENT_RANK = 0
TOKENS_PER_CALLER_CHECK = 16


class CallerApi:
    """Handlers for callers.

    Parameters
    ----------
    keeper : recordkeeping.RecordKeeper
    generations : generating.GenerationRunner
    services : servicecalls.ServiceRunner
    keyed : keyed.KeyedRunner
    burn : burnkeeping.BurnKeeper
    limiter : requestlimiter.RequestLimiter
    metrics : metrics.Metrics
    readiness : readiness.Readiness
    clock : callable
    """

    def __init__(
        self,
        keeper,
        generations,
        services,
        keyed,
        burn,
        limiter,
        metrics,
        readiness,
        clock=time.monotonic,
    ):
        self.keeper = keeper
        self.generations = generations
        self.services = services
        self.keyed = keyed
        self.burn = burn
        self.limiter = limiter
        self.metrics = metrics
        self.readiness = readiness
        self.clock = clock

    def _authenticate(self, request, configuration):
        key = routes.bearer_key(request)
        account = configuration.account_by_hash.get(records.hash_key(key))
        if account is None:
            raise exceptions.Unauthorized('no account has this key')
        return account

    # Models

    def models(self, request):
        configuration = self.keeper.require()
        self._authenticate(request, configuration)
        names = [*configuration.models, *configuration.adapters]
        data = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': ''}
            for name in sorted(names)
        ]
        return routes.json_response({'object': 'list', 'data': data})

    def completions(self, request):
        return self._model_request(
            request,
            requests.CompletionRequest,
            lambda body: body.prompt,
            apiformats.CompletionFormat,
        )

    def chat_completions(self, request):
        return self._model_request(
            request,
            requests.ChatRequest,
            lambda body: requests.chat_prompt(body.messages),
            apiformats.ChatFormat,
        )

    def _model_request(self, request, body_cls, get_prompt, format_cls):
        configuration = self.keeper.require()
        account = self._authenticate(request, configuration)
        body = routes.read_body(request, body_cls)
        max_tokens = requests.check_supported(body)
        target = targets.resolve_model(configuration, body.model)
        prompt = get_prompt(body)
        model = configuration.models[target.model]
        requests.check_context(prompt, max_tokens, model)
        now = self.clock()
        terms = requests.read_terms(
            request.headers, configuration, account, False, now
        )
        members = burn.group_members(target.model, terms.priority, account)
        bound_seconds = burn.tightest_bound_seconds(configuration, members)
        generation = generating.GenerationRequest(
            requests.new_request_id(),
            account,
            target,
            model.layers,
            terms.rank,
            terms.weight,
            terms.deadline,
            terms.idempotent,
            prompt,
            max_tokens,
            now + bound_seconds,
        )
        formatter = format_cls(generation.id, body.model, int(time.time()))
        tokens = self._run(
            request,
            target.model,
            terms,
            generation.id,
            lambda is_gone: self.generations.run(generation, is_gone),
        )
        if body.stream:
            return self._stream_response(tokens, formatter)
        return self._full_response(request, tokens, formatter)

    def _run(self, request, service, terms, request_id, start):
        """Yield the parts of a response within the limit; count the result.

        Parameters
        ----------
        request : werkzeug.Request
        service : str
            Name of the model or plain service.
        terms : requests.Terms
        request_id : str
        start : callable
            Takes `is_gone`, returns an iterator of parts.
        """
        started_at = self.clock()
        failure = exceptions.CallerGone(
            'closed the connection before the response ended'
        )
        with self.limiter.hold(terms.rank == URGENT_RANK):
            try:
                yield from self._run_keyed(request, terms, request_id, start)
                failure = None
            except exceptions.IbisringError as error:
                failure = error
                error.facts['request_id'] = request_id
                raise
            finally:
                self._record(service, terms, failure, started_at)

    def _run_keyed(self, request, terms, request_id, start):
        if not terms.key:
            return start(lambda: serving.caller_is_gone(request.environ))
        keyed = keyed_module.KeyedRequest(
            request_id,
            terms.account,
            terms.key,
            request.path,
            request.get_data(),
            terms.idempotent,
            terms.deadline,
        )
        return self.keyed.run(keyed, lambda: start(lambda: False))

    def _record(self, service, terms, error, started_at):
        seconds = self.clock() - started_at
        outcome = exceptions.Outcome.DONE
        if error is not None:
            outcome = error.outcome
            self.metrics.count(f'errors.{error.code}')
        self.metrics.count(f'requests.{outcome}')
        self.metrics.time('requests.seconds', seconds)
        self.burn.count(service, terms, seconds, error)

    def _response_headers(self, request_id):
        return {
            REQUEST_ID_HEADER: request_id,
            OUTCOME_HEADER: exceptions.Outcome.DONE.value,
        }

    def _full_response(self, request, tokens, formatter):
        """Return a complete response; stop early if the caller is gone."""
        parts = []
        for part in tokens:
            if isinstance(part, generating.Completed):
                body = formatter.full_response(''.join(parts), part)
                headers = self._response_headers(formatter.request_id)
                return routes.json_response(body, headers=headers)
            parts.append(part)
            if len(parts) % TOKENS_PER_CALLER_CHECK == 0:
                if serving.caller_is_gone(request.environ):
                    break
        tokens.close()
        raise exceptions.Interrupted('the caller left before the end')

    def _stream_response(self, tokens, formatter):
        # The first part is awaited before the status is sent, so that a
        # request that did not run gets an error instead of a broken stream.
        first = next(tokens)
        return routes.event_response(
            self._stream_events(first, tokens, formatter),
            {REQUEST_ID_HEADER: formatter.request_id},
        )

    def _stream_events(self, part, tokens, formatter):
        """Yield the events of a streamed response."""
        try:
            while not isinstance(part, generating.Completed):
                yield formatter.token_event(part)
                part = next(tokens)
        except exceptions.IbisringError as error:
            yield events.encode(routes.error_body(error))
            return
        finally:
            tokens.close()
        yield events.encode(formatter.last_chunk(part))
        yield events.encode(events.DONE)

    # Services

    def call_service(self, request, service):
        configuration = self.keeper.require()
        account = self._authenticate(request, configuration)
        body = routes.read_body(request, msgspec.Raw)
        target = targets.resolve_service(configuration, service)
        terms = requests.read_terms(
            request.headers, configuration, account, True, self.clock()
        )
        call = servicecalls.ServiceCall(
            requests.new_request_id(),
            account,
            target,
            terms.rank,
            terms.weight,
            terms.deadline,
            terms.idempotent,
            body,
        )
        parts = self._run(
            request,
            service,
            terms,
            call.id,
            lambda is_gone: iter([self.services.run(call, is_gone)]),
        )
        (result,) = parts
        return routes.json_response(
            result.body, headers=self._response_headers(call.id)
        )

    # Health

    def healthz(self, request):
        return routes.json_response({'status': 'ok'})

    def readyz(self, request):
        self.readiness.check()
        return routes.json_response({'status': 'ready'})


def make_app(api):
    """Create the WSGI application for callers."""
    return routes.Application(
        [
            routes.route('GET', '/v1/models', api.models),
            routes.route('POST', '/v1/completions', api.completions),
            routes.route('POST', '/v1/chat/completions', api.chat_completions),
            routes.route('POST', '/v1/services/<service>', api.call_service),
            routes.route('GET', '/healthz', api.healthz),
            routes.route('GET', '/readyz', api.readyz),
        ]
    )
