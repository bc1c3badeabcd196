"""Relays an answer from a connection to the caller."""

__all__ = [
    'read_plain',
    'relay_events',
    'check_end',
    'stream_headers',
    'answer_fault',
]

from ibisring_gateway import upstream
from ibisring_policy import framing
from ibisring_policy.gateway import answerends
from ibisring_policy.gateway import attempts
import msgspec

# Plain answers up to this size in bytes are buffered until complete.
MAX_BUFFERED_BYTES = 1 << 20
# Chunks that are read after the deadline has cut the connection: what has
# arrived in small ones could hold the thread for seconds.
MAX_LATE_CHUNKS = 8
# Ends of an attempt that say nothing against its endpoint.
_TIMES_UP = (attempts.Result.DEADLINE, attempts.Result.EXIT)


def read_plain(attempt, response, answer, find_process=None):
    """Read the whole body of a plain answer.

    Parameters
    ----------
    attempt : attemptwatching.Attempt
    response : urllib3.HTTPResponse
    answer : ports.Answer
    find_process : callable or None
        See `check_end`.

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
    for chunk in _read_chunks(attempt, response, answer):
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            raise upstream.ConnectionFailed(
                'the answer exceeds the buffer limit', True
            )
    _check_not_aborted(attempt, answer)
    check_end(answer, size, False, find_process)
    return b''.join(chunks)


def relay_events(job, attempt, response, answer, on_event, find_process=None):
    """Relay the events of a stream as they arrive, and end it if it is whole.

    Parameters
    ----------
    job : jobs.Job
    attempt : attemptwatching.Attempt
    response : urllib3.HTTPResponse
    answer : ports.Answer
    on_event : callable
        Called after each event that has arrived whole.
    find_process : callable or None
        See `check_end`.

    Raises
    ------
    ConnectionFailed, StreamBroken
        The stream is not complete.
    CallerDisconnected
    """
    exchange = job.exchange
    job.splitter.restart()
    size = 0
    for chunk in _read_chunks(attempt, response):
        size += len(chunk)
        complete = job.splitter.feed(chunk)
        if not complete:
            continue
        on_event()
        # A caller that reads slowly must not look like a silent endpoint.
        check_at, attempt.check_at = attempt.check_at, None
        if not exchange.headers_sent:
            exchange.begin(answer.status, stream_headers(answer.headers))
        exchange.write(complete)
        attempt.check_at = check_at
    _check_not_aborted(attempt)
    check_end(answer, size, job.splitter.is_inside_event, find_process)
    _finish_stream(job, answer)


def check_end(answer, size, is_inside_event, find_process=None):
    """Check that an answer is known to be whole.

    Parameters
    ----------
    answer : ports.Answer
    size : int
        Bytes received of the body, whose end was read without an error.
    is_inside_event : bool
        Whether it ended inside an event of a stream.
    find_process : callable or None
        Returns the `answerends.Process` of the endpoint, which is only asked
        for where it matters; None if that can't be found out.

    Raises
    ------
    ConnectionFailed
    """
    has_length = answer.length in (None, size)
    evidence = answerends.Evidence(
        framing=answer.framing,
        has_mark=has_length and answer.framing is not framing.Framing.CLOSE,
        is_inside_event=is_inside_event,
    )
    if find_process is not None and answerends.depends_on_process(evidence):
        evidence = msgspec.structs.replace(evidence, process=find_process())
    if answerends.judge(evidence) is answerends.End.SOUND:
        return
    raise upstream.ConnectionFailed(f'the end is not sound: {evidence}', True)


def _finish_stream(job, answer):
    """Write what follows the last event of a stream that is complete."""
    exchange = job.exchange
    if not exchange.headers_sent:
        exchange.begin(answer.status, stream_headers(answer.headers))
    exchange.write(job.splitter.take_rest())


def _read_chunks(attempt, response, answer=None):
    """Yield the chunks of an answer's body while its attempt goes on.

    After the deadline or the decision to exit, little is left to read of an
    answer that arrived in time.
    """
    late_chunks = 0
    while True:
        chunk = upstream.read_chunk(response)
        if not chunk:
            return
        _check_not_aborted(attempt, answer)
        late_chunks += attempt.result is not None
        if late_chunks > MAX_LATE_CHUNKS:
            raise upstream.ConnectionFailed(
                'the answer goes on after the deadline', True
            )
        yield chunk


def _check_not_aborted(attempt, answer=None):
    """Check that this router has not ended the answer itself.

    A plain `answer` with a mark of its end was whole before the deadline or
    the exit cut its connection; it was only read later.  Of a stream that is
    not known: trailers may have gone on.
    """
    if attempt.result is None:
        return
    is_marked = answer and answer.framing is not framing.Framing.CLOSE
    if attempt.result in _TIMES_UP and is_marked:
        return
    raise upstream.ConnectionFailed('the attempt was aborted', True)


def answer_fault(answer, is_continued):
    """Return why an answer is not valid, None if it is.

    An endpoint that crashes may have written the headers of a success, which
    the caller would take for an empty but complete answer.

    Parameters
    ----------
    answer : ports.Answer
    is_continued : bool
        Whether the caller has received part of a stream.  An answer with
        another status doesn't continue it, and relaying it would terminate
        the stream as if it were complete.
    """
    if is_continued and answer.status != 200:
        return f'status {answer.status} instead of the rest of a stream'
    if answer.encoded:
        return 'answer with a content encoding'
    if answer.status < 300 and not answer.signed:
        return 'success answer without a signature'
    return None


def stream_headers(headers):
    """Return the headers of a stream, whose length is not known."""
    return [h for h in headers if h[0].lower() != 'content-length']
