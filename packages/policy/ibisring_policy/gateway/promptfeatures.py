"""Features of requests: what several of them may have in common."""

__all__ = ['features_of', 'names_of', 'is_whole', 'account_id']

import hashlib
import zlib

# Bound on the parts of one prompt that are looked at.
MAX_PARTS = 64
HASH_BYTES = 7
# Features begin with one of these.
_PART, _WHOLE = b'p', b'w'


def features_of(parts, digest):
    """Return the features of a request.

    Parameters
    ----------
    parts : sequence of str
        Parts of its prompt that others may share: all but the last.
    digest : bytes
        Of the whole request.

    Returns
    -------
    tuple of bytes
        The last one is that of the whole request.  Empty for a prompt
        without such parts.

    Examples
    --------
    >>> len(features_of(['5c1e', '91bd'], b'12345678'))
    3
    >>> features_of([], b'12345678')
    ()
    """
    names = names_of(parts)
    if not names:
        return ()
    hashed = [_PART + _hash(name.encode()) for name in names]
    return (*hashed, _WHOLE + _hash(digest))


def names_of(parts):
    """Return the names of the parts that count, in the order of features."""
    return list(dict.fromkeys(part.lower() for part in parts[:MAX_PARTS]))


def is_whole(feature):
    """Return whether a feature stands for a request as a whole."""
    return feature.startswith(_WHOLE)


def account_id(name):
    """Return the number that stands for an account in evidence."""
    return zlib.crc32(name.encode())


def _hash(value):
    return hashlib.blake2b(value, digest_size=HASH_BYTES).digest()
