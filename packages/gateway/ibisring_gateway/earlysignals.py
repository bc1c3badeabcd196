"""Keeps signals that arrive before a process can handle them.

Until a handler is installed, a signal to reload the settings ends the process.
A starting process imports its libraries for a fifth of a second first.
"""

__all__ = ['keep']

import signal


def keep(*numbers):
    """Keep signals until other handlers are installed.

    Imports nothing but the standard library, and only little of it.

    Parameters
    ----------
    *numbers : signal.Signals

    Returns
    -------
    list of int
        The signals that have arrived, in order; it grows.
    """
    arrived = []
    for number in numbers:
        signal.signal(number, lambda number, frame: arrived.append(number))
    return arrived
