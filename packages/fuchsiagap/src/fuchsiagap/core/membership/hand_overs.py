"""Who holds the tickets of lives that are over."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiagap.core.membership.member import Member

_MAX_STEPS = 8


@dataclass(slots=True)
class TicketHandOvers:
    """The hand-overs a node heard of, the latest ones.

    Parameters
    ----------
    max_remembered : int
        Most hand-overs kept.
    """

    max_remembered: int
    _updates: OrderedDict[tuple[str, int], Member] = field(default_factory=OrderedDict)

    def record(self, update: Member) -> None:
        """Note the hand-over that a word tells of, if it does."""
        if not update.successor:
            return
        key = (update.node, update.handed_incarnation)
        if key not in self._updates:
            self._updates[key] = update
            if len(self._updates) > self.max_remembered:
                self._updates.popitem(last=False)

    def holder(self, node: str, incarnation: int, members: Mapping[str, Member]) -> str:
        """Return the node that holds the tickets of a life; empty if none.

        A successor that stopped has handed over what it had taken over, too.

        Parameters
        ----------
        node, incarnation
            The life that issued the tickets.
        members : mapping
            The members by name.
        """
        update = self._updates.get((node, incarnation))
        if update is None:
            return ""
        for _ in range(_MAX_STEPS):
            holder = members.get(update.successor)
            if holder is None or not holder.successor:
                break
            same_life = holder.incarnation <= update.successor_incarnation
            if same_life and holder.state is not MemberState.LEFT:
                break
            update = holder
        return update.successor
