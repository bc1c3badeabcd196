"""One router's own links to all endpoints, and the ways to cut them."""

__all__ = ['Cut', 'EndpointLinks', 'StoreView', 'make_endpoint_links']

import base64
import enum
import json
import threading

from ibisring_soak import proxy
from ibisring_web import serving

# Each router makes two long polls, beside short calls.
STORE_THREADS = 8


class Cut(enum.StrEnum):
    """How links are cut.

    With `SILENT` open connections drop all bytes and new ones hang; with
    `RESET` open ones are reset and new ones refused; with `REFUSE` open ones
    work and new ones are refused; with `ONE_WAY` nothing arrives from the
    endpoints.
    """

    SILENT = 'silent'
    RESET = 'reset'
    REFUSE = 'refuse'
    ONE_WAY = 'one_way'


class EndpointLinks:
    """Links of one router, a proxy for each endpoint's address.

    Parameters
    ----------
    aliases : dict of str to str
        Gets the endpoint's own address for that of each link.
    """

    def __init__(self, aliases):
        self.aliases = aliases
        self.by_address = {}
        self.lock = threading.Lock()

    def address(self, target):
        """Return the address at which the router reaches an endpoint."""
        with self.lock:
            link = self.by_address.get(target)
            if link is None:
                link = self.by_address[target] = proxy.make_proxy(target)
                self.aliases[link.address] = target
            return link.address

    def cut(self, cut, share=1.0):
        """Cut a share of the links, until `restore`."""
        links = list(self.by_address.values())
        for link in links[: round(share * len(links))]:
            _cut(link, cut)

    def restore(self):
        """Let all links work again."""
        for link in list(self.by_address.values()):
            link.reopen()
            link.restore()
            # Their endpoints would wait for the dropped bytes, each with a
            # thread of its own.
            link.reset_silenced()

    def stop(self):
        """Close all links."""
        for link in self.by_address.values():
            link.stop()


def _cut(link, cut):
    if cut is Cut.SILENT:
        link.silence(('up', 'down'))
        link.hang()
    elif cut is Cut.RESET:
        link.crash()
    elif cut is Cut.REFUSE:
        link.close_port()
    else:
        link.silence(('down',))
        link.hang()


class StoreView:
    """The store as one router sees it, with the addresses of its own links.

    Parameters
    ----------
    store : standinstore.Store
    links : EndpointLinks
    """

    def __init__(self, store, links):
        self.store = store
        self.links = links
        self.listener = serving.make_listener(
            self.app, threads=STORE_THREADS
        ).start()
        self.address = self.listener.address

    def app(self, environ, start_response):
        """Handle a call (WSGI application)."""
        response = self.store.respond(environ)
        body = json.loads(response.get_data())
        rows = body.get('Rows', [])
        body['Rows'] = [self._with_own_address(row) for row in rows]
        response.set_data(json.dumps(body))
        return response(environ, start_response)

    def _with_own_address(self, row):
        if row['Table'] != 'servers' or 'Value' not in row:
            return row
        entry = json.loads(base64.b64decode(row['Value']))
        entry['Address'] = self.links.address(entry['Address'])
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        return {**row, 'Value': value}

    def stop(self):
        """Stop listening."""
        self.listener.stop()


def make_endpoint_links(aliases):
    """Make `EndpointLinks` without links yet."""
    return EndpointLinks(aliases)
