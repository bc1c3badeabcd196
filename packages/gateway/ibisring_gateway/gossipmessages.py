"""The message in which a router tells others its state."""

__all__ = ['Message', 'decode', 'encode']

import msgspec

from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import partupdates
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import ratelimits
from ibisring_policy.gateway import storereaders
from ibisring_policy.gateway import storereads
from ibisring_policy.gateway import suspects as suspects_module
from ibisring_records import received

SECOND_MS = 1000.0


class Message(msgspec.Struct, array_like=True):
    """Gossip message of one router.

    Messages are encoded as arrays, so the order of the fields is the format.
    An older release ignores the fields that it does not know.  Fields that
    it does not send have their defaults, which describe a router that reads
    the store for itself only.

    Attributes
    ----------
    router : str
        Id of the sender.
    tokens : dict of str to int
        Tokens times layers that the sender has in flight, by engine.
    unreachable : list of str
        Engines that the sender has recently found unreachable.
    endpoints_version : int
        Store version after which the sender has seen every change of
        endpoints, as in force there.  An older release sends the newest row
        instead, which says nothing of removals; it is for older releases only.
    table_version : int
        Version of the routing table in force at the sender.
    slowdowns : dict of str to float
        Slowdown factors of the engines that the sender found slow.
    store_status : layerorders.StoreStatus
        What the sender has seen of the store: unknown, following or lost.
    term : int
        Highest lease term known to the sender.
    holdings : dict of str to (int, int, int)
        Start time, first layer and end of the layers that engines reported
        to the sender during a store outage.
    refusing : list of str
        Engines that refuse the sender's requests.
    domain : str
        The sender's failure domain.
    store_lost_ms : int or None
        Milliseconds since the sender last lost the store, None if never.
    store_access : storereaders.StoreAccess
        Whether the store serves the sender; decides which routers read it.
    router_counts : dict of str to (int, int)
        Running routers by failure domain, and milliseconds since a router of
        that domain reported the number.
    position, table_position : int
        Store versions up to which the sender knows endpoints and table.
    endpoints_era, table_era : int
        Eras of the store versions of endpoints and table.
    leaving : dict of str to int
        Start times of endpoints that have said that they leave.
    age_ms : int
        Milliseconds since the older of the two was read.
    changes : bytes
        Packed `changes.Changes` that the sender has just read.
    link : float
        Speed of the link of the sender's VM in Mbit/s, 0 if unknown.
    reads_store : bool
        Whether the sender calls the store, or has just done so.
    loads : dict of str to (int, int)
        Outstanding requests that endpoints reported to the sender, and
        milliseconds since.
    recovered : list of str
        Engines found unreachable that have answered the sender again.
    suspects : list of suspects.SuspectUpdate
        Requests during which endpoints have crashed.
    limits : dict of str to ratelimits.LimitUpdate
        Request rates that endpoints accept from all routers together.
    takes_requests : bool
        Whether the sender serves requests that other routers hand over.
    active : int
        Requests that the sender runs.
    cut_from : list of str
        Services whose endpoints the sender can't reach.
    parts : list of partupdates.PartUpdate
        Parts of prompts under which endpoints have crashed.
    rank_use : dict of str to list of (int, int, int)
        By service whose requests differ in rank: priorities of account and
        route, and the tokens times layers that the sender has in flight for
        them.  An older release sends none; its `tokens` count as the lowest
        rank.
    link_use : list of (str, str, int, int) or None
        Demand for links between failure domains in bytes per second: pair of
        domains, of new requests, of streams that continue.  None of an older
        release, which does not report it.
    reads : dict of str to storereads.StoreRead
        What the sender knows of each table.  An older release sends none; it
        vouches for nothing.
    is_told : bool
        Whether the sender relies on others to read the store.
    has_reads_only : bool
        Whether all other fields but `age_ms` are to be ignored.  Such a
        message is sent to no router of an older release.
    """

    router: received.Identifier
    tokens: dict[received.Identifier, received.Integer]
    unreachable: list[received.Identifier]
    endpoints_version: received.Version = 0
    table_version: received.Count = 0
    slowdowns: dict[received.Identifier, received.Number] = {}
    store_status: layerorders.StoreStatus = layerorders.StoreStatus.FOLLOWING
    term: received.Count = 0
    holdings: dict[
        received.Identifier,
        tuple[received.Count, received.Layer, received.Layer],
    ] = {}
    refusing: list[received.Identifier] = []
    domain: received.Name = ''
    store_lost_ms: received.Integer | None = None
    store_access: storereaders.StoreAccess = storereaders.StoreAccess.UNSURE
    router_counts: dict[
        received.Name, tuple[received.Count, received.Integer]
    ] = {}
    position: received.Version = 0
    table_position: received.Version = 0
    age_ms: received.Integer = 0
    changes: bytes = b''
    link: received.Number = 0.0
    reads_store: bool = False
    loads: dict[
        received.Identifier, tuple[received.Count, received.Integer]
    ] = {}
    recovered: list[received.Identifier] = []
    suspects: list[suspects_module.SuspectUpdate] = []
    limits: dict[received.Identifier, ratelimits.LimitUpdate] = {}
    endpoints_era: received.Era = 0
    table_era: received.Era = 0
    leaving: dict[received.Identifier, received.Count] = {}
    takes_requests: bool = False
    active: received.Integer = 0
    cut_from: list[received.Name] = []
    parts: list[partupdates.PartUpdate] = []
    rank_use: dict[
        received.Name,
        list[tuple[received.Integer, received.Integer, received.Integer]],
    ] = {}
    link_use: (
        list[
            tuple[
                received.Name,
                received.Name,
                received.Integer,
                received.Integer,
            ]
        ]
        | None
    ) = None
    reads: dict[received.Name, storereads.StoreRead] = {}
    is_told: bool = False
    has_reads_only: bool = False

    @property
    def era(self):
        """The latest era known to the sender."""
        return max(self.endpoints_era, self.table_era)

    @property
    def newest_endpoints(self):
        """The position of `endpoints_version`."""
        return positions.make(self.endpoints_era, self.endpoints_version)

    @property
    def read_endpoints(self):
        """The position up to which the sender knows endpoints."""
        return positions.make(self.endpoints_era, self.position)

    @property
    def read_table(self):
        """The position up to which the sender knows the table."""
        return positions.make(self.table_era, self.table_position)


_STATE_FIELDS = (
    'unreachable',
    'recovered',
    'slowdowns',
    'refusing',
    'holdings',
    'leaving',
    'takes_requests',
    'cut_from',
    'store_status',
)
# Fields whose change others act upon at once, unlike load and router names.
PROMPT_FIELDS = (
    *_STATE_FIELDS,
    'endpoints_version',
    'endpoints_era',
    'table_version',
    'term',
)
# Fields whose change is sent to the whole failure domain at once.  Changes of
# the tables are not among them: `send_changes` sends them as they are read.
URGENT_FIELDS = (*_STATE_FIELDS, 'store_access')


def encode(message):
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode(data):
    """Return the message of some bytes, without items out of bounds.

    Raises
    ------
    MalformedMessage
    """
    return received.decode_msgpack_items(data, Message)
