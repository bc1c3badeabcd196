"""Choice of the endpoints a router uses among many interchangeable ones."""

__all__ = ['group_key', 'choose_subset']

import xxhash

SUBSET_SIZE = 16


def _hash(router_id, name):
    return xxhash.xxh64_intdigest(f'{router_id}\0{name}'.encode())


def group_key(endpoint):
    """Return the key that is equal for interchangeable endpoints.

    Returns
    -------
    tuple
        Service, model, version, first and last layer.
    """
    spec = endpoint.spec
    return (
        spec.service,
        spec.model,
        spec.version,
        spec.first_layer,
        spec.last_layer,
    )


def choose_subset(router_id, endpoints, size=SUBSET_SIZE):
    """Choose at most `size` endpoints of each group for a router.

    Parameters
    ----------
    router_id : str
    endpoints : iterable of configuration.Endpoint
    size : int
        Maximum for each service, or layer range of a model version.

    Returns
    -------
    list of configuration.Endpoint
        In the order given.

    Notes
    -----
    If each of 380 routers polled all of 1,200 endpoints, polling would use
    up its control traffic budget, and a router needs only enough endpoints
    to choose from.  The subsets are spread over the routers by hash, so that
    an endpoint that joins or leaves changes few subsets.  Leaving endpoints
    don't count towards the size, so that the subset of serving ones stays
    full.
    """
    groups = {}
    for endpoint in endpoints:
        key = (group_key(endpoint), endpoint.spec.state)
        groups.setdefault(key, []).append(endpoint)
    chosen = set()
    for group in groups.values():
        names = sorted(
            (endpoint.name for endpoint in group),
            key=lambda name: _hash(router_id, name),
        )
        chosen.update(names[:size])
    return [e for e in endpoints if e.name in chosen]
