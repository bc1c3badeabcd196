"""Engines that report that they run slower than usual."""

__all__ = ['Slowdowns']

from ibisring_policy.gateway import endpointestimate

# How long an engine's report that it is slow counts, and after how long it is
# queried again.
SLOWDOWN_VALID_SECONDS = 2.5
SLOWDOWN_PROBE_SECONDS = 1.0
# An engine counts as slow at this multiple of its usual time.  Below it,
# avoiding the engine costs more than it gains: a stage is a tenth of a
# chain's time.
SLOW_FACTOR = 2.0


class Slowdowns(endpointestimate.Estimates):
    """Keeps the slowdowns that engines reported to any router."""

    def note_slowdown(self, name, slowdown, now, from_peer=False):
        """Note the slowdown that an engine reported; 1 is its usual speed."""
        estimate = self.get(name)
        if slowdown < SLOW_FACTOR and estimate.slowdown < SLOW_FACTOR:
            return
        estimate.slowdown = slowdown
        estimate.slowdown_at = now
        estimate.slowdown_from_peer = from_peer

    def slowdown(self, name, now):
        """Return the factor by which an engine is slower than usual."""
        estimate = self.by_endpoint.get(name)
        if (
            estimate is None
            or now - estimate.slowdown_at > SLOWDOWN_VALID_SECONDS
        ):
            return 1.0
        return estimate.slowdown

    def recently_slow(self, now):
        """Return the slowdown of engines that this router found slow."""
        return {
            name: round(estimate.slowdown, 1)
            for name, estimate in self.by_endpoint.items()
            if estimate.slowdown >= SLOW_FACTOR
            and not estimate.slowdown_from_peer
            and now - estimate.slowdown_at
            < SLOWDOWN_PROBE_SECONDS + endpointestimate.OWN_CONTACT_SECONDS
        }

    def slow_to_probe(self, now):
        """Return the slow engines that should be queried again."""
        return [
            name
            for name, estimate in self.by_endpoint.items()
            if estimate.slowdown >= SLOW_FACTOR
            and not estimate.slowdown_from_peer
            and SLOWDOWN_PROBE_SECONDS
            <= now - estimate.slowdown_at
            < SLOWDOWN_VALID_SECONDS
        ]
