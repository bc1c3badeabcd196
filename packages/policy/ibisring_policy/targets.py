"""From the name a caller gives to the target it means."""

__all__ = ['resolve_model', 'resolve_service', 'choose_priority']

from ibisring_policy import admission
from ibisring_records import exceptions


def _default_version(configuration, model):
    """Return a model's default version, else its last one by name."""
    named = configuration.models[model].default_version
    if named:
        return named
    versions = [
        name
        for name, spec in configuration.versions.items()
        if spec.model == model
    ]
    if not versions:
        raise exceptions.NotFound(f'model {model} has no version')
    return max(versions)


def resolve_model(configuration, name):
    """Resolve a model, a version or an adapter name.

    Parameters
    ----------
    configuration : configuration.Configuration
    name : str

    Returns
    -------
    admission.Target

    Raises
    ------
    NotFound
    """
    if name in configuration.models:
        version = _default_version(configuration, name)
        return admission.Target(model=name, version=version)
    if name in configuration.versions:
        model = configuration.versions[name].model
        if model in configuration.models:
            return admission.Target(model=model, version=name)
    adapter = configuration.adapters.get(name)
    if adapter is not None and adapter.model in configuration.models:
        version = adapter.version
        if not version:
            version = _default_version(configuration, adapter.model)
        return admission.Target(
            model=adapter.model, version=version, adapter=name
        )
    raise exceptions.NotFound(f'model {name!r}')


def resolve_service(configuration, name):
    """Resolve the name of a plain service.

    Raises
    ------
    NotFound
    """
    if name not in configuration.services():
        raise exceptions.NotFound(f'service {name!r}')
    return admission.Target(service=name)


def choose_priority(configuration, account, wanted, is_service):
    """Return the priority class of a request.

    Parameters
    ----------
    configuration : configuration.Configuration
    account : str
    wanted : str
        '' for the default: the most urgent class allowed for a service,
        the least urgent one for a model.
    is_service : bool

    Returns
    -------
    str
        '' if no priority record exists.

    Raises
    ------
    NotFound, Forbidden
    """
    known = configuration.priorities
    allowed = configuration.accounts[account].priorities or tuple(known)
    if wanted:
        if wanted not in known:
            raise exceptions.NotFound(f'priority {wanted!r}')
        if wanted not in allowed:
            raise exceptions.Forbidden(
                f'account {account} may not use priority {wanted}'
            )
        return wanted
    usable = [name for name in allowed if name in known]
    if not usable:
        return ''
    choose = min if is_service else max
    return choose(usable, key=lambda name: known[name].rank)
