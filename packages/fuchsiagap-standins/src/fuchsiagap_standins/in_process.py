"""Backend servers in the node's own process, for tests and benchmarks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap_node.core.callpath.entry import CallRequest, enter
from fuchsiagap_standins.answers import mark_from
from fuchsiagap_standins.backend_types import (
    BackendCall,
    BackendReply,
    CallOut,
    ChildCall,
    ChildOutcome,
    ChildResult,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.ports import BackendLoad
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.backend import BackendStandIn
    from fuchsiagap_standins.graphs.model import Graph


class InProcessBackend:
    """Connect a node to a backend stand-in without sockets.

    Implements `fuchsiagap_node.core.ports.BackendServer`.

    Parameters
    ----------
    server : BackendStandIn
        The backend server that runs the calls.
    """

    def __init__(self, server: BackendStandIn) -> None:
        self.server = server
        self._scopes: set[trio.CancelScope] = set()
        self._down = False

    async def send(
        self, head: CallHead, body: bytes, remaining: Milliseconds
    ) -> Answered | Refused | Unknown:
        """Run one call; see `fuchsiagap_node.core.ports.BackendServer.send`."""
        await trio.lowlevel.checkpoint()
        if self._down:
            return Refused(Reason.NO_BACKEND, detail="connection refused")
        mark = mark_from(dict(head.headers))
        call = BackendCall(head.call_id, head.method, head.target, mark)
        reply: BackendReply | None = None
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                reply = await self.server.handle(call)
            finally:
                self._scopes.discard(scope)
        if reply is None or reply.lost:
            return Unknown(Reason.CONNECTION_LOST, detail="the connection was lost")
        if reply.not_run:
            return Refused(Reason.BACKEND_REFUSED, detail=reply.body.decode())
        return Answered(reply.status, (), reply.body)

    async def load(self) -> BackendLoad | None:
        """Return the backend server's load report, or None after `crash`."""
        await trio.lowlevel.checkpoint()
        return None if self._down else self.server.load()

    def crash(self) -> None:
        """Cancel all running calls and refuse new ones until `restart`."""
        self._down = True
        for scope in self._scopes:
            scope.cancel()

    def restart(self) -> None:
        """Accept calls again after `crash`."""
        self._down = False


def call_out_through(state: Callable[[], NodeState], graph: Graph) -> CallOut:
    """Return a function that sends child calls through a node in this process.

    Parameters
    ----------
    state : callable
        Returns the node's state. It is called for each child call, so the node may be
        created after the backend server.
    graph : Graph
        Call graph, which names the team of the called services.

    Returns
    -------
    callable
        Sends a child call and returns its result.
    """

    async def call_out(child: ChildCall) -> ChildResult:
        control_headers = {
            call_headers.PARENT_CALL: child.parent_call,
            call_headers.CHILD_KEY: child.child_key,
        }
        req = CallRequest(
            service=graph.service_name(child.route),
            method=child.route.method,
            target=child.target,
            control_headers=control_headers,
            headers=child.mark.headers(),
            body=b"",
        )
        return result_of(await enter(state(), req))

    return call_out


def result_of(outcome: Outcome) -> ChildResult:
    """Convert the outcome of a child call to the calling backend server's result."""
    if isinstance(outcome, Answered):
        return ChildResult(ChildOutcome.ANSWERED, outcome.status, outcome.body)
    if isinstance(outcome, Refused):
        return ChildResult(ChildOutcome.REFUSED)
    return ChildResult(ChildOutcome.UNKNOWN)
