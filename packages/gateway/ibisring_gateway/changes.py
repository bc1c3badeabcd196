"""Changes of the store's tables as one router tells them to another."""

__all__ = ['Changes', 'pack', 'unpack', 'table_changes', 'endpoint_changes']

import zlib

import msgspec

from ibisring_gateway import ports
from ibisring_policy.gateway import tablechanges
from ibisring_records import exceptions
from ibisring_records import routing

# Seconds for which the copies of one message may fill the teller's link;
# streams may pause not much longer.  What takes more is not told, and each
# router reads it by itself.
MOST_SECONDS = 0.1
# Bytes of a message where the link is not known, and of any.
USUAL_PACKED = 8000
MOST_PACKED = 50000
BITS = 8
MBIT = 1e6
# Largest size of what is unpacked, in bytes.
MOST_UNPACKED = 1_000_000


class Changes(msgspec.Struct, array_like=True):
    """What changed in one table after `before`, up to `position`.

    All three versions are the store's; `changed` is that of the last change.
    """

    is_table: bool
    before: int
    position: int
    changed: int
    endpoints: list[routing.Endpoint] = []
    gone: list[str] = []
    table: tablechanges.TableChange | None = None

    def items(self, known):
        """Give the items that a page would have had.

        Parameters
        ----------
        known : routing.RoutingTable or None
            The table in force here.

        Returns
        -------
        list or None
            None if the change is based on another table.
        """
        if not self.is_table:
            gone = [ports.Removed(name) for name in self.gone]
            return [*self.endpoints, *gone]
        if known is None or known.version != self.table.base:
            return None
        return [tablechanges.apply_change(known, self.table)]


def table_changes(page, before, known):
    """Give what a page of routing tables brought to one who knew `before`.

    Parameters
    ----------
    page : ports.Page
    before : int
        The store's version.
    known : routing.RoutingTable or None
        The table that was in force.

    Returns
    -------
    Changes or None
        None if that can't be told in short.
    """
    if known is None:
        return None
    change = tablechanges.compute_change(known, page.items[-1])
    if change is None:
        return None
    return Changes(
        True, before, page.position, page.newest_version, table=change
    )


def endpoint_changes(page, before):
    """Give what a page of endpoints brought to one who knew `before`."""
    last = {item.id: item for item in page.items}
    gone = [n for n, item in last.items() if isinstance(item, ports.Removed)]
    endpoints = [item for name, item in last.items() if name not in set(gone)]
    return Changes(
        False, before, page.position, page.newest_version, endpoints, gone
    )


def pack(changes, copies, link):
    """Give bytes for a datagram, none if they would be too many.

    Parameters
    ----------
    changes : Changes
    copies : int
        How many routers are told.
    link : float
        Speed of the link in Mbit/s, 0 if it is not known.

    Returns
    -------
    bytes
    """
    packed = zlib.compress(msgspec.msgpack.encode(changes))
    most = USUAL_PACKED
    if link:
        fits = MOST_SECONDS * link * MBIT / BITS / max(1, copies)
        most = min(MOST_PACKED, fits)
    return packed if len(packed) <= most else b''


def unpack(packed):
    """Give the `Changes` in a datagram.

    Raises
    ------
    MalformedMessage
    """
    try:
        reader = zlib.decompressobj()
        data = reader.decompress(packed, MOST_UNPACKED)
        return msgspec.msgpack.decode(data, type=Changes)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise exceptions.MalformedMessage(f'changes: {error}') from error
