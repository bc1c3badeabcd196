"""Which route, account and service a request belongs to."""

__all__ = ['Index', 'Match', 'make_index']

from ibisring_records import exceptions
import msgspec


class Match(msgspec.Struct):
    """A request's route, account name and priority (0 is the highest).

    `service_priority` is that of the most urgent route to a model service of
    this route, `account_priority` is None for an account that has none.
    """

    route: object
    account: str
    priority: int
    service_priority: int | None = None
    account_priority: int | None = None

    @property
    def rank(self):
        """Priorities of account and route; a smaller rank is more urgent.

        An account without a priority counts like the most urgent route.
        """
        first = self.account_priority
        if first is None:
            first = self.service_priority
        if first is None:
            first = self.route.priority
        return first, self.route.priority


class Index:
    """A routing table indexed for look-up.

    Parameters
    ----------
    table : routing.RoutingTable

    Attributes
    ----------
    ranked_services : dict of str to (tuple, tuple)
        Model services whose routes differ in priority: their most and least
        urgent rank (`Match.rank`).
    """

    __slots__ = (
        'table',
        'by_host',
        'account_of',
        'services',
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
        self.account_of = {}
        for account in table.accounts or ():
            for key in account.keys:
                self.account_of[key] = account
        self.route_priorities = self._collect_priorities()
        self.ranked_services = self._find_ranked()

    def _collect_priorities(self):
        """Return the priorities of the routes to each model service."""
        found = {}
        for route in self.table.routes:
            for target in route.targets:
                service = self.services.get(target.service)
                if service is not None and service.model is not None:
                    found.setdefault(service.name, set()).add(route.priority)
        return found

    def _find_ranked(self):
        accounts = [
            account.priority
            for account in self.table.accounts or ()
            if account.priority is not None
        ]
        found = {}
        for name, priorities in self.route_priorities.items():
            if len(priorities) > 1:
                first, last = min(priorities), max(priorities)
                found[name] = (
                    (min([first, *accounts]), first),
                    (max([first, *accounts]), last),
                )
        return found

    def _service_priority(self, route):
        """Return the priority of the most urgent route of its services."""
        return min(
            (
                priority
                for target in route.targets
                for priority in self.route_priorities.get(target.service, ())
            ),
            default=None,
        )

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
        return Match(
            route,
            account.name if account else '',
            priority,
            self._service_priority(route),
            account.priority if account else None,
        )

    def _find_route(self, host, path):
        name = host.lower().partition(':')[0]
        for route in self.by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        raise exceptions.NotFound(f'no route for {host}{path}')

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


def make_index(table):
    """Index a routing table."""
    return Index(table)
