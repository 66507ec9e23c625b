"""The instances that may get calls, kept up with each change of a member."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from fuchsiagap.core.membership.member import Member, MemberState
from fuchsiagap.core.routing.instance import Instance

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Milliseconds


class UsableInstances:
    """The instances of a view that may get calls.

    Attributes
    ----------
    grace_deadlines : dict
        By node: until when one that was called dead without having been suspected
        here is still used, in milliseconds. The word may be of a node that was
        paused or cut off, so the member gets the time to refute it.
    unreachable : frozenset of str
        Data centres of which no node replies; their instances are left out.
    """

    def __init__(self) -> None:
        self.grace_deadlines: dict[str, Milliseconds] = {}
        self.unreachable: frozenset[str] = frozenset()
        self._by_node: dict[str, tuple[Instance, ...]] = {}
        self._listeners: list[Callable[[], None]] = []

    def all(self) -> tuple[Instance, ...]:
        """Return the instances."""
        return tuple(chain.from_iterable(self._by_node.values()))

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever `all` returns something else."""
        self._listeners.append(listener)

    def replace(
        self, known: Member | None, member: Member, grace_ends: Milliseconds
    ) -> None:
        """Take over the change of a member.

        Parameters
        ----------
        known, member : Member
            The old and the new word.
        grace_ends : float
            Until when it is used if it was called dead without warning.
        """
        was_alive = known is not None and known.state is MemberState.ALIVE
        if was_alive and member.state is MemberState.DEAD:
            self.grace_deadlines[member.node] = grace_ends
        else:
            self.grace_deadlines.pop(member.node, None)
        self._refresh(member)

    def end_grace(self, member: Member) -> None:
        """Use a dead member no more."""
        if self.grace_deadlines.pop(member.node, None) is not None:
            self._refresh(member)

    def set_reachable(
        self, data_centre: str, reachable: bool, members: Iterable[Member]
    ) -> bool:
        """Note whether a data centre can be reached; return whether that is new."""
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
