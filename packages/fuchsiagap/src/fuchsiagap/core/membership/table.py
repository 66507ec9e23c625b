"""View of all cluster members on one node."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import replace
from itertools import chain
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.membership.buckets import BucketHashes
from fuchsiagap.core.membership.changes import ChangeLog
from fuchsiagap.core.membership.contacts import PeerContacts
from fuchsiagap.core.membership.hand_overs import TicketHandOvers
from fuchsiagap.core.membership.member import Member, MemberState, supersedes
from fuchsiagap.core.membership.rings import Rings
from fuchsiagap.core.membership.usable import UsableInstances

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.membership.member import Precedence
    from fuchsiagap.core.membership.settings import MembershipSettings
    from fuchsiagap.core.routing.instance import Instance


class Membership:
    """View of all members on one node.

    A view keeps the newest record of each node. So views that received the same updates
    are equal, whatever the order and the number of times they received them.

    Parameters
    ----------
    cfg : MembershipSettings
        Settings of membership.
    self_member : Member
        Record of this node.
    clock : Clock
        Clock of the process.
    rng : random.Random
        Random number generator.

    Attributes
    ----------
    joined : bool
        Whether another node has received the record of this one. Before that, a record
        of this node with a higher incarnation is from an earlier process whose clock
        was ahead, and this node raises its own incarnation.
    superseded : bool
        Whether a newer process has the name of this node.
    name : str
        Name of this node.
    version : int
        Version of the view, which increases with each change.
    rings : Rings
        Rings of the live members.
    log : ChangeLog
        Changes to be sent to other nodes.
    contacts : PeerContacts
        Last contacts with other nodes.

    See Also
    --------
    fuchsiagap.core.membership.member.supersedes : Order of the records of one node.
    """

    def __init__(
        self,
        cfg: MembershipSettings,
        self_member: Member,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.joined = False
        self.superseded = False
        self.version = 0
        self.rings = Rings(cfg.n_rings)
        self.log = ChangeLog()
        self.contacts = PeerContacts()
        self.name = self_member.node
        self._clock = clock
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._buckets = BucketHashes()
        self._deadlines: dict[str, Milliseconds] = {}
        self._dropped: OrderedDict[str, Precedence] = OrderedDict()
        self._hand_overs = TicketHandOvers(cfg.max_remembered)
        self._usable = UsableInstances()
        self._listeners: list[Callable[[Member | None, Member], None]] = []
        self._store_member(self_member)

    @property
    def self_member(self) -> Member:
        """Record of this node."""
        return self._members[self.name]

    @property
    def unreachable(self) -> frozenset[str]:
        """Names of the data centres of which no node replies."""
        return self._usable.unreachable

    def get(self, node: str) -> Member | None:
        """Return the record of a node; None if it is unknown."""
        return self._members.get(node)

    def is_incarnation_gone(self, update: Member) -> bool:
        """Return whether the incarnation in a record has ended or been replaced."""
        known = self._members.get(update.node)
        if known is None:
            dropped = self._dropped.get(update.node)
            return dropped is not None and dropped[0] >= update.incarnation
        if known.incarnation != update.incarnation:
            return known.incarnation > update.incarnation
        return known.gone

    def members(self) -> tuple[Member, ...]:
        """Return all members, including dead and left ones that are still kept."""
        return tuple(self._members.values())

    def instances(self) -> tuple[Instance, ...]:
        """Return the instances that may receive calls; leaving ones have `leaving` set.

        Instances in unreachable data centres are excluded. Suspected ones are included,
        since most suspicions are refuted. Those declared dead by another node without a
        suspicion known here are included for a grace period.
        """
        return self._usable.all()

    def on_change(self, listener: Callable[[Member | None, Member], None]) -> None:
        """Register a listener for the old and the new record of each changed member."""
        self._listeners.append(listener)

    def on_instances(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called whenever `instances` changes."""
        self._usable.on_change(listener)

    def apply(self, update: Member, source: str = "", spread: bool = True) -> bool:
        """Apply an update about a node.

        Parameters
        ----------
        update : Member
            Record from another node or from the platform.
        source : str, default=""
            Node that sent the update, to which it is not sent back.
        spread : bool, default=True
            Whether to send the update on to the neighbours. Not needed if they are
            certain to have it.

        Returns
        -------
        bool
            Whether the view changed.
        """
        self._hand_overs.record(update)
        if update.node == self.name:
            return self._apply_update_about_self(update)
        known = self._members.get(update.node)
        if known is not None:
            if update is known or not supersedes(update, known):
                return False
        elif update.precedence <= self._dropped.get(update.node, (-1, False, 0, 0)):
            return False
        self._store_member(update, source, spread)
        return True

    def merge(
        self, updates: Iterable[Member], source: str = "", spread: bool = True
    ) -> int:
        """Apply several updates; return how many of them changed the view."""
        return sum(self.apply(update, source, spread) for update in updates)

    def announce_state(self, state: MemberState) -> Member:
        """Announce a new state of this node.

        Parameters
        ----------
        state : MemberState
            New state, such as `LEAVING` or `LEFT`.

        Returns
        -------
        Member
            New record of this node, which is queued to be sent to other nodes.
        """
        return self._update_self(state=state)

    def announce_hand_over(self, successor: str, incarnation: int) -> Member:
        """Announce which node has taken over the tickets of this node.

        Parameters
        ----------
        successor : str
            Node that took over the tickets.
        incarnation : int
            Incarnation that issued the tickets.

        Returns
        -------
        Member
            New record of this node, which is queued to be sent to other nodes.
        """
        holder = self._members.get(successor)
        return self._update_self(
            successor=successor,
            successor_incarnation=0 if holder is None else holder.incarnation,
            handed_incarnation=incarnation,
        )

    def suspect(self, node: str, incarnation: int) -> bool:
        """Mark a node as suspected, since it did not reply to probes.

        A leaving node is not marked, but declared dead after the suspicion timeout.

        Parameters
        ----------
        node : str
            Name of the node.
        incarnation : int
            Incarnation that did not reply. Any other incarnation is not suspected.

        Returns
        -------
        bool
            Whether the view changed.
        """
        known = self._members.get(node)
        if known is None or known.gone or node == self.name:
            return False
        if known.incarnation != incarnation:
            return False
        if known.state is MemberState.ALIVE:
            self._store_member(replace(known, state=MemberState.SUSPECT))
            return True
        deadline = self._clock.now() + self.cfg.suspicion_timeout
        self._deadlines.setdefault(node, deadline)
        return False

    def clear_suspicion(self, node: str) -> None:
        """Cancel the timeout of a leaving node that replies again."""
        known = self._members.get(node)
        if known is not None and known.state is MemberState.LEAVING:
            self._deadlines.pop(node, None)

    def expire(self) -> tuple[str, ...]:
        """Apply expired timeouts.

        Nodes whose suspicion timeout has expired are declared dead, members that have
        been dead or left for `dead_retention` are dropped, and grace periods end.

        Returns
        -------
        tuple of str
            Nodes that are declared dead by this call.
        """
        now = self._clock.now()
        for node in [
            n for n, ends in self._usable.grace_deadlines.items() if ends <= now
        ]:
            self._usable.end_grace(self._members[node])
        due = [node for node, deadline in self._deadlines.items() if deadline <= now]
        died = []
        for node in due:
            known = self._members[node]
            if known.gone:
                self._drop(known)
            else:
                self._store_member(replace(known, state=MemberState.DEAD))
                died.append(node)
        return tuple(died)

    def next_deadline(self) -> Milliseconds:
        """Return the time in milliseconds of the next timeout; infinity if none."""
        times = chain(self._deadlines.values(), self._usable.grace_deadlines.values())
        return min(times, default=math.inf)

    def postpone(self, duration: Milliseconds) -> None:
        """Extend all timeouts by a pause of this process, in milliseconds."""
        for times in (self._deadlines, self._usable.grace_deadlines):
            for node in times:
                times[node] += duration
        self.contacts.postpone(duration)

    def set_reachable(self, data_centre: str, reachable: bool) -> bool:
        """Set whether a data centre is reachable.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        reachable : bool
            Whether any of its nodes replies.

        Returns
        -------
        bool
            Whether this differs from the previous value.
        """
        members = self._members.values()
        return self._usable.set_reachable(data_centre, reachable, members)

    def successor_of(self, node: str, incarnation: int) -> str:
        """Return the node that holds the tickets of an incarnation; empty if none.

        A successor that stopped has in turn handed over the tickets that it took over.
        So the chain of successors is followed.

        Parameters
        ----------
        node : str
            Node that issued the tickets.
        incarnation : int
            Incarnation of the node when it issued them.
        """
        return self._hand_overs.holder(node, incarnation, self._members)

    @property
    def hash(self) -> int:
        """Hash of all live members; equal views have equal hashes."""
        return self._buckets.root

    def digest(self) -> tuple[int, ...]:
        """Return the hash of the live members in each bucket."""
        return self._buckets.hashes()

    def differing(self, digest: tuple[int, ...]) -> tuple[int, ...]:
        """Return the numbers of the buckets whose hash differs from a digest."""
        return self._buckets.differing(digest)

    def bucket(self, number: int) -> tuple[Member, ...]:
        """Return the members of a bucket, including dead and left ones."""
        nodes = self._buckets.nodes(number)
        return tuple(self._members[node] for node in nodes)

    def _apply_update_about_self(self, update: Member) -> bool:
        me = self.self_member
        if update.handed_incarnation > me.handed_incarnation:
            # A record of an earlier incarnation: keep announcing who has its tickets.
            me = self._update_self(
                successor=update.successor,
                successor_incarnation=update.successor_incarnation,
                handed_incarnation=update.handed_incarnation,
            )
        if not supersedes(update, me):
            return False
        if update.incarnation == me.incarnation:
            self._store_member(replace(me, refutation=update.refutation + 1))
            return True
        if self.joined and not update.gone:
            self.superseded = True
            return False
        self._store_member(replace(me, incarnation=update.incarnation + 1))
        return True

    def _update_self(self, **changes: Any) -> Member:
        me = self.self_member
        update = replace(me, refutation=me.refutation + 1, **changes)
        self._hand_overs.record(update)
        self._store_member(update)
        return update

    def _store_member(
        self, member: Member, source: str = "", spread: bool = True
    ) -> None:
        node = member.node
        now = self._clock.now()
        known = self._members.get(node)
        self._members[node] = member
        self.version += 1
        self._dropped.pop(node, None)
        self._move_on_rings(known, member)
        self._buckets.replace(known, member)
        self._set_deadline(member)
        self._usable.replace(known, member, now + self.cfg.suspicion_timeout)
        self.contacts.last_change = now
        if member.gone:
            self.contacts.forget(node)
        if spread:
            self.log.add(node, source)
        for listener in self._listeners:
            listener(known, member)

    def _move_on_rings(self, known: Member | None, member: Member) -> None:
        was_on_ring = known is not None and not known.gone
        if known is not None and was_on_ring:
            if not member.gone and known.data_centre == member.data_centre:
                return
            self.rings.remove(known.data_centre, known.node)
        if not member.gone:
            self.rings.add(member.data_centre, member.node)

    def _set_deadline(self, member: Member) -> None:
        if member.gone:
            self._deadlines[member.node] = self._clock.now() + self.cfg.dead_retention
        elif member.state is MemberState.SUSPECT:
            self._deadlines[member.node] = (
                self._clock.now() + self.cfg.suspicion_timeout
            )
        else:
            self._deadlines.pop(member.node, None)

    def _drop(self, member: Member) -> None:
        node = member.node
        del self._members[node]
        self.version += 1
        del self._deadlines[node]
        self._buckets.replace(member, None)
        self.log.forget(node)
        self._dropped[node] = member.precedence
        if len(self._dropped) > self.cfg.max_remembered:
            self._dropped.popitem(last=False)
