"""Success rates of the requests that begin at one entry node, by kind."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

# Time constant (to 1/e) of the counts, in milliseconds. At ten requests of a kind each
# second about fifty count, and a kind without answers is noticed before its callers
# give up.
DECAY_MS = 5_000.0
# Successful requests that each kind is assumed to start with, so that the first few
# requests do not swing its rates.
_PRIOR_REQUESTS = 5.0


@dataclass(slots=True)
class Served:
    """Decaying counts of the requests of one kind.

    Parameters
    ----------
    admitted, refused : float
        Requests that ended after admission, and requests that were not admitted.
    served : float
        Requests that ended with a successful answer.
    at : float
        Time in milliseconds to which the counts are decayed.
    """

    admitted: float = 0.0
    refused: float = 0.0
    served: float = 0.0
    at: Milliseconds = 0.0

    def share(self) -> float:
        """Return the share of all requests that succeeded."""
        asked = self.admitted + self.refused
        return (self.served + _PRIOR_REQUESTS) / (asked + _PRIOR_REQUESTS)

    def success(self) -> float:
        """Return the share of the admitted requests that succeeded."""
        return (self.served + _PRIOR_REQUESTS) / (self.admitted + _PRIOR_REQUESTS)

    def decay(self, now: Milliseconds) -> None:
        """Decay the counts to a time in milliseconds."""
        factor = math.exp((self.at - now) / DECAY_MS)
        self.admitted *= factor
        self.refused *= factor
        self.served *= factor
        self.at = now


class ServedShares:
    """Counts the outcomes of the requests that begin at one entry node, by kind.

    The admitted share does not show what callers get: of the admitted requests of a
    kind that makes many calls, half may fail further downstream.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, Served] = {}

    def _of(self, route: str, now: Milliseconds) -> Served:
        kind = self._kinds.get(route)
        if kind is None:
            kind = self._kinds[route] = Served(at=now)
        kind.decay(now)
        return kind

    def record_refused(self, route: str, now: Milliseconds) -> None:
        """Count a request that was not admitted."""
        self._of(route, now).refused += 1.0

    def record_end(self, route: str, served: bool, now: Milliseconds) -> None:
        """Count the end of an admitted request.

        Parameters
        ----------
        route : str
            Name of its route.
        served : bool
            Whether it succeeded.
        now : float
            Time in milliseconds.
        """
        kind = self._of(route, now)
        kind.admitted += 1.0
        kind.served += served

    def overall_share(self, now: Milliseconds) -> float:
        """Return the share of the requests of all kinds that succeeded."""
        total = Served()
        for _, kind in self.all(now):
            total.admitted += kind.admitted
            total.refused += kind.refused
            total.served += kind.served
        return total.share()

    def all(self, now: Milliseconds) -> Iterator[tuple[str, Served]]:
        """Yield each route with its counts, leaving out those without requests."""
        for route in sorted(self._kinds):
            kind = self._of(route, now)
            if kind.admitted + kind.refused < 0.5:
                del self._kinds[route]
            else:
                yield route, kind
