"""HTTP servers outside the request path: server reports, readiness and metrics."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, TypeAlias

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.final_response import FinalResponse
from fuchsiagap_node.core.mesh.graceful_close import END_TIMEOUT_MS
from fuchsiagap_node.core.mesh.http_request import BadRequest, RequestReader
from fuchsiagap_node.core.mesh.response_encoding import encode_response
from fuchsiagap_node.core.mesh.stream import BrokenStream, accept_all, listen

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_names import HeaderNames
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.stream import Stream

    Handle: TypeAlias = Callable[[Request], Awaitable[FinalResponse]]

# Milliseconds after which an idle connection is closed.
_IDLE_TIMEOUT_MS = 60_000.0
_LIMITS = CallerLimits(body_bytes=1_048_576)


async def serve_auxiliary(
    address: str, handle: Handle, names: HeaderNames, event_log: EventLog
) -> None:
    """Serve requests at an address until cancelled.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    handle : callable
        Returns the response to a request.
    names : HeaderNames
        Header names.
    event_log : EventLog
        Event log.
    """

    async def serve(stream: Stream) -> None:
        reader = RequestReader(names, _LIMITS)
        try:
            await _serve(stream, handle, reader)
            await stream.close_gracefully(END_TIMEOUT_MS)
        except BrokenStream:
            pass
        except BadRequest as exc:
            event_log.event("bad-request", address=address, cause=exc.detail)
            await _reject(stream, exc)
        except Exception as exc:
            event_log.log_exception("side-http", exc)
        finally:
            reader.close()
            stream.close()

    async with trio.open_nursery() as nursery:
        await accept_all(listen(address), serve, nursery)


async def _reject(stream: Stream, exc: BadRequest) -> None:
    """Answer a malformed request and close the connection."""
    with contextlib.suppress(BrokenStream):
        await stream.send(encode_response(FinalResponse(exc.status), close=True))
        await stream.close_gracefully(END_TIMEOUT_MS)


async def _serve(stream: Stream, handle: Handle, reader: RequestReader) -> None:
    while True:
        data = b""
        with trio.move_on_after(_IDLE_TIMEOUT_MS / MS_PER_S):
            data = await stream.receive()
        if not data:
            return
        for req in reader.feed(data):
            await stream.send(encode_response(await handle(req), not req.keep_alive))
            if not req.keep_alive:
                return
        if reader.rejected is not None:
            raise reader.rejected
