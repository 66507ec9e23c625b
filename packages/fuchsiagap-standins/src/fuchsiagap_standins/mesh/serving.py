"""The serving of one HTTP connection, as the stand-ins of the mesh do it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_node.core.mesh.http_request import Request, RequestReader
    from fuchsiagap_node.core.mesh.stream import Stream


async def serve_requests(
    stream: Stream,
    reader: RequestReader,
    answer: Callable[[Stream, Request], Awaitable[None]],
) -> None:
    """Answer one request after the other until the connection ends.

    Parameters
    ----------
    stream : Stream
        The connection; closed at the end, also where `answer` raises `BrokenStream`.
    reader : RequestReader
        Cuts its bytes into requests.
    answer : callable
        Sends the answer to a request.
    """
    try:
        while data := await stream.receive():
            for req in reader.feed(data):
                await answer(stream, req)
    except BrokenStream:
        pass
    finally:
        stream.close()
