"""What a door lets through to its server of what was handed to one before."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.retries.shares import DoorBudget, Repeat

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.retries.shares import SharedBudget
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import Call

# Weight of one request in the mean number of calls of its route: about the last 20.
_CALLS_WEIGHT = 0.05


class PaidRepeats:
    """Counts what reaches the server of a door, and pays for repeats.

    Parameters
    ----------
    cfg : SharedBudget
        Bounds of all doors of the service together.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Counts repeats by rank, paid for or not.
    rng : random.Random
        Rounds this door's share.

    Attributes
    ----------
    n_doors : callable
        Returns how many doors the service has that are known, this one included.
    """

    def __init__(
        self, cfg: SharedBudget, clock: Clock, event_log: EventLog, rng: random.Random
    ) -> None:
        self._budget = DoorBudget(cfg, clock, rng)
        self._event_log = event_log
        self._calls: dict[str, float] = {}
        self.n_doors: Callable[[], int] = _one

    def adopt(self, cfg: SharedBudget) -> None:
        """Go on under changed bounds."""
        self._budget.adopt(cfg)

    def admits(self, call: Call, failing: float) -> bool:
        """Count an arrival; False if it is a repeat that the budget does not allow.

        Parameters
        ----------
        call : Call
            What arrives.
        failing : float
            Share of what reaches the server that fails there.
        """
        if not call.again:
            if call.repeated:
                self._budget.note_inherited()
            else:
                self._budget.note_first(call.rank)
            return True
        calls = self._calls.get(call.route, 0.0)
        repeat = Repeat(call.rank, call.lot, call.is_call, calls)
        is_paid = self._budget.pay(repeat, self.n_doors(), failing)
        labels = f'rank="{call.rank}",paid="{str(is_paid).lower()}"'
        self._event_log.counts["repeats", labels] += 1
        return is_paid

    def note_answered(self, route: str, calls: int) -> None:
        """Learn how many calls a request of a route made that was answered."""
        known = self._calls.setdefault(route, calls)
        self._calls[route] = known + (calls - known) * _CALLS_WEIGHT


def _one() -> int:
    """Return that no other door is known."""
    return 1
