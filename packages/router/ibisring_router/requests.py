"""Callers' requests: formats of bodies, headers, and their checks."""

__all__ = [
    'CompletionRequest',
    'ChatRequest',
    'ChatMessage',
    'Terms',
    'read_terms',
    'chat_prompt',
    'check_supported',
    'check_context',
    'new_request_id',
]

import uuid

from ibisring_policy import targets
from ibisring_records import exceptions
import msgspec

DEADLINE_HEADER = 'Ibisring-Deadline-Ms'
PRIORITY_HEADER = 'Ibisring-Priority'
IDEMPOTENT_HEADER = 'Ibisring-Idempotent'
KEY_HEADER = 'Idempotency-Key'
DEFAULT_DEADLINE_MS = 60_000
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 100_000
MAX_KEY_CHARACTERS = 200
_BOOLEANS = {'true': True, 'false': False}


class _Sampling(msgspec.Struct):
    """Fields common to both kinds of completion; others are ignored."""

    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    n: int = 1
    logprobs: object = None
    tools: object = None
    stop: object = None


class CompletionRequest(_Sampling, kw_only=True):
    """The body of ``POST /v1/completions``."""

    prompt: str


class ChatMessage(msgspec.Struct):
    role: str
    content: str


class ChatRequest(_Sampling, kw_only=True):
    """The body of ``POST /v1/chat/completions``."""

    messages: list[ChatMessage]


class Terms(msgspec.Struct):
    """Conditions for serving a request; `deadline` is in clock time."""

    account: str
    priority: str
    rank: int
    weight: float
    deadline: float
    idempotent: bool
    key: str


def new_request_id():
    """Return an id that is unique over all routers."""
    return uuid.uuid4().hex


def chat_prompt(messages):
    """Join chat messages into the prompt for the engine.

    Examples
    --------
    >>> chat_prompt([ChatMessage('user', 'hola')])
    'user: hola\\nassistant:'
    """
    lines = [f'{m.role}: {m.content}' for m in messages]
    return '\n'.join([*lines, 'assistant:'])


def check_supported(body):
    """Reject unsupported options that would change the response.

    Parameters
    ----------
    body : CompletionRequest or ChatRequest

    Returns
    -------
    int
        Maximum number of tokens to generate.

    Raises
    ------
    InvalidRequest
    """
    if body.n != 1:
        raise exceptions.InvalidRequest('n must be 1')
    for name in ('logprobs', 'tools', 'stop'):
        if getattr(body, name):
            raise exceptions.InvalidRequest(f'{name} is not supported')
    max_tokens = body.max_completion_tokens or body.max_tokens
    if max_tokens is None:
        return DEFAULT_MAX_TOKENS
    if not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise exceptions.InvalidRequest(
            f'max_tokens must be from 1 to {MAX_TOKENS_LIMIT}'
        )
    return max_tokens


def check_context(prompt, max_tokens, model):
    """Reject prompts too long for the context, counting words as tokens.

    Parameters
    ----------
    prompt : str
    max_tokens : int
    model : schemas.ModelV2

    Raises
    ------
    InvalidRequest
    """
    needed = len(prompt.split()) + max_tokens
    if needed > model.context_tokens:
        raise exceptions.InvalidRequest(
            f'prompt and max_tokens need {needed} tokens of context, the '
            f'model has {model.context_tokens}'
        )


def _read_deadline_ms(headers, default):
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return default
    if not text.isdigit() or int(text) < 1:
        raise exceptions.InvalidRequest(
            f'{DEADLINE_HEADER} must be whole milliseconds above 0'
        )
    return int(text)


def _read_idempotent(headers, is_service):
    text = headers.get(IDEMPOTENT_HEADER)
    if text is None:
        return not is_service
    if text.lower() not in _BOOLEANS:
        raise exceptions.InvalidRequest(
            f'{IDEMPOTENT_HEADER} must be true or false'
        )
    return _BOOLEANS[text.lower()]


def read_terms(headers, configuration, account, is_service, now):
    """Read a request's terms from its headers.

    Parameters
    ----------
    headers : mapping
    configuration : configuration.Configuration
    account : str
    is_service : bool
        By default service calls are not idempotent and requests to models
        are.
    now : float

    Returns
    -------
    Terms

    Raises
    ------
    InvalidRequest, NotFound, Forbidden
    """
    priority = targets.choose_priority(
        configuration,
        account,
        headers.get(PRIORITY_HEADER, ''),
        is_service,
    )
    rank, deadline_ms = 0, DEFAULT_DEADLINE_MS
    if priority:
        spec = configuration.priorities[priority]
        rank, deadline_ms = spec.rank, spec.deadline_ms
    deadline_ms = _read_deadline_ms(headers, deadline_ms)
    key = headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARACTERS:
        raise exceptions.InvalidRequest(
            f'{KEY_HEADER} is over {MAX_KEY_CHARACTERS} characters'
        )
    return Terms(
        account=account,
        priority=priority,
        rank=rank,
        weight=configuration.accounts[account].weight,
        deadline=now + deadline_ms / 1000.0,
        idempotent=_read_idempotent(headers, is_service),
        key=key,
    )
