"""Small HTTP servers beside the path: reports, readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.callers import answer_bytes
from fuchsiagap_node.core.mesh.http_request import BadRequest, RequestReader
from fuchsiagap_node.core.mesh.stream import BrokenStream, accept_all, listen

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap_node.core.mesh.final_response import FinalResponse
    from fuchsiagap_node.core.mesh.http_names import HeaderNames
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.stream import Stream
    from fuchsiagap_node.core.mesh.telling import Teller

    Handle: TypeAlias = Callable[[Request], FinalResponse]

# Milliseconds that such a connection may be idle.
_IDLE_MS = 60_000.0
_LIMITS = CallerLimits(body_bytes=1_048_576)


async def serve_side(
    address: str, handle: Handle, names: HeaderNames, teller: Teller
) -> None:
    """Answer requests at an address with a plain function until cancelled.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    handle : callable
        Returns the answer to a request; it does not wait for anything.
    names : HeaderNames
        Header names.
    teller : Teller
        Logs.
    """

    async def serve(stream: Stream) -> None:
        try:
            await _serve(stream, handle, RequestReader(names, _LIMITS))
        except BrokenStream:
            pass
        except BadRequest as exc:
            teller.event("bad-request", address=address, cause=exc.detail)
        except Exception as exc:
            teller.fault("side-http", exc)
        finally:
            stream.close()

    async with trio.open_nursery() as nursery:
        await accept_all(listen(address), serve, nursery)


async def _serve(stream: Stream, handle: Handle, reader: RequestReader) -> None:
    while True:
        data = b""
        with trio.move_on_after(_IDLE_MS / MS_PER_S):
            data = await stream.receive()
        if not data:
            return
        for req in reader.feed(data):
            await stream.send(answer_bytes(handle(req), not req.keep_alive))
            if not req.keep_alive:
                return
