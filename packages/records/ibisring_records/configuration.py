"""The active configuration: an immutable view with indexes.

A `Configuration` is replaced as a whole, so a request that keeps a reference
to one uses the same records from start to end.
"""

__all__ = ['Configuration', 'Endpoint', 'build']

import msgspec

from ibisring_records import conversion
from ibisring_records import exceptions
from ibisring_records import schemas


class Endpoint(msgspec.Struct, frozen=True):
    """An endpoint record with its name."""

    name: str
    spec: schemas.EndpointV2


class Configuration(msgspec.Struct, frozen=True):
    """Readable records by kind and name, at one revision.

    `unreadable` maps the keys of records that can't be decoded to the error
    detail.  Such records stay in the table service and are reported; no
    default takes their place.
    """

    revision: int
    models: dict[str, schemas.ModelV2]
    versions: dict[str, schemas.VersionV2]
    adapters: dict[str, schemas.AdapterV2]
    accounts: dict[str, schemas.AccountV2]
    priorities: dict[str, schemas.PriorityV2]
    endpoints: dict[str, Endpoint]
    account_by_hash: dict[str, str]
    unreadable: dict[str, str]

    def services(self):
        """Return the sorted names of the plain services."""
        names = {e.spec.service for e in self.endpoints.values()}
        return sorted(names - {''})

    def service_endpoints(self, service):
        """Return the endpoints of a plain service."""
        endpoints = self.endpoints.values()
        return [e for e in endpoints if e.spec.service == service]

    def model_endpoints(self, model, version):
        """Return the engines that hold layers of a model version."""
        return [
            e
            for e in self.endpoints.values()
            if e.spec.model == model and e.spec.version == version
        ]


def build(revision, stored):
    """Build a configuration from stored records.

    Parameters
    ----------
    revision : int
    stored : iterable of records.Stored

    Returns
    -------
    Configuration
    """
    by_kind = {kind: {} for kind in schemas.KINDS}
    unreadable = {}
    for record in stored:
        if record.deleted:
            continue
        try:
            spec = conversion.read_spec(
                record.kind, record.schema, record.spec
            )
        except exceptions.InvalidRecord as error:
            unreadable[f'{record.kind}/{record.name}'] = error.detail
            continue
        by_kind[record.kind][record.name] = spec
    endpoints = {
        name: Endpoint(name, spec)
        for name, spec in by_kind['endpoint'].items()
    }
    accounts = by_kind['account']
    return Configuration(
        revision=revision,
        models=by_kind['model'],
        versions=by_kind['version'],
        adapters=by_kind['adapter'],
        accounts=accounts,
        priorities=by_kind['priority'],
        endpoints=endpoints,
        account_by_hash={a.key_sha256: n for n, a in accounts.items()},
        unreadable=unreadable,
    )
