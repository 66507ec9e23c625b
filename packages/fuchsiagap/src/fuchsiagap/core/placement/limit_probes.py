"""Requests to servers whose limit is worth less than a slot while others are free.

Such a server has the highest fullness of all, so it is not chosen while others have
free slots. Without a health check, only the response to a request shows that the limit
was withdrawn.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.placement.choice import Target

# Share of a limit that the probes of all sending nodes use together.
PROBE_SHARE = 0.5
# Minimum milliseconds between two probes of a server by one node.
_MIN_INTERVAL_MS = 1_000.0


class LimitProbes:
    """Decides when one node sends a request to a server only because of its limit.

    Parameters
    ----------
    rng : random.Random
        Spreads the probes of several nodes.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_at: dict[str, Milliseconds] = {}

    def choose(
        self,
        targets: Sequence[Target],
        rates: Mapping[str, float],
        n_senders: int,
        now: Milliseconds,
    ) -> Target | None:
        """Return the server that is due for a probe; None if none is.

        Parameters
        ----------
        targets : sequence of Target
            Servers of the service.
        rates : mapping of str to float
            Limits in requests per second, by incarnation.
        n_senders : int
            Number of nodes that may send requests to them.
        now : float
            Time in milliseconds.
        """
        for instance in [known for known in self._next_at if known not in rates]:
            del self._next_at[instance]
        for target in targets:
            rate = rates.get(target.instance, 0.0)
            if not target.usable or target.limit > 1 or rate <= 0.0:
                continue
            interval = n_senders * MS_PER_S / (PROBE_SHARE * rate)
            interval = max(interval, _MIN_INTERVAL_MS)
            due = self._next_at.get(target.instance)
            if due is None:
                self._next_at[target.instance] = now + self._rng.random() * interval
            elif now >= due and target.others + target.own_in_flight < target.limit:
                self._next_at[target.instance] = now + interval
                return target
        return None
