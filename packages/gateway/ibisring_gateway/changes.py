"""Changes of the store's tables as one router tells them to another."""

__all__ = ['Changes', 'pack', 'unpack', 'changes_of']

import zlib

import msgspec

from ibisring_gateway import ports
from ibisring_records import exceptions
from ibisring_records import routing

# A page that takes more bytes is not told: some forty copies of it would fill
# the link of a small VM for a second, so each router reads it by itself.
MOST_PACKED = 8000
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
    tables: list[routing.RoutingTable] = []

    @property
    def items(self):
        """Items as a page of the table has them."""
        if self.is_table:
            return list(self.tables)
        return [*self.endpoints, *(ports.Gone(name) for name in self.gone)]


def changes_of(page, before, is_table):
    """Give the `Changes` that a page brought to one who knew `before`."""
    if is_table:
        return Changes(
            True, before, page.position, page.changed, tables=page.items
        )
    last = {item.id: item for item in page.items}
    gone = [n for n, item in last.items() if isinstance(item, ports.Gone)]
    endpoints = [item for name, item in last.items() if name not in set(gone)]
    return Changes(False, before, page.position, page.changed, endpoints, gone)


def pack(changes):
    """Give bytes for a datagram, none if they would be too many."""
    packed = zlib.compress(msgspec.msgpack.encode(changes))
    return packed if len(packed) <= MOST_PACKED else b''


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
