"""Ids under which routers count the crash of an endpoint's process."""

__all__ = ['make_crash_id']

import zlib


def make_crash_id(endpoint, started):
    """Make the same id on each router for the crash of a process.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    started : int
        Start time of its process.

    Returns
    -------
    int
    """
    return zlib.crc32(f'{endpoint} {started}'.encode())
