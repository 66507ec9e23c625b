"""Calls in progress at a node, and what their own calls may still spend."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.tickets.child_key import ChildOrdinals, child_key

if TYPE_CHECKING:
    import trio

    from fuchsiagap.core.calls.head import CallHead, ServiceName
    from fuchsiagap.core.retries.allowance import Allowance


@dataclass(slots=True, eq=False)
class CallInProgress:
    """A call that the backend server beside this node works on.

    Parameters
    ----------
    head : CallHead
        The call.
    allowance : Allowance
        Extra attempts left for its own calls; they take shares and give the
        unused part back.
    has_refused_child : bool
        Whether one of its own calls was refused.
    """

    head: CallHead
    allowance: Allowance
    has_refused_child: bool = False
    _ordinals: ChildOrdinals = field(default_factory=ChildOrdinals)

    def next_child_key(self, given: str, service: ServiceName, route: str) -> str:
        """Return the key of the next call; see `child_key`."""
        return child_key(self.head.child_key, given, service, route, self._ordinals)


@dataclass(slots=True)
class CallTable:
    """The calls in progress at a node.

    Parameters
    ----------
    serving : dict
        Calls that the backend server works on, by call id.
    n_entered : int
        Calls of callers that this node has taken and not answered yet.
    n_queued : int
        Calls of other nodes that wait for admission.
    n_responding : int
        Requests of callers from their first byte until the response is written.
    idle : trio.Event or None
        Set when the last call ends, for a graceful shutdown that waits.
    """

    serving: dict[str, CallInProgress] = field(default_factory=dict)
    n_entered: int = 0
    n_queued: int = 0
    n_responding: int = 0
    idle: trio.Event | None = None

    def get(self, call_id: str) -> CallInProgress | None:
        """Return a call that the backend server works on."""
        return self.serving.get(call_id)

    def has_calls(self) -> bool:
        """Return whether any call is in progress."""
        n_waiting = self.n_entered + self.n_queued + self.n_responding
        return bool(self.serving) or n_waiting > 0

    def notify_if_idle(self) -> None:
        """Wake a graceful shutdown if the last call has ended."""
        if self.idle is not None and not self.has_calls():
            self.idle.set()
