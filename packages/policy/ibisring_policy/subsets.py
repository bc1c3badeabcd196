"""Which endpoints a router uses when there are many alike."""

__all__ = ['kind_of', 'choose_subset']

import xxhash

SUBSET_SIZE = 16


def _rank(router_id, name):
    return xxhash.xxh64_intdigest(f'{router_id}\0{name}'.encode())


def kind_of(endpoint):
    """Return what endpoints that can take each other's place have in common.

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
    """Choose at most so many endpoints of each kind for a router.

    Parameters
    ----------
    router_id : str
    endpoints : iterable of configuration.Endpoint
    size : int
        For each service, or layer range of a model version.

    Returns
    -------
    list of configuration.Endpoint
        In the order given.

    Notes
    -----
    1,200 endpoints can't be watched by 380 routers: each would spend its
    whole control budget on it.  A router needs only as many as give it
    choice.  The rest are spread over the other routers by hash, and an
    endpoint that joins or leaves changes few choices.  Those that are
    leaving are not chosen, so that the subset stays full.
    """
    groups = {}
    for endpoint in endpoints:
        key = (kind_of(endpoint), endpoint.spec.state)
        groups.setdefault(key, []).append(endpoint)
    chosen = set()
    for group in groups.values():
        names = sorted(
            (endpoint.name for endpoint in group),
            key=lambda name: _rank(router_id, name),
        )
        chosen.update(names[:size])
    return [e for e in endpoints if e.name in chosen]
