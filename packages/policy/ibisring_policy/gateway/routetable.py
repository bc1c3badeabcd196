"""Which route, account and service a request belongs to."""

__all__ = ['Index', 'Match', 'make_index']

from ibisring_records import exceptions
import msgspec


class Match(msgspec.Struct):
    """A request's route, account name and priority (0 is the highest)."""

    route: object
    account: str
    priority: int


class Index:
    """A routing table indexed for look-up.

    Parameters
    ----------
    table : routing.RoutingTable

    Attributes
    ----------
    ranked_services : dict of str to (tuple, tuple)
        Model services whose routes differ in priority: their most and least
        urgent rank, see `rank`.
    """

    __slots__ = (
        'table',
        'by_host',
        'account_of',
        'services',
        'route_of',
        'account_priorities',
        'route_priorities',
        'ranked_services',
    )

    def __init__(self, table):
        self.table = table
        self.services = {each.name: each for each in table.services}
        self.by_host = {}
        for route in table.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self.route_of = {route.name: route for route in table.routes}
        self.route_priorities = _priorities_by_service(table.routes)
        self.account_of = {}
        self.account_priorities = {}
        for account in table.accounts or ():
            self.account_priorities[account.name] = account.priority
            for key in account.keys:
                self.account_of[key] = account
        self.ranked_services = self._find_ranked()

    def _find_ranked(self):
        """Return the most and the least urgent rank of each such service."""
        accounts = [
            account.priority
            for account in self.table.accounts or ()
            if account.priority is not None
        ]
        found = {}
        for name, priorities in self.route_priorities.items():
            if self.has_ranks(name):
                first, last = min(priorities), max(priorities)
                found[name] = (
                    (min([first, *accounts]), first),
                    (max([first, *accounts]), last),
                )
        return found

    def find(self, host, path, key):
        """Return the match of a request.

        Parameters
        ----------
        host, path : str
            The route of the host with the longest matching prefix is used.
        key : str or None
            The API key of the caller.

        Returns
        -------
        Match

        Raises
        ------
        NotFound
            No route matches the request.
        Unauthorized
            The route requires the key of an account.
        """
        route = self._find_route(host, path)
        if self.table.accounts is None or route.public:
            account = self.account_of.get(key)
        else:
            account = self.account_of.get(key)
            if account is None:
                raise exceptions.Unauthorized('no account holds this key')
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return Match(route, account.name if account else '', priority)

    def _find_route(self, host, path):
        name = host.lower().partition(':')[0]
        for route in self.by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        raise exceptions.NotFound(f'no route for {host}{path}')

    def rank(self, route, account, service):
        """Return the rank of a request, smaller first.

        Parameters
        ----------
        route : routing.Route
            The table's route of the same name is used if it has one: the
            request may have been matched by an older table.
        account, service : str

        Returns
        -------
        (int, int)
            Priority of the account or, if it has none, of the service's most
            urgent route; priority of the route.
        """
        route = self.route_of.get(route.name, route)
        priority = self.account_priorities.get(account)
        if priority is None:
            of_routes = self.route_priorities.get(service)
            priority = min(of_routes) if of_routes else route.priority
        return priority, route.priority

    def has_ranks(self, service):
        """Return whether the routes to a model service differ in priority."""
        found = self.services.get(service)
        if found is None or found.model is None:
            return False
        return len(self.route_priorities.get(service, ())) > 1

    def pick_service(self, route, draw):
        """Choose the service for a request, by the weights of the targets.

        Parameters
        ----------
        route : routing.Route
        draw : float
            Random number from the interval [0, 1).

        Returns
        -------
        routing.Service or None
            None if the table does not contain the chosen service.
        """
        total = sum(target.weight for target in route.targets)
        point = draw * total
        for target in route.targets:
            point -= target.weight
            if point < 0:
                return self.services.get(target.service)
        return None


def _priorities_by_service(routes):
    """Return the priorities of the routes to each service."""
    found = {}
    for route in routes:
        for target in route.targets:
            found.setdefault(target.service, set()).add(route.priority)
    return found


def make_index(table):
    """Index a routing table."""
    return Index(table)
