"""Whether the load balancer should send callers to a router."""

__all__ = ['Readiness', 'make_readiness']

from ibisring_records import exceptions


class Readiness:
    """Ready once the router has a configuration, until it drains.

    Parameters
    ----------
    keeper : recordkeeping.RecordKeeper
    """

    def __init__(self, keeper):
        self.keeper = keeper
        self.draining = False

    def check(self):
        """Raise an error if the load balancer should use other routers.

        Raises
        ------
        NotReady
        """
        if self.draining:
            raise exceptions.NotReady('this router is leaving')
        self.keeper.require()


def make_readiness(keeper):
    """Make the readiness check of a router."""
    return Readiness(keeper)
