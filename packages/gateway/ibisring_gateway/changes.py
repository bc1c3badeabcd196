"""Changes of the store's tables as routers send them to each other."""

__all__ = ['Changes', 'pack', 'unpack', 'table_changes', 'endpoint_changes']

import logging
import zlib

import msgspec

from ibisring_gateway import ports
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import tablechanges
from ibisring_records import exceptions
from ibisring_records import received
from ibisring_records import routing

LOG = logging.getLogger(__name__)
# Seconds for which the copies of one message may saturate the sender's link;
# a stream that pauses much longer counts as late.  Larger changes are not
# sent, and each router reads them from the store itself.
MAX_LINK_SECONDS = 0.1
# Size limits of a packed message in bytes: if the speed of the link is not
# known, and in any case.
DEFAULT_PACKED_BYTES = 8000
MAX_PACKED_BYTES = 50000
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1e6
# Size limit in bytes after decompression.
MAX_UNPACKED_BYTES = 1_000_000


class _Named(msgspec.Struct):
    id: received.Identifier


class Changes(msgspec.Struct, array_like=True):
    """Changes of one table after version `before`, up to `position`.

    All versions are the store's, in its era `era`; `newest_version` is that of
    the last change.  Encoded as an array, so the order of the fields is the
    format.
    """

    is_table: bool
    before: received.Version
    position: received.Version
    newest_version: received.Version
    endpoints: list[routing.Endpoint] = []
    removed: list[received.Identifier] = []
    table: tablechanges.TableChange | None = None
    era: received.Era = 0

    @property
    def positions(self):
        """The positions `before`, `position` and `newest_version`."""
        versions = self.before, self.position, self.newest_version
        return tuple(positions.make(self.era, each) for each in versions)

    def items(self, known):
        """Return the items that a page of the store would contain.

        Parameters
        ----------
        known : routing.RoutingTable or None
            The table in force here.

        Returns
        -------
        list or None
            None if the change is relative to another table.
        """
        if not self.is_table:
            removed = [ports.Removed(name) for name in self.removed]
            return [*self.endpoints, *removed]
        if known is None or known.version != self.table.base:
            return None
        return [tablechanges.apply_change(known, self.table)]


def table_changes(page, before, known):
    """Encode a page of routing tables as a change since `before`.

    Parameters
    ----------
    page : ports.Page
    before : int
        Store version that the page follows.
    known : routing.RoutingTable or None
        The table in force before the page.

    Returns
    -------
    Changes or None
        None if the change has no short form.
    """
    if known is None:
        return None
    change = tablechanges.compute_change(known, page.items[-1])
    if change is None:
        return None
    return _make_changes(page, before, True, table=change)


def endpoint_changes(page, before):
    """Encode a page of endpoints as a change since `before`."""
    last_by_id = {item.id: item for item in page.items}
    removed = [
        n for n, item in last_by_id.items() if isinstance(item, ports.Removed)
    ]
    endpoints = [
        item for name, item in last_by_id.items() if name not in set(removed)
    ]
    return _make_changes(
        page, before, False, endpoints=endpoints, removed=removed
    )


def _make_changes(page, before, is_table, **items):
    """Make changes after a position that may be of an earlier era.

    Nothing changed from there to the page, so that the change follows all
    versions of the page's era.
    """
    era = positions.era(page.position)
    is_same_era = positions.era(before) == era
    return Changes(
        is_table,
        positions.version(before) if is_same_era else 0,
        positions.version(page.position),
        positions.version(page.newest_version),
        era=era,
        **items,
    )


def pack(changes, copies, link):
    """Compress changes for a datagram.

    Parameters
    ----------
    changes : Changes
    copies : int
        Number of routers that the datagram is sent to.
    link : float
        Speed of the link in Mbit/s, 0 if it is not known.

    Returns
    -------
    bytes
        Empty if the result is too large to send.
    """
    packed = zlib.compress(msgspec.msgpack.encode(changes))
    max_bytes = DEFAULT_PACKED_BYTES
    if link:
        link_bytes = (
            MAX_LINK_SECONDS
            * link
            * BITS_PER_MBIT
            / BITS_PER_BYTE
            / max(1, copies)
        )
        max_bytes = min(MAX_PACKED_BYTES, link_bytes)
    return packed if len(packed) <= max_bytes else b''


def unpack(packed):
    """Decode the `Changes` in a datagram.

    Raises
    ------
    MalformedMessage
    """
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise exceptions.MalformedMessage(f'changes: {error}') from error
    try:
        changes = received.decode_msgpack(data, Changes)
    except exceptions.MalformedMessage:
        changes = _unpack_items(received.decode_msgpack(data))
    if changes.is_table and changes.table is None:
        raise exceptions.MalformedMessage('changes without a table')
    return changes


def _unpack_items(value):
    """Return changes some of whose items are out of bounds.

    An endpoint that is can't be used any more: it counts as removed, as it
    does for a router that reads its entry.
    """
    changes = received.convert_items(value, Changes, needed=('era',))
    known = {endpoint.id for endpoint in changes.endpoints}
    index = Changes.__struct_fields__.index('endpoints')
    for item in value[index] if len(value) > index else ():
        try:
            name = received.check(item, _Named).id
        except exceptions.MalformedMessage as error:
            LOG.debug('an item without an id: %s', error.detail)
            continue
        if name not in known:
            changes.removed.append(name)
    return changes
