"""The door of the backend server beside this node, for requests that begin here."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.placement.choice import Target
from fuchsiagap_node.core.mesh.pending_call import PendingCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock
    from fuchsiagap_node.core.mesh.backend_queue import BackendQueue
    from fuchsiagap_node.core.mesh.messages import Call, Status
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.peers import OnReply


class LocalPeer:
    """A door that is reached without a link.

    Parameters
    ----------
    node, service : str
        This node and the service of its backend server.
    backend_queue : BackendQueue
        The door.
    clock : Clock
        Time in milliseconds.
    below : callable
        Returns the fullness of the services below a route.

    Attributes
    ----------
    target : Target
        The backend server, as seen from its own door.
    """

    def __init__(
        self,
        node: str,
        service: str,
        backend_queue: BackendQueue,
        clock: Clock,
        below: Callable[[str], float],
    ) -> None:
        self.target = Target(node, "", service, local=True, usable=False)
        self._backend_queue = backend_queue
        self._clock = clock
        self._below = below
        self._pending_calls: dict[int, PendingCall] = {}

    def send(self, call: Call, reply: OnReply) -> None:
        """Send a call; `reply` is told its outcome, once."""

        def done(outcome: Outcome) -> None:
            if self._pending_calls.pop(call.call_id, None) is not None:
                self.target.others = self._backend_queue.load
                self.target.offered = self._backend_queue.offered()
                reply(outcome, pending.summarize_nested_calls(self._below(call.route)))

        pending = PendingCall.of(call, self._clock.now(), done)
        self._pending_calls[call.call_id] = pending
        self._backend_queue.submit(pending)
        self.target.others = self._backend_queue.load

    def cancel(self, call_id: int) -> None:
        """Say that a call is no longer wanted."""
        pending = self._pending_calls.pop(call_id, None)
        if pending is not None:
            self._backend_queue.cancel(pending)

    def apply_status(self, status: Status) -> None:
        """Follow what the door says of its server."""
        target = self.target
        target.instance = status.instance
        target.usable = bool(status.instance)
        target.limit = status.limit
        target.others = status.load
        target.offered = self._backend_queue.offered()
        target.failing = status.failing
        target.warming = status.warming
        target.service_ms = status.service_ms
