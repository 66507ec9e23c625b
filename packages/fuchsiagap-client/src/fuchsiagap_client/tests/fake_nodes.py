"""Fake nodes as an ASGI application, with injected network faults."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeAlias

import httpx
import trio

from fuchsiagap import Reason
from fuchsiagap.core.calls import call_headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Headers: TypeAlias = dict[str, str]


@dataclass(frozen=True, slots=True)
class Reply:
    """A response of a fake node."""

    status: int
    headers: Headers
    body: bytes = b""
    delay_s: float = 0.0


def answered(body: bytes = b"whole", status: int = 200, **headers: str) -> Reply:
    own = {call_headers.OUTCOME: "answered", "content-length": str(len(body))}
    given = {name.replace("_", "-"): value for name, value in headers.items()}
    return Reply(status, own | given, body)


def refused(reason: Reason, **headers: str) -> Reply:
    return _without_answer("refused", 503, reason, headers)


def unknown(reason: Reason, **headers: str) -> Reply:
    return _without_answer("unknown", 502, reason, headers)


def _without_answer(
    outcome: str, status: int, reason: Reason, headers: Headers
) -> Reply:
    own = {
        call_headers.OUTCOME: outcome,
        call_headers.REASON: reason.value,
        "content-length": "2",
    }
    given = {name.replace("_", "-"): value for name, value in headers.items()}
    return Reply(status, own | given, b"{}")


@dataclass(slots=True)
class ReceivedRequest:
    """A request that a fake node received."""

    node: str
    method: str
    path: str
    headers: Headers
    body: bytes
    at_s: float

    @property
    def ticket(self) -> str:
        return self.headers.get(call_headers.TICKET, "")


@dataclass(slots=True)
class FakeNodes:
    """Fake nodes that issue tickets and reply to calls from a script.

    Parameters
    ----------
    script : list
        Replies to calls, or exceptions of the transport, in order; the last one is
        repeated.
    settle_reply : Reply
        The reply to each request that settles a ticket.
    tickets : Reply, optional
        The reply to each request for tickets; by default tickets are issued.
    down : set of str
        Nodes that cannot be reached.
    calls, settle_requests : list of ReceivedRequest
        Calls, and requests to settle tickets, that reached a node.
    n_batches, n_issued : int
        Requests for tickets that were answered, and tickets issued.
    """

    script: list[Reply | type[httpx.TransportError]]
    settle_reply: Reply = field(default_factory=lambda: unknown(Reason.HOME_GONE))
    tickets: Reply | None = None
    down: set[str] = field(default_factory=set)
    calls: list[ReceivedRequest] = field(default_factory=list)
    settle_requests: list[ReceivedRequest] = field(default_factory=list)
    n_batches: int = 0
    n_issued: int = 0

    def transport(self) -> httpx.AsyncBaseTransport:
        return _Transport(self, httpx.ASGITransport(self.app))

    async def app(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        body = (await receive()).get("body", b"")
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        node = headers["host"]
        path = scope["raw_path"].decode()
        if scope["query_string"]:
            path += "?" + scope["query_string"].decode()
        sent = ReceivedRequest(
            node, scope["method"], path, headers, body, trio.current_time()
        )
        reply = self._reply(sent)
        await trio.sleep(reply.delay_s)
        raw = [(name.encode(), value.encode()) for name, value in reply.headers.items()]
        status = {"status": reply.status, "headers": raw}
        await send({"type": "http.response.start", **status})
        await send({"type": "http.response.body", "body": reply.body})

    def _reply(self, sent: ReceivedRequest) -> Reply:
        if sent.path == "/tickets":
            return self.tickets or self._issue(sent)
        if sent.path.startswith("/tickets/"):
            self.settle_requests.append(sent)
            return self.settle_reply
        self.calls.append(sent)
        reply = self.next()
        assert isinstance(reply, Reply)
        return reply

    def _issue(self, sent: ReceivedRequest) -> Reply:
        count = json.loads(sent.body)["count"]
        life = f"{sent.node.split(':')[0].replace('.', '-')}.{self.n_batches + 1:x}"
        texts = [f"{life}.{n:x}" for n in range(count)]
        self.n_batches += 1
        self.n_issued += count
        return answered(json.dumps({"tickets": texts}).encode())

    def next(self) -> Reply | type[httpx.TransportError]:
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]


@dataclass(slots=True)
class _Transport(httpx.AsyncBaseTransport):
    nodes: FakeNodes
    app: httpx.ASGITransport

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        node = request.url.netloc.decode()
        if node in self.nodes.down:
            raise httpx.ConnectError("refused", request=request)
        if not request.url.path.startswith("/tickets"):
            fault = self.nodes.script[0]
            if isinstance(fault, type):
                self.nodes.next()
                raise fault("fault", request=request)
        return await self.app.handle_async_request(request)
