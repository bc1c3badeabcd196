"""What tells that two attempts of callers are the same request.

Callers name each attempt anew, so that its name says nothing about an earlier
one.  What a request asks for, and for whom, does.
"""

__all__ = ['compute', 'DIGEST_BYTES']

import hashlib

# Short enough to be told in a datagram; an account that looks for two
# requests with one digest finds only its own.
DIGEST_BYTES = 8
# The longest key that the hash takes, in bytes.
_KEY_BYTES = 64


def compute(account, method, host, target, body):
    """Give the digest of a request.

    Parameters
    ----------
    account : str
        The client account's name, which keys the digest; '' without one.
    method, host, target : str
        `target` is the path with its query, which counts only where the
        request has no body.
    body : bytes

    Returns
    -------
    bytes
        Of `DIGEST_BYTES`.

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
    found = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
    for part in (method.upper(), host.lower(), path):
        data = part.encode()
        found.update(len(data).to_bytes(4, 'big') + data)
    found.update(body)
    return found.digest()
