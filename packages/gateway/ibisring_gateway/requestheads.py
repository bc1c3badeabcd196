"""Checks that a caller's request can be passed on as it is.

The server that reads requests takes more than the client that writes them: a
request that can't be written would look like a failure of its endpoint.

References
----------
RFC 9110, "HTTP Semantics", section 5, on fields; RFC 9112, "HTTP/1.1",
section 3, on the request line.
"""

__all__ = ['check']

import re

from ibisring_records import exceptions

_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r'[!-~\x80-\xff]+')
_VALUE = re.compile(r'[\t -~\x80-\xff]*')


def check(method, target, headers):
    """Check the parts of a request's head.

    Parameters
    ----------
    method, target : str
    headers : dict of str to str

    Raises
    ------
    InvalidRequest

    Examples
    --------
    >>> check('GET', '/a', {'A': 'b'})
    >>> check('GET', '/a', {'A': 'b\\rc'})
    Traceback (most recent call last):
    ...
    ibisring_records.exceptions.InvalidRequest: ...
    """
    if not _TOKEN.fullmatch(method):
        raise exceptions.InvalidRequest('the method is not valid')
    if not _TARGET.fullmatch(target):
        raise exceptions.InvalidRequest('the target is not valid')
    for name, value in headers.items():
        if not (_TOKEN.fullmatch(name) and _VALUE.fullmatch(value)):
            raise exceptions.InvalidRequest(
                f'the header {name!a} is not valid'
            )
