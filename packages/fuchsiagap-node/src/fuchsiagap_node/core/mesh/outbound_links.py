"""Links to other nodes: to all of a small service, to a subset of a large one."""

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

# Nodes of one service that a node keeps links to, in its own data centre and elsewhere.
# Each restart opens every link anew at both ends, and each link is pinged: at 81 nodes
# that are 32 links a node in place of 80. A choice compares six servers of each place.
# With 10 and 6 a node at rest among 60 took 6.97 ms of processor time a second, with
# these 5.31 (`bench_fleet 60 20`, once each beside two plays).
LOCAL_LINKS = 8
REMOTE_LINKS = 3
# First nodes of the data centre, by name, that each node of it links to as well: those
# watch the configuration, and who has no link to any of them watches too. In a data
# centre of 320 nodes that is as many links in for each of the two, 12 to 22 KB each.
WATCHER_LINKS = 2
# Nodes that are told of with a line each; more at once, as at a start, with one line:
# 195 nodes that start together wrote 38,000 lines.
_TOLD_ONE_BY_ONE = 5
# Services up to which all are linked, asked for or not. Among 220 services a node would
# hold up to 2,400 links, most to services that nobody asks for on its host.
_ALL_SERVICES = 16
# Milliseconds out of reach after which a node no longer counts among these, and the
# next one is linked too.
_DOWN_MS = 3_000.0
# Milliseconds for which a link is kept that one node was asked for by name.
_ASKED_FOR_MS = 60_000.0


class OutboundLinks:
    """The nodes that are known, and links to those that requests may go to.

    Parameters
    ----------
    own : Member
        This node.
    hello : Hello
        What it says of itself on links.
    peers : Peers
        Doors; each link is one.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs.
    poller : Poller
        Watches the connections.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Holds the tasks of the links; None until the node serves.
    on_link : callable
        Told of each new link before it is opened.
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
        # Members by service and by whether they are near, in the order of choice.
        self._ranked: dict[tuple[str, bool], list[Member]] = {}
        # Members of this node's data centre by name.
        self._near: list[Member] = []
        self._n_known: Counter[str] = Counter()
        self._by_place: dict[str, list[str]] = {}
        self._asked_for: dict[str, Milliseconds] = {}
        # Counts the changes of the nodes that are known.
        self.n_changes = 0
        self.nursery: trio.Nursery | None = None
        self.on_link: Callable[[OutboundLink], None] = _ignore
        peers.on_first_request = self.choose

    def __iter__(self) -> Iterator[OutboundLink]:
        return iter(list(self._links.values()))

    def n_known_nodes(self, service: str) -> int:
        """Return how many nodes are known of a service, linked or not."""
        return self._n_known[service]

    def known_nodes(self) -> Iterable[str]:
        """Return the names of all other nodes that are known."""
        return self._known.keys()

    def by_data_centre(self) -> Mapping[str, Sequence[str]]:
        """Return the other nodes by data centre, in the order of choice."""
        return self._by_place

    def ensure_link(self, node: str) -> OutboundLink | None:
        """Return a link to one node, which is kept as long as it is asked for."""
        member = self._known.get(node)
        if member is None or self.nursery is None:
            return None
        self._asked_for[node] = self._clock.now()
        return self._link(member, member.data_centre == self._own.data_centre)

    def handle_hello(self, hello: Hello) -> None:
        """Learn of a node that has opened a link to this one."""
        member = Member(
            hello.node,
            hello.incarnation,
            hello.address,
            hello.data_centre,
            hello.service,
        )
        self.add_members([member])

    def add_members(self, members: Iterable[Member]) -> None:
        """Learn of nodes, and link those that belong to the subset."""
        news = [m for m in members if self._is_news(m)]
        for member in news:
            self._drop_link(member.node)
            self._known[member.node] = member
        if len(news) > _TOLD_ONE_BY_ONE:
            services = Counter(member.service for member in news)
            self._event_log.event("nodes-known", nodes=len(news), services=services)
        else:
            for member in news:
                self._event_log.event(
                    "node-known",
                    node=member.node,
                    service=member.service,
                    address=member.address,
                )
        if news:
            self._rank()
            self.choose()

    def _is_news(self, member: Member) -> bool:
        known = self._known.get(member.node)
        if member.node == self._own.node or self.nursery is None:
            return False
        return known is None or (
            (known.address, known.service) != (member.address, member.service)
        )

    def remove_unlisted(self, listed: Iterable[str], patience: float) -> None:
        """Forget nodes that are not listed and were out of reach for a time."""
        now = self._clock.now()
        gone = []
        for node in self._known.keys() - set(listed):
            link = self._links.get(node)
            if link is None or now - link.reached_at > patience:
                gone.append(node)
        for node in gone:
            del self._known[node]
            self._drop_link(node)
            self._event_log.event("node-gone", node=node)
        if gone:
            self._rank()
            self.choose()

    def _rank(self) -> None:
        """Order the nodes of each service; the order differs from node to node."""
        self._ranked = {}
        self.n_changes += 1
        own = self._own

        def rank(member: Member) -> int:
            return rendezvous_rank(own.node, member.node)

        ranked = sorted(self._known.values(), key=rank)
        for member in _by_turns(ranked):
            near = member.data_centre == own.data_centre
            self._ranked.setdefault((member.service, near), []).append(member)
        self._by_place = {}
        for member in ranked:
            self._by_place.setdefault(member.data_centre, []).append(member.node)
        beside = [m for m in self._known.values() if m.data_centre == own.data_centre]
        self._near = sorted(beside, key=lambda member: member.node)
        self._n_known = Counter(member.service for member in self._known.values())

    def choose(self) -> None:
        """Link the first nodes of each service, more where some are out of reach."""
        wanted = self._open(self._near, True, WATCHER_LINKS)
        now = self._clock.now()
        some = len({service for service, _ in self._ranked}) > _ALL_SERVICES
        for (service, near), members in self._ranked.items():
            if some and not self._peers.is_in_use(service, now):
                continue
            wanted |= self._open(members, near, LOCAL_LINKS if near else REMOTE_LINKS)
        for node, at in list(self._asked_for.items()):
            if now - at > _ASKED_FOR_MS or node not in self._known:
                del self._asked_for[node]
        wanted |= self._asked_for.keys()
        for node, link in list(self._links.items()):
            if node not in wanted and link.is_unused():
                self._drop_link(node)

    def _open(self, members: Iterable[Member], near: bool, room: int) -> set[str]:
        """Link the first so many of some nodes that are up, and return all linked."""
        linked = set()
        for member in members:
            if room <= 0:
                break
            linked.add(member.node)
            room -= self._is_up(self._link(member, near))
        return linked

    def _is_up(self, link: OutboundLink) -> bool:
        return self._clock.now() - link.reached_at < _DOWN_MS

    def _link(self, member: Member, near: bool) -> OutboundLink:
        """Return the link to a node; open it if there is none."""
        link = self._links.get(member.node)
        if link is None:
            assert self.nursery is not None
            link = OutboundLink(
                member, self._hello, near, self._clock, self._event_log, self._poller
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
        """Close every link; each is opened anew by its task."""
        for link in self._links.values():
            link.close()

    def tick(self) -> None:
        """Look at each link, whether its node is silent."""
        for link in self._links.values():
            link.tick()


def _by_turns(members: Iterable[Member]) -> list[Member]:
    """Return members so that those of each service alternate between data centres.

    The first few of another data centre are linked: if all stood in one, a cut there
    would leave none.
    """
    n_before: Counter[tuple[str, str]] = Counter()
    places = []
    for member in members:
        group = member.service, member.data_centre
        places.append((n_before[group], member))
        n_before[group] += 1
    return [member for _, member in sorted(places, key=lambda place: place[0])]


def _ignore(_: object) -> None:
    """Do nothing."""
