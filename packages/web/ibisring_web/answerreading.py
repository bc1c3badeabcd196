"""Reads answers from connections, with one strict parse for all of them."""

__all__ = [
    'Answer',
    'AnswerTooLarge',
    'AnswerTruncated',
    'Connection',
    'MAX_HEAD_BYTES',
]

import abc
import http.client
import io
import re
import threading

from ibisring_policy import framing
from ibisring_web import answerheads
from urllib3 import connection as urllib3_connection

# All heads of an answer: interim answers and the final one.
MAX_HEAD_BYTES = 1 << 16
# The size of a chunk with its extensions, and all trailer fields.
MAX_CHUNK_LINE_BYTES = 1 << 12
MAX_TRAILER_BYTES = 1 << 13
READ_BYTES = 1 << 13
# Chunks of one read that a thread scans while others do.  Threads that scan
# many would leave the interpreter to nobody else for seconds: each takes it
# for 5 ms in turn.  They scan one after another, which takes no longer.
FREE_CHUNKS = 32
_MANY_CHUNKS_LOCK = threading.Lock()
_LINE_END = b'\r\n'
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_QUOTED = rb'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"'
_CHUNK_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,15})'
    rb'(?:[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|%b))?)*\r\n'
    % (_TOKEN, _TOKEN, _QUOTED)
)
# The size of a chunk without extensions.
_PLAIN_LINE = re.compile(rb'([0-9A-Fa-f]{1,15})\r\n')
_TRAILER_LINE = re.compile(rb'%b:[\t -~\x80-\xff]*\r\n' % _TOKEN)


class AnswerTooLarge(http.client.HTTPException):
    """An answer has more bytes than it may have."""


class AnswerTruncated(http.client.HTTPException):
    """The connection ended inside an answer."""


class _Input:
    """What a connection has delivered, and what it will.

    Parameters
    ----------
    reader : io.BufferedIOBase
    """

    __slots__ = ('reader', 'data', 'start')

    def __init__(self, reader):
        self.reader = reader
        self.data = b''
        # What is before it was taken.
        self.start = 0

    @property
    def size(self):
        """Number of bytes that were read and not taken."""
        return len(self.data) - self.start

    def fill(self, count=READ_BYTES):
        """Read what has arrived; return whether the connection goes on."""
        more = self.reader.read1(count)
        self.data = self.data[self.start :] + more
        self.start = 0
        return bool(more)

    def release(self):
        """Keep nothing that was taken."""
        self.data = self.data[self.start :]
        self.start = 0

    def starts_with(self, prefix):
        """Return whether a prefix agrees with what was read so far."""
        return self.peek(len(prefix)) == prefix[: self.size]

    def peek(self, count):
        """Return up to some bytes without taking them."""
        return self.data[self.start : self.start + count]

    def take(self, count):
        """Return up to some bytes of what was read."""
        taken = self.peek(count)
        self.start += len(taken)
        return taken

    def take_through(self, mark, max_bytes, check=None):
        """Return all through a mark.

        Parameters
        ----------
        mark : bytes
        max_bytes : int
        check : callable, optional
            Called before more is read, to refuse what can't become valid.

        Raises
        ------
        AnswerTooLarge
            The mark doesn't come within `max_bytes`.
        AnswerTruncated
        """
        searched = 0
        while True:
            limit = self.start + max_bytes
            end = self.data.find(mark, self.start + searched, limit)
            if end >= 0:
                return self.take(end + len(mark) - self.start)
            if self.size >= max_bytes:
                raise AnswerTooLarge(f'no {mark!r} in {max_bytes} bytes')
            searched = max(0, self.size - len(mark) + 1)
            if check is not None:
                check()
            if not self.fill():
                raise AnswerTruncated(f'it ended before {mark!r}')


class _Body(abc.ABC):
    """Reads the body of an answer.

    Attributes
    ----------
    source : _Input
    is_complete : bool
        Whether all of it was read.
    """

    def __init__(self, source):
        self.source = source
        self.is_complete = False

    @abc.abstractmethod
    def read1(self, count):
        """Return up to some of the next bytes, b'' at the end of the body.

        Raises
        ------
        AnswerTruncated, InvalidAnswer
        """


class _EmptyBody(_Body):

    def __init__(self, source):
        super().__init__(source)
        self.is_complete = True

    def read1(self, count):
        return b''


class _BodyToClose(_Body):

    def read1(self, count):
        if not self.source.size and not self.source.fill(count):
            self.is_complete = True
        return self.source.take(count)


class _CountedBody(_Body):

    def __init__(self, source, length):
        super().__init__(source)
        self.left = length

    def read1(self, count):
        count = min(count, self.left)
        if not self.source.size and not self.source.fill(count):
            raise AnswerTruncated(f'it ended {self.left} bytes too soon')
        data = self.source.take(count)
        self.left -= len(data)
        self.is_complete = not self.left
        return data


class _ChunkedBody(_Body):
    """A body in chunks.

    Trailer fields are checked and not passed on.
    """

    def __init__(self, source):
        super().__init__(source)
        self.left = 0
        self.is_inside_chunk = False

    def read1(self, count):
        if not self.left:
            if self.is_inside_chunk:
                self._end_chunk()
            data = self._take_whole_chunks(count)
            if data:
                return data
            self._begin_chunk()
        if self.is_complete:
            return b''
        count = min(count, self.left)
        if not self.source.size and not self.source.fill(count):
            raise AnswerTruncated('it ended inside a chunk')
        data = self.source.take(count)
        self.left -= len(data)
        return data

    def _take_whole_chunks(self, count):
        """Return the next chunks as far as they have arrived whole.

        Small ones together: returned one by one, they would take much more
        time and memory than their bytes.
        """
        source = self.source
        if not source.size:
            source.fill()
        parts = []
        count = self._scan_chunks(parts, count, FREE_CHUNKS)
        if len(parts) == FREE_CHUNKS:
            with _MANY_CHUNKS_LOCK:
                self._scan_chunks(parts, count, READ_BYTES)
        return b''.join(parts)

    def _scan_chunks(self, parts, count, max_chunks):
        """Add up to some chunks; return how many bytes may still follow."""
        source = self.source
        data, start = source.data, source.start
        for _ in range(max_chunks):
            match = _PLAIN_LINE.match(data, start)
            if match is None:
                break
            size = int(match[1], 16)
            end = match.end() + size
            if not 0 < size <= count:
                break
            if data[end : end + len(_LINE_END)] != _LINE_END:
                break
            parts.append(data[match.end() : end])
            start = end + len(_LINE_END)
            count -= size
        source.start = start
        return count

    def _begin_chunk(self):
        line = self.source.take_through(_LINE_END, MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise answerheads.InvalidAnswer(f'size of a chunk {line[:40]!r}')
        self.left = int(match[1], 16)
        self.is_inside_chunk = self.left > 0
        if not self.left:
            self._skip_trailers()
            self.is_complete = True

    def _skip_trailers(self):
        """Read to the blank line, or to the end of the connection.

        With its last chunk a body is whole, also if the connection ends then.
        """
        left = MAX_TRAILER_BYTES
        while True:
            try:
                line = self.source.take_through(_LINE_END, left)
            except AnswerTruncated:
                return
            left -= len(line)
            if line == _LINE_END:
                return
            if not _TRAILER_LINE.fullmatch(line):
                raise answerheads.InvalidAnswer(f'trailer {line[:40]!r}')

    def _end_chunk(self):
        """Check the end of a chunk whose data was returned.

        It may come much later than the data, with the next chunk.
        """
        self.is_inside_chunk = False
        while self.source.size < len(_LINE_END):
            if not self.source.fill():
                raise AnswerTruncated('it ended with a chunk')
        if self.source.take(len(_LINE_END)) != _LINE_END:
            raise answerheads.InvalidAnswer('a chunk of another size')


class Answer(http.client.HTTPResponse):
    """An answer that raises an exception if a byte of its framing is wrong.

    Attributes
    ----------
    head : answerheads.Head or None
        None until it was read.
    on_end : callable
        Called once the body was read to its end.
    """

    def __init__(self, sock, debuglevel=0, method=None, url=None):
        super().__init__(sock, debuglevel, method, url)
        self.method = method or 'GET'
        self.head = None
        self.input = _Input(self.fp)
        self.body = None
        self.on_end = lambda: None

    def begin(self):
        """Read the head.

        Raises
        ------
        RemoteDisconnected, AnswerTruncated, AnswerTooLarge, InvalidAnswer
        """
        if self.head is not None:
            return
        self._await_answer()
        self.head = self._read_head()
        self.body = _make_body(self.input, self.head.body)
        self._describe()

    def _await_answer(self):
        if not self.input.fill():
            raise http.client.RemoteDisconnected(
                'the connection ended without an answer'
            )

    def _read_head(self):
        """Read heads up to the final one."""
        left = MAX_HEAD_BYTES
        while True:
            data = self.input.take_through(
                answerheads.BLANK_LINE, left, self._check_beginning
            )
            left -= len(data)
            head = answerheads.parse(data, self.method)
            if head.body is not None:
                return head

    def _check_beginning(self):
        """Refuse at once what can't become a head."""
        line, line_feed, _ = self.input.peek(MAX_HEAD_BYTES).partition(b'\n')
        is_ended_well = line.endswith(b'\r') or not line_feed
        if not self.input.starts_with(answerheads.PREFIX) or not is_ended_well:
            raise answerheads.InvalidAnswer(f'it begins with {line[:40]!r}')

    def _describe(self):
        """Set what `http.client` and `urllib3` ask an answer for."""
        head = self.head
        self.code = self.status = head.status
        self.reason = head.reason
        self.version = 10 + head.minor
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in head.fields:
            self.headers.set_raw(name, value)
        self.chunked = head.body.framing is framing.Framing.CHUNKS
        self.length = head.body.length
        self.will_close = not head.body.keeps_open

    def read1(self, n=-1):
        """Return up to `n` of the next bytes of the body, b'' at its end."""
        if self.fp is None or n == 0:
            return b''
        data = b''
        if not self.body.is_complete:
            data = self.body.read1(n if n > 0 else READ_BYTES)
        if self.body.is_complete:
            self._end()
        return data

    def read(self, amt=None):
        """Return `amt` bytes of the body, or all that is left of it."""
        data = io.BytesIO()
        left = amt
        try:
            while left is None or left > 0:
                part = self.read1(READ_BYTES if left is None else left)
                if not part:
                    break
                data.write(part)
                if left is not None:
                    left -= len(part)
            return data.getvalue()
        finally:
            # An error keeps what this frame refers to until it is collected.
            data.close()

    def readinto(self, b):
        """Read bytes of the body into a buffer."""
        data = self.read1(len(b))
        b[: len(data)] = data
        return len(data)

    def readline(self, limit=-1):
        """Raise `io.UnsupportedOperation`, as does `peek`.

        Those of the base class read past the framing.
        """
        raise io.UnsupportedOperation('readline')

    def peek(self, n=-1):
        """Raise `io.UnsupportedOperation`."""
        raise io.UnsupportedOperation('peek')

    @property
    def is_followed_by_nothing(self):
        """Whether its connection is at the end of it, as far as was read.

        More bytes belong to no request.
        """
        return not self.input.size

    def _end(self):
        """Close the file; its connection may be used again."""
        reader, self.fp = self.fp, None
        reader.close()
        self.input.release()
        self.on_end()


def _make_body(source, body):
    if body.framing is framing.Framing.CHUNKS:
        return _ChunkedBody(source)
    if body.framing is framing.Framing.CLOSE:
        return _BodyToClose(source)
    if not body.length:
        return _EmptyBody(source)
    return _CountedBody(source, body.length)


class Connection(urllib3_connection.HTTPConnection):
    """A connection whose answers are parsed strictly.

    The responses that it returns have the `head` of their answer.  No content
    coding is undone: no request asks for one, and a few bytes of an answer
    could become so many that the memory runs out.

    Attributes
    ----------
    answer_class : type
        `Answer` or a subclass.
    answer : Answer or None
        The latest.
    """

    answer_class = Answer
    answer = None

    def request(self, method, url, body=None, headers=None, **options):
        """Send a request; see `urllib3.connection.HTTPConnection`."""
        options['decode_content'] = False
        super().request(method, url, body, headers, **options)

    def response_class(self, sock, *arguments, **options):
        """Make the response to a request, before any of it is read."""
        self.answer = self.answer_class(
            self.make_source(sock), *arguments, **options
        )
        return self.answer

    def make_source(self, sock):
        """Return what an answer opens a file on to read from a socket."""
        return sock

    @property
    def is_connected(self):
        """Whether another request may be sent."""
        return super().is_connected and self.is_reusable

    @property
    def is_reusable(self):
        """Whether the latest answer was read whole and allows another one."""
        answer = self.answer
        if answer is None:
            return True
        if not answer.isclosed() or answer.will_close:
            return False
        return answer.is_followed_by_nothing

    def getresponse(self):
        """Return the answer to a request, its head read."""
        response = super().getresponse()
        response.head = self.answer.head
        return response
