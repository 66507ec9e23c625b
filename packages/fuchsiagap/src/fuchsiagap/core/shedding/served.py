"""What the callers of one entry got, by the kind of their requests."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

# Milliseconds over which requests are counted (to 1/e): at ten requests a second of a
# kind some fifty count, and a kind that got nothing for as long is seen before its
# callers have given up.
DECAY_MS = 5_000.0
# Requests without an answer yet with which each kind begins, as if all had been served:
# nothing is read from the first few of them.
_BEGUN_WITH = 5.0


@dataclass(slots=True)
class Served:
    """Requests of one kind, those of late counting most.

    Parameters
    ----------
    let_in, refused : float
        Requests that ended after they had been let in, and those that were not.
    served : float
        Requests that ended with an answer of use.
    at : float
        When they were last counted.
    """

    let_in: float = 0.0
    refused: float = 0.0
    served: float = 0.0
    at: Milliseconds = 0.0

    def share(self) -> float:
        """Return the part of all requests that was served."""
        asked = self.let_in + self.refused
        return (self.served + _BEGUN_WITH) / (asked + _BEGUN_WITH)

    def success(self) -> float:
        """Return the part of those let in that was served."""
        return (self.served + _BEGUN_WITH) / (self.let_in + _BEGUN_WITH)

    def fade(self, now: Milliseconds) -> None:
        """Let what was counted weigh less as time passes."""
        kept = math.exp((self.at - now) / DECAY_MS)
        self.let_in *= kept
        self.refused *= kept
        self.served *= kept
        self.at = now


class ServedShares:
    """Counts, kind by kind, the requests that begin at one entry.

    What an entry lets in says nothing of what its callers get: of what was let in of a
    kind whose requests make many calls, half failed further down, and nobody noticed.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, Served] = {}

    def _of(self, route: str, now: Milliseconds) -> Served:
        kind = self._kinds.get(route)
        if kind is None:
            kind = self._kinds[route] = Served(at=now)
        kind.fade(now)
        return kind

    def record_refused(self, route: str, now: Milliseconds) -> None:
        """Count a request that was not let in."""
        self._of(route, now).refused += 1.0

    def record_end(self, route: str, served: bool, now: Milliseconds) -> None:
        """Count the end of a request that was let in."""
        kind = self._of(route, now)
        kind.let_in += 1.0
        kind.served += served

    def overall_share(self, now: Milliseconds) -> float:
        """Return the share of the requests of all kinds that was served."""
        together = Served()
        for _, kind in self.all(now):
            together.let_in += kind.let_in
            together.refused += kind.refused
            together.served += kind.served
        return together.share()

    def all(self, now: Milliseconds) -> Iterator[tuple[str, Served]]:
        """Yield each kind that was asked for of late."""
        for route in sorted(self._kinds):
            kind = self._of(route, now)
            if kind.let_in + kind.refused < 0.5:
                del self._kinds[route]
            else:
                yield route, kind
