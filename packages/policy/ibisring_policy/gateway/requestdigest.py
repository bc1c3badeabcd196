"""Digests that identify repeated submissions of the same request.

Callers choose a new id for each submission, so that the id does not identify
the request.  Its content and its account do.
"""

__all__ = ['compute', 'DIGEST_BYTES']

import hashlib

# Short enough for gossip datagrams.  The digest is keyed by the account, so
# that an account that searches for collisions finds only its own requests.
DIGEST_BYTES = 8
# The longest key that the hash accepts.
_KEY_BYTES = 64


def compute(account, method, host, target, body):
    """Return the digest of a request.

    Parameters
    ----------
    account : str
        Name of the client account, used as the key; '' without one.
    method, host, target : str
        `target` is the path with its query, which is ignored if the request
        has a body.
    body : bytes

    Returns
    -------
    bytes
        Of length `DIGEST_BYTES`.

    Examples
    --------
    >>> first = compute('acme', 'POST', 'h', '/a/x?page=1', b'prompt')
    >>> first == compute('acme', 'POST', 'H', '/a/x?page=2', b'prompt')
    True
    >>> first == compute('other', 'POST', 'h', '/a/x', b'prompt')
    False
    """
    path = target.partition('?')[0] if body else target
    key = account.encode()[:_KEY_BYTES]
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
    for part in (method.upper(), host.lower(), path):
        data = part.encode()
        hasher.update(len(data).to_bytes(4, 'big') + data)
    hasher.update(body)
    return hasher.digest()
