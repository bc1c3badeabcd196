"""Thread pool whose tasks are not lost when no thread can be started."""

__all__ = ['WorkerPool', 'make_worker_pool']

import concurrent.futures
import threading

from ibisring_router import guards


class WorkerPool(concurrent.futures.ThreadPoolExecutor):
    """A thread pool that goes by what it has if it can't start a thread.

    The standard pool raises from `submit` then, although it has queued the
    task and may still run it: whoever submits it again has it run twice.

    Parameters
    ----------
    limit : int
        Threads at most.
    """

    def __init__(self, limit):
        # Not a method of the pool: threads that refer to it don't end when
        # it is no longer used.
        self.has_threads = threading.Event()
        super().__init__(limit, initializer=self.has_threads.set)
        self.is_stopped = False

    def submit(self, function, /, *args, **kwargs):
        """Queue a call.

        Returns
        -------
        concurrent.futures.Future

        Raises
        ------
        RuntimeError
            If it is never run: the pool has no thread and can't start one, or
            has been shut down.
        """
        future = concurrent.futures.Future()
        try:
            super().submit(_run, future, function, args, kwargs)
        except RuntimeError:
            is_usable = self.has_threads.is_set() and not self.is_stopped
            if not is_usable and future.cancel():
                raise
            guards.failed('start_worker')
        return future

    def run_all(self, function, items):
        """Call a function with each item concurrently.

        What can't be queued runs in the thread of the caller.

        Returns
        -------
        list
            The results, in the order of the items.
        """
        futures = [self._submit_or_run(function, each) for each in items]
        return [each.result() for each in futures]

    def _submit_or_run(self, function, item):
        try:
            return self.submit(function, item)
        except RuntimeError:
            guards.failed('start_worker')
        future = concurrent.futures.Future()
        _run(future, function, (item,), {})
        return future

    def shutdown(self, wait=True, *, cancel_futures=False):
        self.is_stopped = True
        super().shutdown(wait, cancel_futures=cancel_futures)


def _run(future, function, args, kwargs):
    """Run a call unless it was cancelled, and set its result."""
    if not future.set_running_or_notify_cancel():
        return
    try:
        future.set_result(function(*args, **kwargs))
    except BaseException as error:
        future.set_exception(error)
        # Otherwise the traceback's reference to this frame is a cycle, and
        # the pool that the function belongs to is not freed.
        future = None


def make_worker_pool(limit):
    """Make a `WorkerPool`."""
    return WorkerPool(limit)
