"""Estimates of the requests at endpoints."""

__all__ = ['LoadEstimates']

from ibisring_policy.gateway import endpointestimate

# A load report older than this is ignored: of an endpoint of a plain service,
# and of a first stage, whose requests last longer.
MAX_REPORT_AGE_SECONDS = 1.0
MAX_FIRST_STAGE_REPORT_AGE_SECONDS = 2.0


class LoadEstimates(endpointestimate.Estimates):
    """Counts own requests, and keeps the loads that endpoints reported."""

    def reserve(self, stages, tokens):
        """Count a request at each stage of its chain."""
        for position, stage in enumerate(stages):
            estimate = self.get(stage.endpoint)
            estimate.active += 1
            estimate.tokens += tokens * (stage.end - stage.first)
            estimate.first_stage_requests += 1 if position == 0 else 0

    def release(self, stages, tokens):
        """Undo `reserve`."""
        for position, stage in enumerate(stages):
            estimate = self.get(stage.endpoint)
            estimate.active -= 1
            estimate.tokens -= tokens * (stage.end - stage.first)
            estimate.first_stage_requests -= 1 if position == 0 else 0

    def note_load(self, name, load, now):
        """Note the running and waiting requests that an endpoint reported."""
        estimate = self.get(name)
        estimate.reported_load = load
        estimate.active_at_report = estimate.active
        estimate.first_stages_at_report = estimate.first_stage_requests
        estimate.reported_at = now
        estimate.load_from_peer = False

    def loads_to_send(self, now):
        """Return the loads that endpoints reported to this router itself.

        Returns
        -------
        dict of str to (int, int)
            Running and waiting requests, and the report's age in ms.
        """
        return {
            name: (
                estimate.reported_load,
                int((now - estimate.reported_at) * 1000.0),
            )
            for name, estimate in self.by_endpoint.items()
            if now - estimate.reported_at < MAX_REPORT_AGE_SECONDS
            and not estimate.load_from_peer
        }

    def merge_loads(self, loads, now):
        """Merge the loads that endpoints reported to another router.

        One of hundreds of routers sends an endpoint too few requests to
        learn its load from the responses to these alone.

        Parameters
        ----------
        loads : dict of str to (int, int)
            As returned by `loads_to_send`.
        now : float
        """
        for name, (load, age_ms) in loads.items():
            estimate = self.by_endpoint.get(name)
            at = now - age_ms / 1000.0
            if estimate is not None and at > estimate.reported_at:
                self.note_load(name, load, at)
                estimate.load_from_peer = True

    def first_stage_load(self, name, now):
        """Estimate the requests of which an engine is the first stage."""
        estimate = self.get(name)
        others = max(
            0, estimate.reported_load - estimate.first_stages_at_report
        )
        if now - estimate.reported_at > MAX_FIRST_STAGE_REPORT_AGE_SECONDS:
            others = 0
        return estimate.first_stage_requests + others

    def queue_length(self, name, now):
        """Estimate the requests at an endpoint of a plain service.

        The part sent by other routers is taken from the latest load report;
        this router's own requests are counted as they are now.
        """
        estimate = self.get(name)
        others = max(0, estimate.reported_load - estimate.active_at_report)
        if now - estimate.reported_at > MAX_REPORT_AGE_SECONDS:
            others = 0
        return estimate.active + others
