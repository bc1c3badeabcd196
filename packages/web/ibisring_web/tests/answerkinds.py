"""Kinds of answers, and which of them are answers of HTTP/1.1.

Each answer has the body `BODY`, at least for who reads it as it was meant.
"""

__all__ = ['BODY', 'BROKEN', 'CUT_HEADS', 'SOUND', 'plain']

BODY = b'0123456789abcdef0123456789abcdef0123'
_STATUS = b'HTTP/1.1 200 OK\r\n'
_LENGTH = b'Content-Length: 36\r\n'


def plain(lines=b'', status=_STATUS, length=_LENGTH, body=BODY):
    """Return an answer with more header lines, before that of the length."""
    return status + lines + length + b'\r\n' + body


def _with_length(value):
    return plain(length=b'Content-Length: ' + value + b'\r\n')


def _with_status(code):
    return plain(status=b'HTTP/1.1 ' + code + b' OK\r\n')


def _with_version(version):
    return plain(status=version + b' 200 OK\r\n')


def _chunked(chunks, coding=b'chunked', lines=b''):
    field = b'Transfer-Encoding: ' + coding + b'\r\n'
    return plain(lines, length=field, body=chunks)


_CHUNKS = b'24\r\n' + BODY + b'\r\n0\r\n\r\n'


def _sized(size):
    return _chunked(size + b'\r\n' + BODY + b'\r\n0\r\n\r\n')


_LENGTHS = {
    'letters': b'abc',
    'negative': b'-1',
    'plus': b'+36',
    'empty': b'',
    'hex': b'0x24',
    'underscore': b'3_6',
    'blank': b'3 6',
    'decimals': b'36.0',
    'exponent': b'36e0',
    'quoted': b'"36"',
    'other-digits': b'3\xb2',
    'list': b'36, 10',
    'semicolon': b'36;10',
    'vertical-tab': b'\x0b36',
    '20-digits': b'9' * 20,
    '5000-digits': b'9' * 5000,
}
_LINES = {
    'blank-before-colon': b'A : b',
    'tab-before-colon': b'A\t: b',
    'blank-in-name': b'A B: c',
    'control-in-name': b'A\x01: c',
    'nul-in-name': b'A\x00: c',
    'del-in-name': b'A\x7f: c',
    '8-bit-name': b'A\xe9: c',
    'line-feed-before-name': b'\nA: c',
    'return-before-name': b'\rA: c',
    'name-in-parentheses': b'(A): c',
    'empty-name': b': c',
    'no-colon': b'no colon',
    'no-colon-one-word': b'nocolon',
    'nul-in-value': b'A: b\x00c',
    'control-in-value': b'A: b\x01c',
    'return-in-value': b'A: b\rc',
    'line-feed-in-value': b'A: b\nc',
    'two-returns': b'A: b\r',
    'folded': b'A: b\r\n c',
    'length-with-vertical-tab': b'Content-Length:\x0b36',
    'spaced-coding': b'Transfer-Encoding : chunked',
    'second-length': b'Content-Length: 36',
    'other-second-length': b'content-length: 10',
    'coding-beside-length': b'Transfer-Encoding: chunked',
}
_CODINGS = {
    'gzip': b'gzip',
    'prefixed': b'xchunked',
    'before-another': b'chunked, gzip',
    'after-another': b'gzip, chunked',
    'twice': b'chunked, chunked',
    'vertical-tab': b'\x0bchunked',
    'empty': b'',
    'identity': b'identity',
    'parameter': b'chunked;a=b',
}
_SIZES = {
    'plus': b'+24',
    'minus': b'-24',
    'prefix': b'0x24',
    'blank-before': b' 24',
    'blank-after': b'24 ',
    'underscore': b'2_4',
    'other-digits': b'\xb2\xb4',
    'letters': b'xy',
    'empty': b'',
    'comma': b'24,24',
    '5000-digits': b'0' * 5000 + b'24',
    'extension-without-name': b'24;=a',
    'nul-in-extension': b'24;a=\x00',
    'open-quote': b'24;a="b',
    'too-large': b'F' * 16,
}
_STATUSES = [
    b'000',
    b'099',
    b'20',
    b'2000',
    b'101',
    b'+20',
    b'2_0',
    b'2 0',
    b'-20',
    b'600',
    b'999',
    b'\xb2\xb0\xb0',
    b'abc',
    b'',
]
_VERSIONS = [
    b'HTTP/1.x',
    b'HTTP/1.2',
    b'HTTP/2.0',
    b'HTTP/0.9',
    b'http/1.1',
    b'HTTP/1',
    b'HTTP/11',
    b'HTTP/1.10',
    b'HTTP /1.1',
    b'RTSP/1.0',
    b'ICY',
    b'',
]
_OTHERS = {
    'nothing': b'',
    'no-answer': b'\x16\x03\x01\x02\x00' + BODY,
    'text': b'Internal error\r\n\r\n',
    'line-end-before': b'\r\n' + plain(),
    'control-in-reason': plain(status=b'HTTP/1.1 200 O\x01K\r\n'),
    'nul-in-reason': plain(status=b'HTTP/1.1 200 O\x00K\r\n'),
    'two-blanks': plain(status=b'HTTP/1.1  200 OK\r\n'),
    'tab-for-blank': plain(status=b'HTTP/1.1\t200 OK\r\n'),
    'blank-before-first-field': plain(b' A: b\r\n'),
    'no-field-at-the-end': plain(length=_LENGTH + b'no field\r\n'),
    'line-feeds-only': plain().replace(b'\r\n', b'\n'),
    'head-cut': plain()[:25],
    'head-without-blank-line': plain(body=b'')[:-2],
    'body-cut': plain()[:-1],
    'coding-of-1.0': _chunked(_CHUNKS).replace(b'1.1', b'1.0', 1),
    'coding-twice': _chunked(_CHUNKS, lines=b'Transfer-Encoding: chunked\r\n'),
    'chunk-without-line-end': _chunked(b'24\r\n' + BODY + b'0\r\n\r\n'),
    'chunk-with-more': _chunked(b'24\r\n' + BODY + b'xy0\r\n\r\n'),
    'chunk-with-line-feed': _chunked(b'24\n' + BODY + b'\r\n0\r\n\r\n'),
    'chunk-of-another-size': _chunked(b'23\r\n' + BODY + b'\r\n0\r\n\r\n'),
    'chunks-cut': _chunked(b'24\r\n' + BODY + b'\r\n'),
    'last-chunk-cut': _chunked(b'24\r\n' + BODY + b'\r\n0'),
    'trailer-no-field': _chunked(
        b'24\r\n' + BODY + b'\r\n0\r\nno field\r\n\r\n'
    ),
    'trailer-blank-in-name': _chunked(
        b'24\r\n' + BODY + b'\r\n0\r\nA B: c\r\n\r\n'
    ),
    'trailers-too-long': _chunked(
        b'24\r\n' + BODY + b'\r\n0\r\n' + b'A: b\r\n' * 5000 + b'\r\n'
    ),
    'interim-answer-broken': b'HTTP/1.1 103 x\r\nA B: c\r\n\r\n' + plain(),
    'interim-length-letters': (
        b'HTTP/1.1 100 Continue\r\nContent-Length: abc\r\n\r\n' + plain()
    ),
    'interim-lengths': (
        b'HTTP/1.1 100 Continue\r\n'
        b'Content-Length: 0\r\nContent-Length: 36\r\n\r\n' + plain()
    ),
    'interim-coding-gzip': (
        b'HTTP/1.1 100 Continue\r\nTransfer-Encoding: gzip\r\n\r\n' + plain()
    ),
    'interim-answer-only': b'HTTP/1.1 100 Continue\r\n\r\n',
    'no-answer-after-interim': b'HTTP/1.1 100 Continue\r\n\r\n' + BODY,
}

BROKEN = {
    **{
        f'length-{name}': _with_length(text) for name, text in _LENGTHS.items()
    },
    **{f'line-{name}': plain(text + b'\r\n') for name, text in _LINES.items()},
    **{
        f'coding-{name}': _chunked(_CHUNKS, text)
        for name, text in _CODINGS.items()
    },
    **{f'chunk-size-{name}': _sized(text) for name, text in _SIZES.items()},
    **{
        f'status-{code.decode("latin-1")}': _with_status(code)
        for code in _STATUSES
    },
    **{
        f'version-{version.decode()}': _with_version(version)
        for version in _VERSIONS
    },
    **_OTHERS,
}

SOUND = {
    'plain': plain(),
    'leading-zeros': _with_length(b'0036'),
    'blanks-around-length': plain(length=b'Content-Length:\t 36 \t\r\n'),
    'no-blanks': plain(b'A:b\r\n', length=b'CONTENT-LENGTH:36\r\n'),
    'empty-value': plain(b'A:\r\nB: \r\n'),
    'tab-in-value': plain(b'A: b\tc\r\n'),
    '8-bit-value': plain(b'A: \xe9\xff\r\n'),
    'all-characters-of-names': plain(b"!#$%&'*+-.^_`|~09azAZ: x\r\n"),
    'repeated-field': plain(b'A: b\r\nA: c\r\n'),
    'many-fields': plain(b''.join(b'H%d: v\r\n' % n for n in range(150))),
    'long-value': plain(b'A: ' + b'x' * 30000 + b'\r\n'),
    'no-reason': plain(status=b'HTTP/1.1 200 \r\n'),
    'no-reason-no-blank': plain(status=b'HTTP/1.1 200\r\n'),
    'other-reason': plain(status=b'HTTP/1.1 200 \xe9 of 2\tb\r\n'),
    '1.0': plain(status=b'HTTP/1.0 200 OK\r\n'),
    'to-the-end': plain(length=b''),
    'to-the-end-1.0': plain(status=b'HTTP/1.0 200 OK\r\n', length=b''),
    'to-the-end-no-fields': _STATUS + b'\r\n' + BODY,
    'chunked': _chunked(_CHUNKS),
    'chunked-upper-case': _chunked(_CHUNKS, b'\t CHUNKED '),
    'chunks': _chunked(
        b'A\r\n' + BODY[:10] + b'\r\n1a\r\n' + BODY[10:] + b'\r\n000\r\n\r\n'
    ),
    'chunk-of-each-byte': _chunked(
        b''.join(b'1\r\n%c\r\n' % byte for byte in BODY) + b'0\r\n\r\n'
    ),
    'extension': _sized(b'024;a=b;c="d \\" e";f'),
    'spaced-extension': _sized(b'24 ; a = b'),
    'trailer': _chunked(b'24\r\n' + BODY + b'\r\n0\r\nA: b\r\n\r\n'),
    'continue': b'HTTP/1.1 100 Continue\r\n\r\n' + plain(),
    'interim-answers': b'HTTP/1.1 103 E\r\nLink: a\r\n\r\n' * 3 + plain(),
    'continue-with-length': (
        b'HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n' + plain()
    ),
    'close': plain(b'Connection: close\r\n'),
    'upgrade': plain(b'Connection: upgrade\r\nUpgrade: h2c\r\n'),
    'more-behind': plain() + b'HTTP/1.1 200 OK\r\n\r\n',
}


def _head_size(answer):
    """Return the size of all heads of an answer with its body in one piece."""
    return answer[: answer.index(BODY)].rindex(b'\r\n\r\n') + 4


def _cut_heads(answer):
    """Return the beginnings of an answer that end inside of its heads."""
    return [answer[:size] for size in range(1, _head_size(answer))]


# By framing, each beginning of an answer that is no whole head.
CUT_HEADS = {
    name: _cut_heads(SOUND[name])
    for name in (
        'plain',
        'no-reason-no-blank',
        '1.0',
        'to-the-end',
        'to-the-end-1.0',
        'to-the-end-no-fields',
        'chunked',
        'extension',
        'continue',
        'interim-answers',
        'close',
    )
}
