"""Which routes are used by backend servers amid their work, and not by callers."""

from __future__ import annotations

from dataclasses import dataclass

# Share of a route's requests that end with a request that runs on their host, from
# which the route counts as one of calls. Of callers' requests some end by chance with
# one of those that run: with 200 running of 5 s, two in five.
LEAST_SHARE = 0.85
# Weight of one request in that share: about the last 20 count.
_WEIGHT = 0.05


@dataclass(slots=True)
class _Seen:
    """Share of a route's requests that ended with one that runs."""

    share: float


class InnerRoutes:
    """Learns from when requests end which routes are those of calls.

    A call that a backend server makes while it runs a request ends when that request
    does, on the same host. Nothing else tells it from a caller's request for certain:
    identifiers need not have a common form.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Seen] = {}

    def is_call(self, route: str, ends_with_one: bool) -> bool:
        """Take in a request, and return whether it is a call.

        Parameters
        ----------
        route : str
            Name of its route.
        ends_with_one : bool
            Whether it ends when a request ends that runs on its host now.
        """
        seen = self._routes.get(route)
        if seen is None:
            seen = self._routes[route] = _Seen(float(ends_with_one))
        seen.share += (ends_with_one - seen.share) * _WEIGHT
        return ends_with_one and seen.share >= LEAST_SHARE
