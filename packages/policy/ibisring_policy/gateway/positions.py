"""Positions in the store that grow although its versions may go back.

After a loss the store may come back from a copy: its versions go back and are
given out again for other writes, and it counts one era more.  A version alone
therefore compares with nothing.  A position combines both in one number, the
era in the higher digits, so that a later era is greater whatever the version.

Routers send era and version separately, as releases that know of no eras take
a position for a version.
"""

__all__ = ['make', 'era', 'version', 'text']

VERSION_BITS = 40


def make(era, version):
    """Return the position of a store version in an era.

    Parameters
    ----------
    era : int
        0 if the store names none.
    version : int

    Returns
    -------
    int

    Examples
    --------
    >>> make(2, 144) > make(1, 147)
    True
    >>> make(0, 7)
    7
    """
    return era << VERSION_BITS | version


def era(position):
    """Return the era of a position."""
    return position >> VERSION_BITS


def version(position):
    """Return the store version of a position, which counts in its era."""
    return position & ((1 << VERSION_BITS) - 1)


def text(position):
    """Return a position as text for a log line.

    Examples
    --------
    >>> text(make(2, 144))
    '2:144'
    """
    return f'{era(position)}:{version(position)}'
