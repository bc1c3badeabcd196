"""OpenAI formats of responses, complete and streamed."""

__all__ = ['ResponseFormat', 'CompletionFormat', 'ChatFormat']

import abc

from ibisring_records import exceptions
from ibisring_web import events
import msgspec

# Placeholder for a token's text.  Ids and model names can't contain it.
TEXT_PLACEHOLDER = '\x00text\x00'


class Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ResponseFormat(abc.ABC):
    """Builds the JSON of one response.

    Parameters
    ----------
    request_id : str
    model : str
        As named in the request.
    created : int
        Unix seconds.
    """

    object_type = ''
    chunk_type = ''
    id_prefix = ''

    def __init__(self, request_id, model, created):
        self.request_id = request_id
        self.model = model
        self.created = created
        self.template = None

    def _envelope(self, name, choice):
        return {
            'id': f'{self.id_prefix}-{self.request_id}',
            'object': name,
            'created': self.created,
            'model': self.model,
            'choices': [choice],
        }

    @abc.abstractmethod
    def _full_choice(self, text):
        """Return the `choices` entry of a complete response."""

    @abc.abstractmethod
    def _delta_choice(self, text):
        """Return the entry of a streamed token; '' is the last chunk."""

    def full_response(self, text, completed):
        """Return a complete response.

        Parameters
        ----------
        text : str
        completed : generating.Completed
        """
        choice = self._full_choice(text)
        choice.update(index=0, logprobs=None, finish_reason=completed.reason)
        body = self._envelope(self.object_type, choice)
        body['usage'] = Usage(
            completed.prompt_tokens,
            completed.tokens,
            completed.prompt_tokens + completed.tokens,
        )
        return body

    def chunk(self, text, finish_reason=None):
        """Return one chunk of a stream."""
        choice = self._delta_choice(text)
        choice.update(index=0, logprobs=None, finish_reason=finish_reason)
        return self._envelope(self.chunk_type, choice)

    def last_chunk(self, completed):
        """Return the chunk that ends a complete stream, with its outcome."""
        chunk = self.chunk('', completed.reason)
        chunk['ibisring_outcome'] = exceptions.Outcome.DONE
        return chunk

    def token_event(self, text):
        """Return the complete event of one token as bytes.

        Runs for every token.  Events of a stream differ only in their text,
        so everything else is encoded once.
        """
        if self.template is None:
            event = events.encode(self.chunk(TEXT_PLACEHOLDER))
            placeholder = msgspec.json.encode(TEXT_PLACEHOLDER)
            self.template = event.split(placeholder)
        before, after = self.template
        return before + msgspec.json.encode(text) + after


class CompletionFormat(ResponseFormat):
    """Format of ``/v1/completions``."""

    object_type = 'text_completion'
    chunk_type = 'text_completion'
    id_prefix = 'cmpl'

    def _full_choice(self, text):
        return {'text': text}

    def _delta_choice(self, text):
        return {'text': text}


class ChatFormat(ResponseFormat):
    """Format of ``/v1/chat/completions``."""

    object_type = 'chat.completion'
    chunk_type = 'chat.completion.chunk'
    id_prefix = 'chatcmpl'

    def _full_choice(self, text):
        return {'message': {'role': 'assistant', 'content': text}}

    def _delta_choice(self, text):
        delta = {'role': 'assistant', 'content': text} if text else {}
        return {'delta': delta}
