"""When a pool of threads grows, and by whom its threads are started."""

__all__ = ['ThreadCounts', 'make_thread_counts']

# Threads beyond those that the present connections need.
SPARE_THREADS = 8
# Starts by a thread that takes a connection, before it serves it.  Two make a
# burst's threads double each time; more would delay that connection.
STARTS_PER_CONNECTION = 2
# Pause after a thread could not be started.
RETRY_SECONDS = 1.0


class ThreadCounts:
    """Counts of a pool's threads and connections.

    Whoever queues a connection must not wait for threads to start.  So the
    threads that take connections start the missing ones, and those started do
    the same.  Only where no thread is left to take a queued connection does
    whoever queues it start one.

    Parameters
    ----------
    first, limit : int
        Threads at the start and at most.

    Attributes
    ----------
    threads : int
        Threads that run or are being started.
    queued, held : int
        Connections that no thread has taken yet, and that a thread serves.
    retry_at : float or None
        Time of the next start after a failed one.
    failed_starts : int
        Times that a thread could not be started.

    Examples
    --------
    >>> counts = make_thread_counts(2, 20)
    >>> [counts.reserve(now=0.0) for _ in range(8)].count(True)
    8
    >>> counts.missing()
    0
    >>> counts.queued += 1
    >>> counts.missing()
    1
    """

    __slots__ = (
        'first',
        'limit',
        'threads',
        'queued',
        'held',
        'retry_at',
        'failed_starts',
    )

    def __init__(self, first, limit):
        self.first = first
        self.limit = limit
        self.threads = 0
        self.queued = 0
        self.held = 0
        self.retry_at = None
        self.failed_starts = 0

    @property
    def load(self):
        """Connections with a request under way."""
        return self.queued + self.held

    def missing(self):
        """Return how many threads fewer there are than are needed."""
        needed = max(self.first, self.load + SPARE_THREADS)
        return max(min(needed, self.limit) - self.threads, 0)

    def is_stuck(self):
        """Return whether a connection is queued and no thread takes it.

        A thread that is free, or is being started, will take a connection
        and start the next ones.
        """
        return self.queued > 0 and self.threads <= self.held

    def is_incomplete(self):
        """Return whether some of the threads of the start are missing."""
        return self.threads < self.first

    def reserve(self, now):
        """Return whether to start a thread now, which then counts as one."""
        is_too_soon = self.retry_at is not None and now < self.retry_at
        if is_too_soon or self.missing() == 0:
            return False
        self.threads += 1
        return True

    def note_failure(self, now):
        """Take back a reserved start that failed.

        Returns
        -------
        bool
            Whether it is the first failure since a start that succeeded.
        """
        is_first = self.retry_at is None
        self.threads -= 1
        self.failed_starts += 1
        self.retry_at = now + RETRY_SECONDS
        return is_first

    def note_success(self):
        """Note a start that succeeded.

        Returns
        -------
        bool
            Whether it is the first one after a failure.
        """
        is_first = self.retry_at is not None
        self.retry_at = None
        return is_first


def make_thread_counts(first, limit):
    """Make `ThreadCounts` of a pool without threads."""
    return ThreadCounts(first, limit)
