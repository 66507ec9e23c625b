"""Serves the requests of one HTTP connection for the test doubles."""

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
    """Answer requests in order until the connection ends.

    Parameters
    ----------
    stream : Stream
        The connection; closed on return, also if `answer` raises `BrokenStream`.
    reader : RequestReader
        Parser of the received bytes.
    answer : callable
        Sends the response to a request on the stream.
    """
    try:
        while data := await stream.receive():
            requests = reader.feed(data)
            while requests:
                await answer(stream, requests.pop(0))
    except BrokenStream:
        pass
    finally:
        stream.close()
