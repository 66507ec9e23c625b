"""Lookup of the nodes that took over the tickets of ended incarnations."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiagap.core.membership.member import Member

# Maximum number of successors followed; bounds the lookup if they form a cycle.
_MAX_CHAIN_LENGTH = 8


@dataclass(slots=True)
class TicketHandOvers:
    """Latest ticket hand-overs announced by members.

    Parameters
    ----------
    max_remembered : int
        Maximum number of hand-overs stored; the oldest are dropped.
    """

    max_remembered: int
    _updates: OrderedDict[tuple[str, int], Member] = field(default_factory=OrderedDict)

    def record(self, update: Member) -> None:
        """Store the hand-over that an update announces, if any."""
        if not update.successor:
            return
        key = (update.node, update.handed_incarnation)
        if key not in self._updates:
            self._updates[key] = update
            if len(self._updates) > self.max_remembered:
                self._updates.popitem(last=False)

    def holder(self, node: str, incarnation: int, members: Mapping[str, Member]) -> str:
        """Return the node that holds the tickets of an incarnation; empty if none.

        A successor that stopped has in turn handed over the tickets that it took over.
        So the chain of successors is followed.

        Parameters
        ----------
        node : str
            Node that issued the tickets.
        incarnation : int
            Incarnation of the node when it issued them.
        members : mapping of str to Member
            Members by name.
        """
        update = self._updates.get((node, incarnation))
        if update is None:
            return ""
        for _ in range(_MAX_CHAIN_LENGTH):
            holder = members.get(update.successor)
            if holder is None or not holder.successor:
                break
            # A successor that has neither restarted nor left holds the tickets itself.
            same_incarnation = holder.incarnation <= update.successor_incarnation
            if same_incarnation and holder.state is not MemberState.LEFT:
                break
            update = holder
        return update.successor
