"""Discovery of all nodes through the membership lists of some nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap_ctl.admin_client import NoReply, Reply, merge_failures

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_ctl.admin_client import AdminClient, Answer

_MAX_CONCURRENT_REQUESTS = 48
_NODES_PER_PROGRESS_NOTE = 100
_GONE = frozenset({"dead", "left"})
_NOT_ADMIN = "this is not a node's administration API"
_STATE_PRECEDENCE = ("left", "leaving", "alive", "suspect", "dead")
_MEMBERS = "members"
_NO_ADDRESS = "its admin address is not known"


@dataclass(frozen=True, slots=True)
class FleetNode:
    """A node as listed in the membership of other nodes.

    Parameters
    ----------
    name, data_centre, state, address : str
        Name, data centre and membership state of the node, and its admin address.
    incarnation : int
        Incarnation of its process; higher after each restart.
    services : tuple of str
        ``TEAM/SERVICE`` of each service of its backend server.
    """

    name: str
    data_centre: str
    state: str
    address: str
    incarnation: int = 0
    services: tuple[str, ...] = ()

    @property
    def gone(self) -> bool:
        """Whether the node is dead or has left the membership."""
        return self.state in _GONE


@dataclass(frozen=True, slots=True)
class Fleet:
    """All nodes in the membership lists of the queried nodes.

    Parameters
    ----------
    nodes : tuple of FleetNode
        Sorted by data centre, services and name.
    unresponsive : tuple of NoReply
        Queried addresses that did not answer.
    unreachable : tuple of str
        Data centres that a queried node can't reach.
    server_time : float
        Latest Unix time in milliseconds reported by a node that answered.
    """

    nodes: tuple[FleetNode, ...]
    unresponsive: tuple[NoReply, ...]
    unreachable: tuple[str, ...]
    server_time: Milliseconds


async def find_fleet(client: AdminClient, addresses: Sequence[str]) -> Fleet | Answer:
    """Query every given address for its membership list, and merge the lists.

    While data centres can't reach each other, all nodes are found only with an address
    in each data centre.

    Parameters
    ----------
    client : AdminClient
        Sends the requests.
    addresses : sequence of str
        Admin addresses.

    Returns
    -------
    Fleet, Reply or NoReply
        The nodes, or the failure if no address returned a membership list.
    """
    answers = await _request_all(client, addresses, "/v1/status", None, None)
    unresponsive = tuple(answer for answer in answers if isinstance(answer, NoReply))
    replies = [answer for answer in answers if isinstance(answer, Reply)]
    with_members = [reply for reply in replies if reply.ok and _MEMBERS in reply.body]
    if not with_members:
        return _no_members_failure(replies) or merge_failures(unresponsive)
    nodes: dict[str, FleetNode] = {}
    unreachable: set[str] = set()
    for reply in with_members:
        unreachable.update(reply.body.get("unreachable_data_centres", ()))
        for node in _members(reply.body):
            nodes[node.name] = _preferred_view(nodes.get(node.name), node)
    ordered = sorted(nodes.values(), key=lambda n: (n.data_centre, n.services, n.name))
    server_time = max(reply.server_time for reply in with_members)
    return Fleet(tuple(ordered), unresponsive, tuple(sorted(unreachable)), server_time)


async def request_nodes(
    client: AdminClient,
    nodes: Sequence[FleetNode],
    path: str,
    params: Mapping[str, str] | None = None,
    note: Callable[[str], None] | None = None,
) -> list[tuple[FleetNode, Answer]]:
    """Send the same GET request to many nodes, with bounded concurrency.

    Parameters
    ----------
    client : AdminClient
        Sends the requests.
    nodes : sequence of FleetNode
        Nodes to query; those that are gone or have no known address are skipped and
        get a `NoReply`.
    path : str
        Path of the request.
    params : mapping, optional
        Query parameters.
    note : callable, optional
        Called with a line of progress after every 100 responses.

    Returns
    -------
    list of (FleetNode, Reply or NoReply)
        In the order of `nodes`.
    """
    reachable = [node for node in nodes if node.address and not node.gone]
    addresses = [node.address for node in reachable]
    answers = iter(await _request_all(client, addresses, path, params, note))
    pairs: list[tuple[FleetNode, Answer]] = []
    for node in nodes:
        if node.gone:
            detail = f"it is {node.state}, and its data is lost"
            pairs.append((node, NoReply(node.address, False, detail)))
        elif not node.address:
            pairs.append((node, NoReply("", False, _NO_ADDRESS)))
        else:
            pairs.append((node, next(answers)))
    return pairs


async def _request_all(
    client: AdminClient,
    addresses: Sequence[str],
    path: str,
    params: Mapping[str, str] | None,
    note: Callable[[str], None] | None,
) -> list[Answer]:
    answers: dict[int, Answer] = {}
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

    async def request_one(index: int) -> None:
        async with limiter:
            answers[index] = await client.request(
                addresses[index], "GET", path, params=params, with_token=False
            )
        if note and len(answers) % _NODES_PER_PROGRESS_NOTE == 0:
            note(f"{len(answers)} of {len(addresses)} nodes queried")

    async with trio.open_nursery() as nursery:
        for index in range(len(addresses)):
            nursery.start_soon(request_one, index)
    return [answers[index] for index in range(len(addresses))]


def _members(status: Mapping[str, Any]) -> list[FleetNode]:
    found: dict[str, FleetNode] = {}
    for data_centre, teams in status[_MEMBERS].items():
        for team, members in teams.items():
            for member in members:
                name = member["node"]
                services = [f"{team}/{service}" for service in member["services"]]
                before = found[name].services if name in found else ()
                found[name] = FleetNode(
                    name=name,
                    data_centre=data_centre,
                    state=member["state"],
                    address=member.get("admin_address", ""),
                    incarnation=member["incarnation"],
                    services=(*before, *services),
                )
    return list(found.values())


def _no_members_failure(replies: list[Reply]) -> Answer | None:
    """Return the failure if no reply has a membership list; None without replies."""
    for reply in replies:
        if not reply.ok:
            return reply
        return NoReply(
            reply.node, maybe_sent=True, detail=f"{reply.node}: {_NOT_ADMIN}"
        )
    return None


def _preferred_view(known: FleetNode | None, candidate: FleetNode) -> FleetNode:
    """Return the view of the later incarnation, or else with the more reliable state.

    A node itself announces that it is leaving or has left, so these states take
    precedence. Of the others, alive takes precedence over suspect and dead: a queried
    node that reaches the node is more reliable than one that does not.
    """
    if known is None:
        return candidate
    return max(
        known,
        candidate,
        key=lambda n: (n.incarnation, -_STATE_PRECEDENCE.index(n.state)),
    )
