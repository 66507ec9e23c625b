"""Instances that may receive calls, updated with each change of a member."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from fuchsiagap.core.membership.member import Member, MemberState
from fuchsiagap.core.routing.instance import Instance

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Milliseconds


class UsableInstances:
    """Instances of a view that may receive calls.

    Attributes
    ----------
    grace_deadlines : dict of str to float
        Time in milliseconds, by node, until which a member is still used after another
        node declared it dead without a suspicion known here. That node may have been
        paused or partitioned, so the member gets time to refute it.
    unreachable : frozenset of str
        Data centres of which no node replies; their instances are excluded.
    """

    def __init__(self) -> None:
        self.grace_deadlines: dict[str, Milliseconds] = {}
        self.unreachable: frozenset[str] = frozenset()
        self._by_node: dict[str, tuple[Instance, ...]] = {}
        self._listeners: list[Callable[[], None]] = []

    def all(self) -> tuple[Instance, ...]:
        """Return all instances that may receive calls."""
        return tuple(chain.from_iterable(self._by_node.values()))

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called whenever the result of `all` changes."""
        self._listeners.append(listener)

    def replace(
        self, known: Member | None, member: Member, grace_ends: Milliseconds
    ) -> None:
        """Apply a change of a member.

        Parameters
        ----------
        known : Member or None
            Previous record, if any.
        member : Member
            New record.
        grace_ends : float
            Time in milliseconds until which the member is still used if the change is
            from alive to dead without a suspicion.
        """
        was_alive = known is not None and known.state is MemberState.ALIVE
        if was_alive and member.state is MemberState.DEAD:
            self.grace_deadlines[member.node] = grace_ends
        else:
            self.grace_deadlines.pop(member.node, None)
        self._refresh(member)

    def end_grace(self, member: Member) -> None:
        """Remove the instances of a dead member at the end of its grace period."""
        if self.grace_deadlines.pop(member.node, None) is not None:
            self._refresh(member)

    def set_reachable(
        self, data_centre: str, reachable: bool, members: Iterable[Member]
    ) -> bool:
        """Set whether a data centre is reachable; return whether that is a change."""
        if reachable == (data_centre not in self.unreachable):
            return False
        self.unreachable ^= {data_centre}
        for member in members:
            if member.data_centre == data_centre:
                self._refresh(member)
        return True

    def _refresh(self, member: Member) -> None:
        found = self._instances_of(member)
        if found == self._by_node.get(member.node, ()):
            return
        if found:
            self._by_node[member.node] = found
        else:
            del self._by_node[member.node]
        for listener in self._listeners:
            listener()

    def _instances_of(self, member: Member) -> tuple[Instance, ...]:
        is_used = not member.gone or member.node in self.grace_deadlines
        if not is_used or member.data_centre in self.unreachable:
            return ()
        return tuple(
            Instance(
                node=member.node,
                incarnation=member.incarnation,
                address=member.address,
                data_centre=member.data_centre,
                service=service,
                leaving=member.state is MemberState.LEAVING,
            )
            for service in member.services
        )
