"""Dispatch of requests that enter at this node to the backend server on its host."""

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
    """Peer that reaches the local backend queue directly instead of over a link.

    Parameters
    ----------
    node : str
        Name of this node.
    service : str
        Service of its backend server.
    backend_queue : BackendQueue
        Queue to which calls are submitted.
    clock : Clock
        Time in milliseconds.
    downstream_fullness : callable
        Returns the fullness of the services that a route's requests call.
    downstream_keys : callable
        Returns the sampling keys that the retry budgets of these services cover, given
        the route and the rank of a call.

    Attributes
    ----------
    target : Target
        The local backend server, as a candidate for placement.
    """

    def __init__(
        self,
        node: str,
        service: str,
        backend_queue: BackendQueue,
        clock: Clock,
        downstream_fullness: Callable[[str], float],
        downstream_keys: Callable[[str, int], int],
    ) -> None:
        self.target = Target(node, "", service, local=True, usable=False)
        self._backend_queue = backend_queue
        self._clock = clock
        self._downstream_fullness = downstream_fullness
        self._downstream_keys = downstream_keys
        self._pending_calls: dict[int, PendingCall] = {}

    def send(self, call: Call, reply: OnReply) -> None:
        """Submit a call.

        Unless the call is cancelled, `reply` is called once with its outcome and the
        summary of its nested calls.
        """
        call_id = call.call_id

        def done(outcome: Outcome) -> None:
            # Refers to the pending call by number, as a cycle would keep its body.
            pending = self._pending_calls.pop(call_id, None)
            if pending is not None:
                call = pending.call
                self.target.others = self._backend_queue.reported_load
                self.target.offered = self._backend_queue.offered()
                self.target.speed = self._backend_queue.speed
                reply(
                    outcome,
                    pending.summarize_nested_calls(
                        self._downstream_fullness(call.route),
                        min(
                            self._backend_queue.covered_keys(call.rank),
                            self._downstream_keys(call.route, call.rank),
                        ),
                    ),
                )

        self._pending_calls[call_id] = pending = PendingCall.of(
            call, self._clock.now(), done
        )
        self._backend_queue.submit(pending)
        self.target.others = self._backend_queue.reported_load

    def cancel(self, call_id: int) -> None:
        """Cancel a call."""
        pending = self._pending_calls.pop(call_id, None)
        if pending is not None:
            self._backend_queue.cancel(pending)

    def apply_status(self, status: Status) -> None:
        """Update the target from the status of the local server."""
        target = self.target
        target.instance = status.instance
        target.usable = bool(status.instance)
        target.limit = status.limit
        target.others = status.load
        target.offered = self._backend_queue.offered()
        target.failing = status.failing
        target.warming = status.warming
        target.service_ms = status.service_ms
        target.speed = status.speed
        target.refusing = status.refusing
