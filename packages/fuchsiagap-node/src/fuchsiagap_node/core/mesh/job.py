"""A call at the door of a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.messages import DownstreamSummary

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.door.queue import Waiting
    from fuchsiagap_node.core.mesh.backend_conn import BackendConn
    from fuchsiagap_node.core.mesh.messages import Call
    from fuchsiagap_node.core.mesh.outcome import Outcome


@dataclass(slots=True, eq=False)
class Job:
    """A call that waits for a place, or has one.

    Parameters
    ----------
    call : Call
        The call.
    deadline : float
        Local time at which its sender gives up.
    due : float
        Local time until which the answer at the root of its tree is in time.
    reply : callable
        Told the outcome, once.
    waiting : Waiting or None
        Its place in the queue.
    conn : BackendConn or None
        The connection that carries it, or is being opened for it.
    started : float
        Local time at which it got its place.
    calls : int
        Calls that the backend server made for it, with those that they made.
    open_calls : int
        Calls that the backend server makes for it now.
    call_failed : bool
        Whether one of its calls ended without an answer of use.
    """

    call: Call
    deadline: Milliseconds
    due: Milliseconds
    reply: Callable[[Outcome], None]
    waiting: Waiting[Job] | None = None
    conn: BackendConn | None = None
    started: Milliseconds = 0.0
    calls: int = 0
    open_calls: int = 0
    call_failed: bool = False

    def fails_with_its_calls(self) -> bool:
        """Whether a failure of the server is one of those that it calls.

        A failure counts where it arises and nowhere else. Counted at each server above
        too, one that reset its connections made entries four hops above believe in 1.9
        times the load that there is room for, where 0.9 was offered, and let in 6 of
        100 requests (a play with 22 hosts).
        """
        return self.call_failed or self.open_calls > 0

    def led_to(self, fullness: float) -> DownstreamSummary:
        """Return what the call led to, at a fullness of the services below it."""
        return DownstreamSummary(fullness, self.calls, self.fails_with_its_calls())

    @classmethod
    def of(cls, call: Call, now: Milliseconds, reply: Callable[[Outcome], None]) -> Job:
        """Return the job of a call that arrives now."""
        return cls(call, now + call.time_left, now + call.slack, reply)
