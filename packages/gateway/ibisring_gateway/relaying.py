"""Relays an answer from a connection to the caller."""

__all__ = [
    'read_plain',
    'relay_events',
    'finish_stream',
    'stream_headers',
    'answer_fault',
]

from ibisring_gateway import events
from ibisring_gateway import upstream

# Plain answers up to this size in bytes are buffered until complete.
MAX_BUFFERED_BYTES = 1 << 20


def read_plain(attempt, response, answer):
    """Read the whole body of a plain answer.

    Parameters
    ----------
    attempt : attemptwatching.Attempt
    response : urllib3.HTTPResponse
    answer : ports.Answer

    Returns
    -------
    bytes

    Raises
    ------
    ConnectionFailed
        The answer is not complete.
    """
    chunks = []
    size = 0
    while True:
        chunk = upstream.read_chunk(response)
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            raise upstream.ConnectionFailed(
                'the answer exceeds the buffer limit', True
            )
    _check_not_aborted(attempt)
    if answer.length is not None and answer.length != size:
        raise upstream.ConnectionFailed(
            'the body does not match its Content-Length', True
        )
    return b''.join(chunks)


def relay_events(job, attempt, response, answer, on_event):
    """Relay the events of a stream as they arrive, until it ends.

    `finish_stream` ends it for the caller.

    Parameters
    ----------
    job : jobs.Job
    attempt : attemptwatching.Attempt
    response : urllib3.HTTPResponse
    answer : ports.Answer
    on_event : callable
        Called after each event that has arrived whole.

    Raises
    ------
    ConnectionFailed, StreamBroken
        The stream is not complete.
    CallerDisconnected
    """
    exchange = job.exchange
    job.splitter.restart()
    while True:
        chunk = upstream.read_chunk(response)
        if not chunk:
            break
        complete = job.splitter.feed(chunk)
        if not complete:
            continue
        on_event()
        if not exchange.headers_sent:
            exchange.begin(answer.status, stream_headers(answer.headers))
        exchange.write(complete)
    _check_not_aborted(attempt)
    if job.splitter.is_inside_event:
        raise events.StreamBroken('the stream ends inside an event')


def finish_stream(job, answer):
    """Write what follows the last event of a stream that is complete."""
    exchange = job.exchange
    if not exchange.headers_sent:
        exchange.begin(answer.status, stream_headers(answer.headers))
    exchange.write(job.splitter.take_rest())


def _check_not_aborted(attempt):
    if attempt.result is not None:
        raise upstream.ConnectionFailed('the attempt was aborted', True)


def answer_fault(answer):
    """Return why an answer is not valid, None if it is.

    An endpoint that crashes may have written the headers of a success, which
    the caller would take for an empty but complete answer.
    """
    if answer.encoded:
        return 'answer with a content encoding'
    if answer.status < 300 and not answer.signed:
        return 'success answer without a signature'
    return None


def stream_headers(headers):
    """Return the headers of a stream, whose length is not known."""
    return [h for h in headers if h[0].lower() != 'content-length']
