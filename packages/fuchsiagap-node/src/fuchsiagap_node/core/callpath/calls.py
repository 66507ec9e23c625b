"""Table of the calls in progress at a node."""

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
    """A call in progress at the backend server of this node.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    allowance : Allowance
        Extra attempts left for the child calls. Idempotent children take them from
        here; a non-idempotent one gets a share and returns the unused part.
    has_refused_child : bool
        Whether a child call was refused.
    """

    head: CallHead
    allowance: Allowance
    has_refused_child: bool = False
    _ordinals: ChildOrdinals = field(default_factory=ChildOrdinals)

    def next_child_key(self, given: str, service: ServiceName, route: str) -> str:
        """Return the key of the next child call; count the call if `given` is empty.

        Parameters
        ----------
        given : str
            Key chosen by the backend server; empty if there is none.
        service : ServiceName
            The called service.
        route : str
            The route of the called service.

        Returns
        -------
        str
            The key; see `child_key`.
        """
        return child_key(self.head.child_key, given, service, route, self._ordinals)


@dataclass(slots=True)
class CallTable:
    """Counts and lookup of the calls in progress at a node.

    Parameters
    ----------
    serving : dict of str to CallInProgress
        Calls in progress at the backend server, by call id.
    n_entered : int
        Number of calls from external callers and from the local backend server that
        entered at this node and have no outcome yet.
    n_queued : int
        Number of calls that wait for admission to the backend server.
    n_responding : int
        Number of HTTP requests between their first byte and the end of the response.
    idle : trio.Event or None
        Set when the last call ends; None unless a graceful shutdown waits for it.
    """

    serving: dict[str, CallInProgress] = field(default_factory=dict)
    n_entered: int = 0
    n_queued: int = 0
    n_responding: int = 0
    idle: trio.Event | None = None

    def get(self, call_id: str) -> CallInProgress | None:
        """Return a call in progress at the backend server, or None."""
        return self.serving.get(call_id)

    def has_calls(self) -> bool:
        """Return whether any call is in progress."""
        n_waiting = self.n_entered + self.n_queued + self.n_responding
        return bool(self.serving) or n_waiting > 0

    def notify_if_idle(self) -> None:
        """Set `idle` if a graceful shutdown waits for it and no call is in progress."""
        if self.idle is not None and not self.has_calls():
            self.idle.set()
