"""When a router tells the others what it knows.

Bytes between failure domains are dear, and most datagrams of a calm day say
nothing that matters: while engines have room, nobody's choice depends on the
last second's load.  A router tells at once what others act upon, often while
engines are nearly full, and seldom otherwise.
"""

__all__ = ['Pace', 'make_pace']

# Seconds between looks whether there is something to tell.
TICK = 0.25
# Seconds between tellings with nothing new, where all others are told at once;
# they take a router that they have not heard for 2.5 s for gone.  Where only
# some are told each time, it tells as much more often: with 88 routers and
# one telling a second, each knew another's load of fifteen seconds ago; the
# engines preempted 152 requests of a calm day, and 0.95 of its worth was left.
QUIET = 1.0
# Seconds for which news is told at each look: of three datagrams one may be
# lost, and of many routers only some are told each time.
FRESH = 1.0
# Share of an engine's memory from which its load is told at each look.  Below
# it, the requests that begin within a second fit in any case: some 15 of the
# 110 that a domain's engines hold.
NEARLY_FULL = 0.7


class Pace:
    """Decides at each look whether to tell.

    Examples
    --------
    >>> pace = make_pace()
    >>> [pace.is_due(t * 0.25, 'news', 0.2, 1.0) for t in range(8)]
    [True, True, True, True, False, False, False, True]
    """

    __slots__ = ('news', 'news_at', 'told_at')

    def __init__(self):
        self.news = None
        self.news_at = 0.0
        self.told_at = -QUIET

    def is_due(self, now, news, fullest, reach):
        """Say whether to tell now.

        Parameters
        ----------
        now : float
        news : object
            What others act upon; compared with the last one.
        fullest : float
            Largest share taken of an engine's memory for prompts.
        reach : float
            Share of the other routers that are told each time.
        """
        if news != self.news:
            self.news = news
            self.news_at = now
        is_fresh = now - self.news_at < FRESH
        if not is_fresh and fullest < NEARLY_FULL:
            if now - self.told_at < QUIET * reach:
                return False
        self.told_at = now
        return True


def make_pace():
    """Make a `Pace` that has told nothing yet."""
    return Pace()
