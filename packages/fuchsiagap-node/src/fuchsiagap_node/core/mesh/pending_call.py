"""A call that is queued for, or running at, the backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.messages import DownstreamSummary

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.backend_queue.ranked_queue import QueueItem
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.mesh.backend_conn import BackendConn
    from fuchsiagap_node.core.mesh.messages import Call
    from fuchsiagap_node.core.mesh.outcome import Outcome


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that waits for a slot of the backend server or holds one.

    Parameters
    ----------
    call : Call
        The call.
    deadline : float
        Local time in milliseconds at which its sender gives up.
    due : float
        Local time in milliseconds by which the request at the root of its call tree has
        to be answered to meet its latency objective.
    reply : callable
        Called once with the outcome.
    waiting : QueueItem or None
        Its entry in the queue while it waits.
    conn : BackendConn or None
        The connection that carries it or is being opened for it.
    started : float
        Local time in milliseconds at which it was assigned a slot.
    speed_factor : float
        Time that work took at the server when the call started, as a multiple of the
        usual.
    calls : int
        Number of nested calls that the backend server made for it, at all depths.
    open_calls : int
        Number of its nested calls that are in progress.
    call_failed : bool
        Whether one of its nested calls failed.
    """

    call: Call
    deadline: Milliseconds
    due: Milliseconds
    reply: Callable[[Outcome], None]
    waiting: QueueItem[PendingCall] | None = None
    conn: BackendConn | None = None
    started: Milliseconds = 0.0
    speed_factor: float = 1.0
    calls: int = 0
    open_calls: int = 0
    call_failed: bool = False

    def failed_in_nested_call(self) -> bool:
        """Whether a failure of this call has to be attributed to a nested call.

        A failure counts only at the server where it arises. If each server up the call
        chain counted it too, in a deployment of 22 hosts a single server that resets
        its connections would make entry nodes four hops away see a load of 1.9 times
        the capacity where 0.9 is offered, and admit only 6 of 100 requests.
        """
        return self.call_failed or self.open_calls > 0

    def summarize_nested_calls(
        self, fullness: float, covered_keys: int
    ) -> DownstreamSummary:
        """Return the summary of the nested calls that goes back with the reply.

        Parameters
        ----------
        fullness : float
            Fullness of the services that requests of the call's route call: offered
            load relative to capacity.
        covered_keys : int
            Number of lowest sampling keys that are covered by the retry budgets of the
            queue and of the services that such requests call.
        """
        return DownstreamSummary(
            fullness, self.calls, self.failed_in_nested_call(), covered_keys
        )

    @classmethod
    def of(
        cls, call: Call, now: Milliseconds, reply: Callable[[Outcome], None]
    ) -> PendingCall:
        """Return the pending call for a call that arrives now."""
        return cls(call, now + call.time_left, now + call.slack, reply)
