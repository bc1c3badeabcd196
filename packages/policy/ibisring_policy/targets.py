"""Resolution of names in requests to targets and priority classes."""

__all__ = ['resolve_model', 'resolve_service', 'choose_priority']

from ibisring_policy import admission
from ibisring_records import exceptions


def _default_version(configuration, model):
    """Return a model's default version, else the last one by name."""
    default = configuration.models[model].default_version
    if default:
        return default
    versions = [
        name
        for name, spec in configuration.versions.items()
        if spec.model == model
    ]
    if not versions:
        raise exceptions.NotFound(f'model {model} has no version')
    return max(versions)


def resolve_model(configuration, name):
    """Resolve the name of a model, version or adapter.

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


def choose_priority(configuration, account, requested, is_service):
    """Choose the priority class of a request.

    Parameters
    ----------
    configuration : configuration.Configuration
    account : str
    requested : str
        The requested class, or '' for the default: the most urgent allowed
        class for a service, the least urgent one for a model.
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
    if requested:
        if requested not in known:
            raise exceptions.NotFound(f'priority {requested!r}')
        if requested not in allowed:
            raise exceptions.Forbidden(
                f'account {account} may not use priority {requested}'
            )
        return requested
    usable = [name for name in allowed if name in known]
    if not usable:
        return ''
    choose = min if is_service else max
    return choose(usable, key=lambda name: known[name].rank)
