"""Known nodes, and links to all nodes of small services and to some of large ones."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from fuchsiagap.core.routing.subset import rendezvous_rank
from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

    import trio

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import Hello
    from fuchsiagap_node.core.mesh.peers import Peers
    from fuchsiagap_node.core.mesh.poller import Poller

# Number of nodes of one service that a node keeps links to, in its own data centre and
# in all others. Each restart reopens every link at both ends and each link is pinged;
# in a fleet of 81 nodes these limits give 32 links per node instead of 80. A placement
# compares at most six servers in its own data centre and six in all others. An idle
# node among 60 uses 5.31 ms of processor time per second with these limits, and 6.97 ms
# with 10 and 6.
LOCAL_LINKS = 8
REMOTE_LINKS = 3
# Number of nodes, the first ones by name in each data centre, that every other node
# there links to in addition. These watch the configuration, and a node without a link
# to any of them watches it too. In a data centre of 320 nodes each of the two has that
# many inbound links, of 12 to 22 KB each.
WATCHER_LINKS = 2
# Number of new nodes up to which each gets a log event. More at the same time, as at a
# start, share one event: otherwise 195 nodes that start together write 38,000 lines.
_MAX_SINGLE_EVENTS = 5
# Number of services up to which all are linked, requested or not. With 220 services a
# node would hold up to 2,400 links, most of them to services that no caller on its host
# requests.
_MAX_EAGER_SERVICES = 16
# Milliseconds without data after which a node no longer counts towards `LOCAL_LINKS`,
# `REMOTE_LINKS` and `WATCHER_LINKS`, and the next one is linked in addition.
_UNREACHABLE_MS = 3_000.0
# Milliseconds for which a link is kept after `ensure_link` requested it.
_REQUESTED_LINK_TTL_MS = 60_000.0


class OutboundLinks:
    """Known nodes, and links to those that requests may be sent to.

    Parameters
    ----------
    own : Member
        This node.
    hello : Hello
        First message on each link, which describes this node.
    peers : Peers
        Receives each link as a peer that calls can be sent to.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log.
    poller : Poller
        Reports readable connections.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Runs the tasks of the links; None until the node serves.
    on_link : callable
        Called with each new link before it is opened.
    n_changes : int
        Number of changes of the set of known nodes so far.
    """

    def __init__(
        self,
        own: Member,
        hello: Hello,
        peers: Peers,
        clock: Clock,
        event_log: EventLog,
        poller: Poller,
    ) -> None:
        self._poller = poller
        self._own = own
        self._hello = hello
        self._peers = peers
        self._clock = clock
        self._event_log = event_log
        self._known: dict[str, Member] = {}
        self._links: dict[str, OutboundLink] = {}
        # Members by service and by whether they are in this data centre, in order of
        # preference.
        self._ranked: dict[tuple[str, bool], list[Member]] = {}
        # Members in this data centre, sorted by name.
        self._local_members: list[Member] = []
        self._n_known: Counter[str] = Counter()
        self._by_data_centre: dict[str, list[str]] = {}
        self._requested_at: dict[str, Milliseconds] = {}
        self.n_changes = 0
        self.nursery: trio.Nursery | None = None
        self.on_link: Callable[[OutboundLink], None] = _ignore
        peers.on_first_request = self.update_links

    def __iter__(self) -> Iterator[OutboundLink]:
        return iter(list(self._links.values()))

    def n_known_nodes(self, service: str) -> int:
        """Return the number of known nodes of a service, linked or not."""
        return self._n_known[service]

    def known_nodes(self) -> Iterable[str]:
        """Return the names of all known nodes except this one."""
        return self._known.keys()

    def by_data_centre(self) -> Mapping[str, Sequence[str]]:
        """Return the known nodes by data centre, in order of preference."""
        return self._by_data_centre

    def ensure_link(self, node: str) -> OutboundLink | None:
        """Return a link to a node, opened if needed; None if the node is unknown.

        The link is kept as long as it is requested again from time to time.
        """
        member = self._known.get(node)
        if member is None or self.nursery is None:
            return None
        self._requested_at[node] = self._clock.now()
        return self._get_or_open(member, member.data_centre == self._own.data_centre)

    def handle_hello(self, hello: Hello) -> None:
        """Add a node that has opened a link to this one."""
        member = Member(
            hello.node,
            hello.incarnation,
            hello.address,
            hello.data_centre,
            hello.service,
        )
        self.add_members([member])

    def add_members(self, members: Iterable[Member]) -> None:
        """Add nodes, and open the links to them that this node needs."""
        new_members = [m for m in members if self._is_new(m)]
        for member in new_members:
            self._drop_link(member.node)
            self._known[member.node] = member
        if len(new_members) > _MAX_SINGLE_EVENTS:
            services = Counter(member.service for member in new_members)
            self._event_log.event(
                "nodes-known", nodes=len(new_members), services=services
            )
        else:
            for member in new_members:
                self._event_log.event(
                    "node-known",
                    node=member.node,
                    service=member.service,
                    address=member.address,
                )
        if new_members:
            self._rank_members()
            self.update_links()

    def _is_new(self, member: Member) -> bool:
        known = self._known.get(member.node)
        if member.node == self._own.node or self.nursery is None:
            return False
        return known is None or (
            (known.address, known.service) != (member.address, member.service)
        )

    def remove_unlisted(self, listed: Iterable[str], max_silence: float) -> None:
        """Remove unlisted nodes that are not linked or sent no data for some time.

        Parameters
        ----------
        listed : iterable of str
            Names of the nodes that are listed.
        max_silence : float
            Milliseconds without data after which a linked node is removed.
        """
        now = self._clock.now()
        gone = []
        for node in self._known.keys() - set(listed):
            link = self._links.get(node)
            if link is None or now - link.reached_at > max_silence:
                gone.append(node)
        for node in gone:
            del self._known[node]
            self._drop_link(node)
            self._event_log.event("node-gone", node=node)
        if gone:
            self._rank_members()
            self.update_links()

    def _rank_members(self) -> None:
        """Order the nodes of each service by rendezvous hash with this node."""
        self._ranked = {}
        self.n_changes += 1
        own = self._own

        def rank(member: Member) -> int:
            return rendezvous_rank(own.node, member.node)

        ranked = sorted(self._known.values(), key=rank)
        for member in _interleave_data_centres(ranked):
            is_local = member.data_centre == own.data_centre
            self._ranked.setdefault((member.service, is_local), []).append(member)
        self._by_data_centre = {}
        for member in ranked:
            self._by_data_centre.setdefault(member.data_centre, []).append(member.node)
        local = [m for m in self._known.values() if m.data_centre == own.data_centre]
        self._local_members = sorted(local, key=lambda member: member.node)
        self._n_known = Counter(member.service for member in self._known.values())

    def update_links(self) -> None:
        """Open links until enough nodes of each service are reachable; close others."""
        wanted = self._ensure_links(self._local_members, True, WATCHER_LINKS)
        now = self._clock.now()
        is_selective = (
            len({service for service, _ in self._ranked}) > _MAX_EAGER_SERVICES
        )
        for (service, is_local), members in self._ranked.items():
            if is_selective and not self._peers.is_in_use(service, now):
                continue
            wanted |= self._ensure_links(
                members, is_local, LOCAL_LINKS if is_local else REMOTE_LINKS
            )
        for node, at in list(self._requested_at.items()):
            if now - at > _REQUESTED_LINK_TTL_MS or node not in self._known:
                del self._requested_at[node]
        wanted |= self._requested_at.keys()
        for node, link in list(self._links.items()):
            if node not in wanted and link.has_no_pending_calls():
                self._drop_link(node)

    def _ensure_links(
        self, members: Iterable[Member], is_local: bool, n_missing: int
    ) -> set[str]:
        """Link members in order until `n_missing` of them are reachable.

        Parameters
        ----------
        members : iterable of Member
            Nodes to link, in this order.
        is_local : bool
            Whether they are in the data centre of this node.
        n_missing : int
            Number of members that have to be reachable.

        Returns
        -------
        set of str
            Names of all members that are linked, reachable or not.
        """
        linked = set()
        for member in members:
            if n_missing <= 0:
                break
            linked.add(member.node)
            n_missing -= self._is_reachable(self._get_or_open(member, is_local))
        return linked

    def _is_reachable(self, link: OutboundLink) -> bool:
        return self._clock.now() - link.reached_at < _UNREACHABLE_MS

    def _get_or_open(self, member: Member, is_local: bool) -> OutboundLink:
        """Return the link to a node, opened if there is none."""
        link = self._links.get(member.node)
        if link is None:
            assert self.nursery is not None
            link = OutboundLink(
                member,
                self._hello,
                is_local,
                self._clock,
                self._event_log,
                self._poller,
            )
            self._links[member.node] = link
            self.on_link(link)
            self._peers.put(link)
            self.nursery.start_soon(link.run)
        return link

    def _drop_link(self, node: str) -> None:
        link = self._links.pop(node, None)
        if link is not None:
            link.scope.cancel()
            self._peers.drop(node)

    def close_all(self) -> None:
        """Close every link; each is reopened by its task."""
        for link in self._links.values():
            link.close()

    def check_liveness(self) -> None:
        """Check the liveness of each link."""
        for link in self._links.values():
            link.check_liveness()


def _interleave_data_centres(members: Iterable[Member]) -> list[Member]:
    """Reorder members so that those of each service alternate between data centres.

    Only the first few members in other data centres are linked. If all of these were in
    one data centre, a network partition there would leave none reachable.
    """
    n_before: Counter[tuple[str, str]] = Counter()
    positions = []
    for member in members:
        group = member.service, member.data_centre
        positions.append((n_before[group], member))
        n_before[group] += 1
    return [member for _, member in sorted(positions, key=lambda position: position[0])]


def _ignore(_: object) -> None:
    """Default callback; does nothing."""
