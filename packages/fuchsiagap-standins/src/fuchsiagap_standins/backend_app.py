"""HTTP server for the backend server stand-in.

``python -m fuchsiagap_standins.backend_app --graph queensland --service certs
--node 127.0.0.1:8080`` prints the address that the server listens on. It makes its
child calls through the node at ``--node``.
"""

from __future__ import annotations

import json
import random
import sys
from dataclasses import asdict, fields, replace
from functools import partial
from typing import TYPE_CHECKING, Any, TypeAlias

import httpcore
import trio
from absl import flags

from fuchsiagap.core.calls import call_headers
from fuchsiagap_standins.answers import mark_from
from fuchsiagap_standins.backend import BackendStandIn
from fuchsiagap_standins.backend_types import (
    BackendCall,
    BackendFaults,
    BackendReply,
    BackendSettings,
    CallOut,
    ChildCall,
    ChildOutcome,
    ChildResult,
    LoadReportMode,
)
from fuchsiagap_standins.command_line import new_flags, parse_flags
from fuchsiagap_standins.graphs import load_graph_or_file
from fuchsiagap_standins.serving import announce, serve_app, wait_for_stop_signal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from fuchsiagap_standins.graphs.model import Graph

    Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
    Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]

MAX_BODY_BYTES = 64 * 1024 * 1024
_CONTROL_PREFIX = "/-/"
# A silent load endpoint holds the request this long and then returns no load report:
# as the application sends no response, the server answers with status 500.
_SILENT_LOAD_DELAY_S = 60.0

_FLAGS = new_flags()
_GRAPH = flags.DEFINE_string(
    "graph", "queensland", "Name or INI file of the call graph.", flag_values=_FLAGS
)
_SERVICE = flags.DEFINE_string(
    "service", "", "Service that this server is an instance of.", flag_values=_FLAGS
)
_NAME = flags.DEFINE_string("name", "", "Name of the instance.", flag_values=_FLAGS)
_BIND = flags.DEFINE_string(
    "bind", "127.0.0.1:0", "IP:PORT to listen on.", flag_values=_FLAGS
)
_NODE = flags.DEFINE_string(
    "node", "", "IP:PORT where the local node listens for callers.", flag_values=_FLAGS
)
_SEED = flags.DEFINE_integer(
    "seed", 1, "Seed of service times and faults.", flag_values=_FLAGS
)
_COLD_START_MS = flags.DEFINE_float(
    "cold_start_ms",
    0.0,
    "Duration of the cold start in milliseconds.",
    flag_values=_FLAGS,
)
_TIME_SCALE = flags.DEFINE_float(
    "time_scale", 1.0, "Factor on all service times.", flag_values=_FLAGS
)


def backend_app(server: BackendStandIn) -> Callable[..., Awaitable[None]]:
    """Return the ASGI application of a backend server.

    Parameters
    ----------
    server : BackendStandIn
        Backend server to serve; changes of its faults take effect at once.
    """

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await _lifespan(scope, receive, send)
        elif scope["path"].startswith(_CONTROL_PREFIX):
            await _handle_control_path(server, scope, receive, send)
        else:
            await _handle_call(server, scope, receive, send)

    return app


async def _lifespan(scope: dict[str, Any], receive: Receive, send: Send) -> None:
    while scope["type"] == "lifespan":
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _handle_call(
    server: BackendStandIn, scope: dict[str, Any], receive: Receive, send: Send
) -> None:
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    if await _read_body(receive) is None:
        return
    call = BackendCall(
        headers.get(call_headers.CALL, ""),
        scope["method"],
        scope["raw_path"].decode("latin-1"),
        mark_from(headers),
    )
    deadline = headers.get(call_headers.DEADLINE, "")
    limit_s = float(deadline) / 1000 if deadline.isdecimal() else float("inf")
    reply: BackendReply | None = None
    async with trio.open_nursery() as nursery:

        async def cancel_on_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            nursery.cancel_scope.cancel()

        nursery.start_soon(cancel_on_disconnect)
        with trio.move_on_after(limit_s):
            reply = await server.handle(call)
        nursery.cancel_scope.cancel()
    await _send_reply(send, reply or BackendReply(504, b"the deadline passed"))


async def _send_reply(send: Send, reply: BackendReply) -> None:
    if reply.lost:
        # The body is missing although content-length announces one byte, so that the
        # HTTP server closes the connection after the response head.
        await _start_response(send, 200, 1)
        return
    not_run = ((call_headers.BACKEND_NOT_RUN, "1"),) if reply.not_run else ()
    await _start_response(send, reply.status, len(reply.body), not_run)
    await send({"type": "http.response.body", "body": reply.body})


async def _start_response(
    send: Send, status: int, length: int, headers: tuple[tuple[str, str], ...] = ()
) -> None:
    raw = [(name.encode(), value.encode()) for name, value in headers]
    raw.append((b"content-length", str(length).encode()))
    await send({"type": "http.response.start", "status": status, "headers": raw})


async def _read_body(receive: Receive) -> bytes | None:
    """Return the complete body, or None if it cannot be read.

    This is the case if the client disconnects or the body exceeds `MAX_BODY_BYTES`.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        chunks.append(event.get("body", b""))
        size += len(chunks[-1])
        if size > MAX_BODY_BYTES:
            return None
        if not event.get("more_body", False):
            return b"".join(chunks)


async def _handle_control_path(
    server: BackendStandIn, scope: dict[str, Any], receive: Receive, send: Send
) -> None:
    body = await _read_body(receive)
    match scope["method"], scope["path"]:
        case "GET", "/-/health":
            load = server.load()
            healthy = load is not None and load.healthy
            await _send_json(send, 200 if healthy else 503, {"healthy": healthy})
        case "GET", "/-/load":
            load = server.load()
            if load is None:
                await trio.sleep(_SILENT_LOAD_DELAY_S)
            else:
                await _send_json(send, 200, asdict(load))
        case "GET", "/-/runs":
            shown = {
                "runs": [run.to_json() for run in server.runs],
                "wrong_answers": [asdict(mark) for mark in server.wrong_answers],
            }
            await _send_json(send, 200, shown)
        case "POST", "/-/control":
            await _apply_control(server, body or b"", send)
        case _:
            await _send_json(send, 404, {"error": "no such path"})


async def _apply_control(server: BackendStandIn, body: bytes, send: Send) -> None:
    """Set faults and draining from a JSON object of names and new values."""
    known = {field.name for field in fields(BackendFaults)}
    try:
        changes = json.loads(body)
        draining = changes.pop("draining", server.draining)
        if "load_word" in changes:
            changes["load_word"] = LoadReportMode(changes["load_word"])
        server.faults = replace(server.faults, **changes)
        server.draining = bool(draining)
    except (ValueError, TypeError, AttributeError) as exc:
        expected = f"an object with some of {sorted(known | {'draining'})}"
        await _send_json(send, 400, {"error": str(exc), "expected": expected})
        return
    await _send_json(send, 200, {"draining": server.draining})


async def _send_json(send: Send, status: int, content: Any) -> None:
    body = json.dumps(content).encode()
    await _start_response(
        send, status, len(body), (("content-type", "application/json"),)
    )
    await send({"type": "http.response.body", "body": body})


def http_call_out(
    pool: httpcore.AsyncConnectionPool, graph: Graph, node: str
) -> CallOut:
    """Return a function that makes child calls through the local node over HTTP.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
        Pool of connections to the node.
    graph : Graph
        Call graph, which names the team of the called services.
    node : str
        ``IP:PORT`` where the node listens for callers.
    """

    async def call_out(child: ChildCall) -> ChildResult:
        service = graph.service_name(child.route)
        headers = (
            *child.mark.headers(),
            (call_headers.PARENT_CALL, child.parent_call),
            (call_headers.CHILD_KEY, child.child_key),
        )
        try:
            response = await pool.request(
                child.route.method,
                f"http://{node}/{service}{child.target}",
                headers=[(name.encode(), value.encode()) for name, value in headers],
                content=b"",
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return ChildResult(ChildOutcome.REFUSED)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return ChildResult(ChildOutcome.UNKNOWN)
        return ChildResult(_outcome(response), response.status, response.content)

    return call_out


def _outcome(response: httpcore.Response) -> ChildOutcome:
    for name, value in response.headers:
        if name.lower() == call_headers.OUTCOME.encode():
            return ChildOutcome(value.decode())
    return ChildOutcome.UNKNOWN


async def run_backend(
    cfg: BackendSettings, bind: str, node: str, rng: random.Random
) -> None:
    """Serve a backend server over HTTP until SIGTERM or SIGINT."""
    async with httpcore.AsyncConnectionPool(
        max_connections=None,
        keepalive_expiry=30.0,  # seconds
    ) as pool:
        call_out = http_call_out(pool, cfg.graph, node)
        app = backend_app(BackendStandIn(cfg, call_out, rng))
        async with trio.open_nursery() as nursery:
            announce(await nursery.start(serve_app, app, bind))
            await wait_for_stop_signal()
            nursery.cancel_scope.cancel()


def main(argv: Sequence[str]) -> None:
    """Run the server with the flags in `argv`."""
    parse_flags(_FLAGS, argv, __doc__ or "")
    graph = load_graph_or_file(_GRAPH.value).with_time_scale(_TIME_SCALE.value)
    services = [service.name for service in graph.services]
    if _SERVICE.value not in services:
        sys.exit(f"--service={_SERVICE.value}: expected one of {', '.join(services)}")
    name = _NAME.value or f"{_SERVICE.value}-0"
    cfg = BackendSettings(graph, _SERVICE.value, name, cold_start=_COLD_START_MS.value)
    rng = random.Random(f"{_SEED.value} {name}")
    trio.run(partial(run_backend, cfg, _BIND.value, _NODE.value, rng))


if __name__ == "__main__":
    main(sys.argv)
