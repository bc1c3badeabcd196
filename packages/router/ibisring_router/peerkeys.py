"""Keys by which routers authenticate to each other."""

__all__ = ['peer_keys', 'check_peer']

import base64
import hashlib
import hmac

from ibisring_records import exceptions
from ibisring_web import routes

DERIVED_BYTES = 16


def peer_keys(settings):
    """Return the keys accepted from peers; the first one is also sent.

    Parameters
    ----------
    settings : settings.Settings

    Returns
    -------
    list of str

    Notes
    -----
    Without ``--peer-keys`` a key is derived from the hash of the operator
    key, which is the same on all routers.  It is short because every probe
    carries it.
    """
    configured = [key for key in settings.peer_keys.split(',') if key]
    if configured:
        return configured
    secret = settings.operator_key_sha256.encode()
    digest = hmac.digest(secret, b'ibisring peers', hashlib.sha256)
    derived = base64.urlsafe_b64encode(digest[:DERIVED_BYTES])
    return [derived.decode().rstrip('=')]


def check_peer(request, keys):
    """Accept only requests that carry one of the keys.

    Raises
    ------
    Unauthorized

    Notes
    -----
    A forged vote, release or pushed change could cause an alert to be sent
    twice or not at all, or activate a record that no operator submitted;
    the router would then be at a revision that the table service doesn't
    have.
    """
    received = routes.bearer_key(request).encode()
    matches = [hmac.compare_digest(received, key.encode()) for key in keys]
    if not any(matches):
        raise exceptions.Unauthorized('this is no key of a peer')
