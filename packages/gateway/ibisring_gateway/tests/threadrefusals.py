"""Refusals of new threads, as by a machine that has too many of them."""

import contextlib
import threading
from unittest import mock


def _refuse(thread):
    raise RuntimeError("can't start new thread")


@contextlib.contextmanager
def no_new_threads():
    """Refuse new threads, also to the standard library's pools."""
    with mock.patch.object(threading.Thread, 'start', _refuse):
        yield
