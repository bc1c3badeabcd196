"""Lossless conversion between record schema versions.

A spec is stored in the schema version in which it was submitted.
`read_spec` returns the v2 object that the system uses; `merge_spec` lets a
v1 client change a v2 record without erasing the fields that only v2 has.
"""

__all__ = ['decode_spec', 'read_spec', 'convert_spec', 'merge_spec']

import urllib.parse

import msgspec

from ibisring_records import exceptions
from ibisring_records import schemas


def decode_spec(kind, schema, spec):
    """Decode a spec and validate it against its schema.

    Parameters
    ----------
    kind, schema : str
    spec : dict
        As decoded from JSON.

    Returns
    -------
    msgspec.Struct
        An instance of ``schemas.SCHEMAS[kind, schema]``.

    Raises
    ------
    InvalidRecord
        If the kind or schema is unknown or a field is invalid.
    """
    cls = schemas.SCHEMAS.get((kind, schema))
    if cls is None:
        raise exceptions.InvalidRecord(
            f'no schema {schema!r} for kind {kind!r}'
        )
    try:
        return msgspec.convert(spec, cls)
    except msgspec.ValidationError as error:
        raise exceptions.InvalidRecord(f'{kind}: {error}') from error


def _endpoint_to_v2(old):
    address = urllib.parse.urlsplit(old.url).netloc
    first, _, last = old.layers.partition('-')
    state = schemas.EndpointState.SERVING
    if old.drain:
        state = schemas.EndpointState.LEAVING
    try:
        first_layer = int(first or 0)
        last_layer = int(last or 0)
    except ValueError as error:
        raise exceptions.InvalidRecord(
            f'endpoint: layers {old.layers!r} is not FIRST-LAST'
        ) from error
    return {
        'address': address,
        'failure_domain': old.zone,
        'model': old.model,
        'version': old.version,
        'first_layer': first_layer,
        'last_layer': last_layer,
        'service': old.service,
        'state': state.value,
    }


def _endpoint_to_v1(new):
    layers = ''
    if new.model:
        layers = f'{new.first_layer}-{new.last_layer}'
    return {
        'url': f'http://{new.address}',
        'zone': new.failure_domain,
        'model': new.model,
        'version': new.version,
        'layers': layers,
        'service': new.service,
        'drain': new.state is schemas.EndpointState.LEAVING,
    }


def _upgrade(kind, old):
    if kind == 'endpoint':
        return _endpoint_to_v2(old)
    return msgspec.to_builtins(old)


def _downgrade(kind, new):
    if kind == 'endpoint':
        return _endpoint_to_v1(new)
    names = schemas.SCHEMAS[kind, 'v1'].__struct_fields__
    return {name: getattr(new, name) for name in names}


def read_spec(kind, schema, spec):
    """Decode a stored spec of either schema to its v2 object.

    Returns
    -------
    msgspec.Struct
        An instance of the kind's v2 class.

    Raises
    ------
    InvalidRecord
        If the spec can't be decoded; callers keep the record unchanged.

    Examples
    --------
    >>> read_spec('model', 'v1', {'layers': 12}).context_tokens
    8192
    """
    decoded = decode_spec(kind, schema, spec)
    if schema == schemas.LATEST_SCHEMA:
        return decoded
    return decode_spec(kind, schemas.LATEST_SCHEMA, _upgrade(kind, decoded))


def convert_spec(kind, schema, spec, target_schema):
    """Convert a stored spec to another schema version, as builtins."""
    current = read_spec(kind, schema, spec)
    if target_schema == 'v1':
        return msgspec.to_builtins(_downgrade(kind, current))
    return msgspec.to_builtins(current)


def merge_spec(kind, schema, spec, stored_schema, stored_spec):
    """Merge a submitted spec into the stored one.

    Parameters
    ----------
    kind : str
    schema, spec
        As submitted by the operator.
    stored_schema, stored_spec
        As stored now.

    Returns
    -------
    tuple of (str, dict)
        The schema and spec to store.

    Notes
    -----
    A v1 client doesn't see the fields added in v2.  Storing its spec alone
    would reset them: an edit with an old tool would remove an endpoint's
    adapters or an account's weight.  So v1 values replace only the fields
    that v1 has, and the record stays v2.

    Examples
    --------
    >>> merge_spec('model', 'v1', {'layers': 9}, 'v2',
    ...            {'layers': 8, 'context_tokens': 99})
    ('v2', {'layers': 9, 'context_tokens': 99})
    """
    decoded = decode_spec(kind, schema, spec)
    if schema == 'v1' and stored_schema == schemas.LATEST_SCHEMA:
        upgraded = _upgrade(kind, decoded)
        return stored_schema, {**stored_spec, **upgraded}
    return schema, dict(spec)
