"""Changes of the store's tables as routers send them to each other."""

__all__ = ['Changes', 'pack', 'unpack', 'table_changes', 'endpoint_changes']

import zlib

import msgspec

from ibisring_gateway import ports
from ibisring_policy.gateway import tablechanges
from ibisring_records import exceptions
from ibisring_records import routing

# Seconds for which the copies of one message may saturate the sender's link;
# a stream that pauses much longer counts as late.  Larger changes are not
# sent, and each router reads them from the store itself.
MOST_SECONDS = 0.1
# Size limits of a packed message in bytes: if the speed of the link is not
# known, and in any case.
USUAL_PACKED = 8000
MOST_PACKED = 50000
BITS = 8
MBIT = 1e6
# Size limit in bytes after decompression.
MOST_UNPACKED = 1_000_000


class Changes(msgspec.Struct, array_like=True):
    """Changes of one table after version `before`, up to `position`.

    All versions are the store's; `changed` is that of the last change.
    Encoded as an array, so the order of the fields is the format.
    """

    is_table: bool
    before: int
    position: int
    changed: int
    endpoints: list[routing.Endpoint] = []
    gone: list[str] = []
    table: tablechanges.TableChange | None = None

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
            gone = [ports.Removed(name) for name in self.gone]
            return [*self.endpoints, *gone]
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
    return Changes(
        True, before, page.position, page.newest_version, table=change
    )


def endpoint_changes(page, before):
    """Encode a page of endpoints as a change since `before`."""
    last = {item.id: item for item in page.items}
    gone = [n for n, item in last.items() if isinstance(item, ports.Removed)]
    endpoints = [item for name, item in last.items() if name not in set(gone)]
    return Changes(
        False, before, page.position, page.newest_version, endpoints, gone
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
    most = USUAL_PACKED
    if link:
        fits = MOST_SECONDS * link * MBIT / BITS / max(1, copies)
        most = min(MOST_PACKED, fits)
    return packed if len(packed) <= most else b''


def unpack(packed):
    """Decode the `Changes` in a datagram.

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
