"""Bounds of data that another party wrote.

Rows of the store, answers of engines and messages of other routers are
decoded here, into types whose fields are bounded.  What is decoded can be
counted with, encoded for other routers, put into header fields and connected
to without further checks.
"""

__all__ = [
    'Address',
    'Count',
    'CrashId',
    'Digest',
    'Era',
    'Factor',
    'Identifier',
    'Integer',
    'Layer',
    'Name',
    'Number',
    'Position',
    'SignedNumber',
    'Size',
    'Text',
    'Version',
    'check',
    'convert_items',
    'decode_json',
    'decode_json_items',
    'decode_msgpack',
    'decode_msgpack_items',
    'flatten_json',
]

import re
import typing

from ibisring_records import exceptions
import msgspec

# Integers up to this are exact in JSON of any reader, and fit into msgpack.
MAX_INTEGER = 2**53
# Unix times in milliseconds, positions and sizes in bytes are far below.
MAX_NUMBER = 1e15
# Sizes in MB that others are divided by: one byte at least.
MIN_SIZE = 1e-6
MAX_LAYERS = 10_000
# The store bounds keys to 200 bytes.
MAX_NAME_CHARS = 200
MAX_TEXT_CHARS = 1000
# Deepest nesting of arrays and objects; messages of this project have six.
MAX_DEPTH = 64
MAX_BYTES = 1 << 24
# Longer JSON is not flattened: 16 MB of brackets take 13 s.
MAX_FLATTENED_BYTES = 1 << 21

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# Versions of the store: a position has the era in the bits above these.
Version = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**40)]
Position = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
CrashId = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Digest = typing.Annotated[bytes, msgspec.Meta(min_length=1, max_length=64)]
# The store names its eras with six digits at most.
Era = typing.Annotated[int, msgspec.Meta(ge=0, le=999_999)]
Layer = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]
Number = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NUMBER)]
SignedNumber = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)
]
Size = typing.Annotated[float, msgspec.Meta(ge=MIN_SIZE, le=MAX_NUMBER)]
# A factor that durations or shares are multiplied with.
Factor = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
# Endpoints, routers and request ids: they go into header fields, and into
# lists in which a comma separates them.
Identifier = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'\A[!-+\--~]+\Z', min_length=1, max_length=MAX_NAME_CHARS
    ),
]
# Names that are only compared and logged; no control characters, and no
# surrogates, which can't be encoded.
Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern='\\A[^\x00-\x1f\x7f\ud800-\udfff]*\\Z',
        max_length=MAX_NAME_CHARS,
    ),
]
Text = typing.Annotated[
    str,
    msgspec.Meta(
        pattern='\\A[^\x00-\x1f\x7f\ud800-\udfff]*\\Z',
        max_length=MAX_TEXT_CHARS,
    ),
]
_LABEL = r'[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,62})'
_PORT = (
    r'(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}'
    r'|655[0-2][0-9]|6553[0-5])'
)
# A host of IPv4, a name or IPv6 in brackets, and a port.
Address = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=(
            rf'\A(?:(?=[^:]{{1,253}}:){_LABEL}(?:\.{_LABEL})*'
            rf'|\[[0-9A-Fa-f:.]{{2,45}}\]):{_PORT}\Z'
        ),
        max_length=259,
    ),
]

# A text, or a bracket outside of texts.  A text that does not end goes up to
# the end of the data, so that it is scanned once.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+(?:"|\\?\Z)|[\[\]{}]', re.DOTALL)
_ESCAPE = re.compile(rb'\\.', re.DOTALL)
_TO_ARRAYS = bytes.maketrans(b'{}', b'[]')
_OPEN = ord('[')
_NOT_STRUCTURE = bytes(set(range(256)) - set(b'[]{}"'))


def check(value, cls):
    """Return a value that is of a bounded type.

    Raises
    ------
    MalformedMessage

    Examples
    --------
    >>> check('e1:80', Address)
    'e1:80'
    >>> check('e1:99999', Address)
    Traceback (most recent call last):
    ibisring_records.exceptions.MalformedMessage: Expected `str` matching ...
    """
    try:
        return msgspec.convert(value, cls)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _malformed(error) from error


def decode_json(data, cls, max_bytes=MAX_BYTES):
    """Decode JSON of another party.

    Parameters
    ----------
    data : bytes
    cls : type
    max_bytes : int

    Raises
    ------
    MalformedMessage
        For any fault of the data, its size and nesting among them.
    """
    _check_size(data, max_bytes)
    _check_depth(data)
    try:
        return msgspec.json.decode(data, type=cls)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _malformed(error) from error


def flatten_json(data, max_depth=MAX_DEPTH):
    """Return JSON in which arrays and objects nested too deeply are null.

    Examples
    --------
    >>> flatten_json(b'{"a": [[1], "[", {"b": 2}]}', 2)
    b'{"a": [null, "[", null]}'
    """
    if len(data) > MAX_FLATTENED_BYTES:
        return data
    parts = []
    depth = end = 0
    for token in _TOKEN.finditer(data):
        if token[0] in b'[{':
            depth += 1
            if depth == max_depth + 1:
                parts += data[end : token.start()], b'null'
        elif token[0] in b']}':
            depth -= 1
            if depth == max_depth:
                end = token.end()
    if depth <= max_depth:
        parts.append(data[end:])
    return b''.join(parts)


def decode_msgpack(data, cls=typing.Any, max_bytes=MAX_BYTES):
    """Decode msgpack of another party.

    Raises
    ------
    MalformedMessage
    """
    _check_size(data, max_bytes)
    try:
        return msgspec.msgpack.decode(data, type=cls)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        # msgpack has no delimiters that a scan could count.
        RecursionError,
        # A map whose key is a list or a map.
        TypeError,
    ) as error:
        raise _malformed(error) from error


def decode_json_items(data, cls, needed=(), max_bytes=MAX_BYTES):
    """Decode a struct from JSON; an item that is out of bounds is left out.

    Raises
    ------
    MalformedMessage
        See `convert_items`.
    """
    try:
        return decode_json(data, cls, max_bytes)
    except exceptions.MalformedMessage:
        return convert_items(decode_json(data, typing.Any), cls, needed)


def decode_msgpack_items(data, cls, needed=(), max_bytes=MAX_BYTES):
    """Decode a struct from msgpack like `decode_json_items`."""
    try:
        return decode_msgpack(data, cls, max_bytes)
    except exceptions.MalformedMessage:
        return convert_items(decode_msgpack(data), cls, needed)


def convert_items(value, cls, needed=()):
    """Convert builtins to a struct without what is out of bounds.

    Of a list or dict the odd items are left out; any other field that is out
    of bounds has its default.

    Parameters
    ----------
    value : list or dict
        By the encoding of the struct.
    cls : type
    needed : collection of str
        Fields with a default without which the others mean nothing.

    Raises
    ------
    MalformedMessage
        If it is no struct, or a field without a default or a needed one is
        out of bounds.

    Examples
    --------
    >>> class Loads(msgspec.Struct):
    ...     router: Identifier
    ...     loads: dict[str, Count] = {}
    >>> convert_items({'router': 'r1', 'loads': {'e1': 3, 'e2': -1}}, Loads)
    Loads(router='r1', loads={'e1': 3})
    """
    fields = msgspec.structs.fields(cls)
    if cls.__struct_config__.array_like:
        if not isinstance(value, list):
            raise exceptions.MalformedMessage('the message is no array')
        found = {each.name: item for each, item in zip(fields, value)}
    else:
        if not isinstance(value, dict):
            raise exceptions.MalformedMessage('the message is no object')
        found = {
            each.name: value[each.encode_name]
            for each in fields
            if each.encode_name in value
        }
    converted = {}
    for each in fields:
        if each.name not in found:
            if each.required:
                raise exceptions.MalformedMessage(f'no {each.name}')
            continue
        try:
            converted[each.name] = _convert_field(found[each.name], each.type)
        except exceptions.MalformedMessage:
            if each.required or each.name in needed:
                raise
    return cls(**converted)


def _convert_field(value, cls):
    try:
        return check(value, cls)
    except exceptions.MalformedMessage:
        if isinstance(value, list):
            singles = [[item] for item in value]
        elif isinstance(value, dict):
            singles = [{key: item} for key, item in value.items()]
        else:
            raise
    # A list or dict that is no collection of items gives no part, so that
    # its error is raised.
    parts = [part for part in (_try(each, cls) for each in singles) if part]
    if parts and isinstance(parts[0], dict):
        return {key: item for part in parts for key, item in part.items()}
    if parts and isinstance(parts[0], list):
        return [item for part in parts for item in part]
    return check(type(value)(), cls)


def _try(value, cls):
    try:
        return check(value, cls)
    except exceptions.MalformedMessage:
        return None


def _check_size(data, max_bytes):
    if len(data) > max_bytes:
        raise exceptions.MalformedMessage(f'{len(data)} bytes')


def _check_depth(data):
    """Raise an error if JSON is nested too deeply.

    The decoder's own bound depends on the depth of the caller's stack, and
    what it raises is no error of decoding.
    """
    if data.count(b'[') + data.count(b'{') <= MAX_DEPTH:
        return
    if b'\\' in data:
        data = _ESCAPE.sub(b'', data)
    text = data.translate(_TO_ARRAYS, _NOT_STRUCTURE)
    brackets = b''.join(text.split(b'"')[::2])
    depth = 0
    for bracket in brackets:
        depth += 1 if bracket == _OPEN else -1
        # Stops early: a long message that is too deep costs little.
        if depth > MAX_DEPTH:
            raise exceptions.MalformedMessage(
                f'nested more than {MAX_DEPTH} deep'
            )


def _malformed(error):
    # The decoder's text may repeat a value of the data.
    return exceptions.MalformedMessage(str(error)[:MAX_NAME_CHARS])
