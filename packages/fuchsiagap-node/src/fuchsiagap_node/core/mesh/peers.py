"""The backend queues to which this node can send calls: remote ones and its own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence
    from typing import TypeAlias

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.placement.choice import Target
    from fuchsiagap_node.core.mesh.messages import Call, DownstreamSummary
    from fuchsiagap_node.core.mesh.outcome import Outcome

    # Called once, with the outcome of a call and the summary of its nested calls.
    OnReply: TypeAlias = Callable[[Outcome, DownstreamSummary], None]


# Milliseconds since its last request for which a service counts as in use. Opening its
# links again costs more than keeping them for some minutes.
_SERVICE_IDLE_MS = 600_000.0


class Peer(Protocol):
    """The backend queue of one node, as a sender of calls sees it."""

    target: Target

    def send(self, call: Call, reply: OnReply) -> None:
        """Send a call; `reply` is called once with its outcome."""

    def cancel(self, call_id: int) -> None:
        """Cancel a call."""


class Peers:
    """Registry of peers, by node and by service.

    Attributes
    ----------
    on_first_request : callable
        Called on a request for a service that was not in use.
    """

    def __init__(self) -> None:
        self._last_request_at: dict[str, Milliseconds] = {}
        self.on_first_request: Callable[[], None] = _ignore
        self._by_node: dict[str, Peer] = {}
        self._by_service: dict[str, dict[str, Peer]] = {}

    def put(self, peer: Peer) -> None:
        """Add a peer, or replace the one of the same node."""
        self.drop(peer.target.node)
        self._by_node[peer.target.node] = peer
        self._by_service.setdefault(peer.target.service, {})[peer.target.node] = peer

    def drop(self, node: str) -> None:
        """Remove the peer of a node."""
        peer = self._by_node.pop(node, None)
        if peer is not None:
            self._by_service[peer.target.service].pop(node, None)

    def get(self, node: str) -> Peer | None:
        """Return the peer of a node, or None."""
        return self._by_node.get(node)

    def mark_requested(self, service: str, now: Milliseconds) -> None:
        """Record a request for a service at time `now`, in milliseconds."""
        was_in_use = self.is_in_use(service, now)
        self._last_request_at[service] = now
        if not was_in_use:
            self.on_first_request()

    def is_in_use(self, service: str, now: Milliseconds) -> bool:
        """Whether a service was requested recently."""
        return (
            now - self._last_request_at.get(service, float("-inf")) < _SERVICE_IDLE_MS
        )

    def services(self) -> list[str]:
        """Return the services that have peers, in alphabetical order."""
        return sorted(name for name, peers in self._by_service.items() if peers)

    def reached(self) -> Iterator[Target]:
        """Iterate over the backend servers whose nodes are reachable."""
        return (p.target for p in self._by_node.values() if p.target.usable)

    def state_speed(self) -> bool:
        """Whether any reachable backend server states its present speed."""
        return any(target.speed for target in self.reached())

    def targets(self, service: str) -> Sequence[Target]:
        """Return the backend servers of a service."""
        peers = self._by_service.get(service)
        return [peer.target for peer in peers.values()] if peers else []


def _ignore() -> None:
    """Do nothing."""
