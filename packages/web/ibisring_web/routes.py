"""WSGI applications from tables of routes, with typed errors as JSON."""

__all__ = [
    'Application',
    'route',
    'json_response',
    'event_response',
    'error_response',
    'error_body',
    'read_body',
    'bearer_key',
]

import logging
import math

import msgspec
import werkzeug
from werkzeug import exceptions as http_exceptions
from werkzeug import routing

from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
DEFAULT_BODY_LIMIT = 4 * 1024 * 1024


def route(method, path, handler):
    """Give a rule that sends a method and path to a handler.

    Parameters
    ----------
    method : str
    path : str
        In werkzeug's syntax.
    handler : callable
        Called with the request and the path's values.
    """
    return routing.Rule(path, methods=[method], endpoint=handler)


class Application:
    """Routes requests to handlers and turns errors into answers.

    Parameters
    ----------
    rules : list
        Made by `route`.
    body_limit : int
        Bytes; a larger body is refused unread.
    """

    def __init__(self, rules, body_limit=DEFAULT_BODY_LIMIT):
        self.map = routing.Map(rules)
        self.body_limit = body_limit

    def __call__(self, environ, start_response):
        request = werkzeug.Request(environ)
        request.max_content_length = self.body_limit
        response = self.answer(request)
        return response(environ, start_response)

    def answer(self, request):
        """Give the response to a request; no error leaves this method."""
        try:
            adapter = self.map.bind_to_environ(request.environ)
            handler, values = adapter.match()
            return handler(request, **values)
        except exceptions.IbisringError as error:
            return error_response(error)
        except http_exceptions.RequestEntityTooLarge:
            return error_response(
                exceptions.RequestTooLarge(
                    f'the body is over {self.body_limit} bytes'
                )
            )
        except http_exceptions.HTTPException as error:
            detail = f'{request.method} {request.path}: {error.name}'
            return error_response(exceptions.NotFound(detail))
        except Exception:
            LOG.exception('event=handler_crashed path=%s', request.path)
            return error_response(
                exceptions.IbisringError('the handler crashed')
            )


def json_response(value, status=200, headers=None):
    """Give a JSON response for a struct or builtins."""
    return werkzeug.Response(
        msgspec.json.encode(value),
        status=status,
        mimetype='application/json',
        headers=headers,
    )


def event_response(chunks, headers=None):
    """Give a response that streams server-sent events.

    Parameters
    ----------
    chunks : iterable of bytes
        Its `close` is called if the caller leaves.
    headers : dict or None
    """
    return werkzeug.Response(
        chunks,
        mimetype='text/event-stream',
        headers=headers,
        direct_passthrough=True,
    )


def error_body(error):
    """Give the JSON shape of an error, which OpenAI clients can read."""
    return {
        'error': {
            'message': str(error),
            'type': error.error_type,
            'param': None,
            'code': error.code,
            'outcome': error.outcome.value,
            'detail': error.detail,
            'remedy': error.remedy,
            'retry_after': error.retry_after,
            'facts': error.facts,
        }
    }


def error_response(error, headers=None):
    """Give the response for a typed error, with Retry-After if it has one."""
    response = json_response(error_body(error), error.status, headers)
    response.headers['Ibisring-Outcome'] = error.outcome.value
    # The stock client repeats 5xx answers by itself.  Only what certainly
    # did not run may be repeated: without this a doubted alert doubles.
    may_repeat = error.outcome is exceptions.Outcome.NOT_RUN
    may_repeat = may_repeat and error.retry_after is not None
    response.headers['x-should-retry'] = 'true' if may_repeat else 'false'
    if error.retry_after is not None:
        seconds = max(1, math.ceil(error.retry_after))
        response.headers['Retry-After'] = str(seconds)
        milliseconds = int(error.retry_after * 1000)
        response.headers['retry-after-ms'] = str(milliseconds)
    return response


def read_body(request, cls):
    """Decode a request's JSON body into a struct.

    Raises
    ------
    InvalidRequest
        Naming the field that is wrong.
    """
    try:
        return msgspec.json.decode(request.get_data(), type=cls)
    except msgspec.MsgspecError as error:
        raise exceptions.InvalidRequest(f'body: {error}') from error


def bearer_key(request):
    """Give the key of an 'Authorization: Bearer' header.

    Raises
    ------
    Unauthorized
    """
    header = request.headers.get('Authorization', '')
    scheme, _, key = header.partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise exceptions.Unauthorized('the request carries no key')
    return key
