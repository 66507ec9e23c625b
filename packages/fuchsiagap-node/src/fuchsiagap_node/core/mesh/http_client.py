"""HTTP client for calls outside the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.http_response import BadResponse, ResponseReader
from fuchsiagap_node.core.mesh.stream import BrokenStream, Stream, dial

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.mesh.http_names import HeaderNames
    from fuchsiagap_node.core.mesh.http_response import Response

# Milliseconds within which a connection has to open.
_CONNECT_TIMEOUT_MS = 1_000.0
# Maximum size in bytes of the body of a response.
_MAX_BODY_BYTES = 16_777_216


class CallFailed(Exception):
    """No complete response arrived; the call may have taken effect."""


class HttpClient:
    """Client of one server; concurrent calls use separate connections.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    names : HeaderNames
        Header names.
    keeps_connection : bool, default=True
        Whether a connection is kept for the next call. Must be False for a server that
        may send a response twice, as its responses name no request.
    """

    def __init__(
        self, address: str, names: HeaderNames, keeps_connection: bool = True
    ) -> None:
        self._address = address
        self._names = names
        self._keeps_connection = keeps_connection
        self._idle: Stream | None = None

    async def call(
        self, method: str, target: str, body: bytes, wait: Milliseconds
    ) -> Response:
        """Send a request and return its response.

        Parameters
        ----------
        method : str
            Request method.
        target : str
            Request target.
        body : bytes
            JSON body; may be empty.
        wait : float
            Timeout of the call in milliseconds.

        Raises
        ------
        CallFailed
            If no complete response arrives in time.
        """
        with trio.move_on_after(wait / MS_PER_S):
            try:
                return await self._call(method, target, body)
            except (BrokenStream, BadResponse) as exc:
                raise CallFailed(f"{method} {target}: {exc}") from exc
        raise CallFailed(f"{method} {target}: no answer within {wait:.0f} ms")

    async def _call(self, method: str, target: str, body: bytes) -> Response:
        stream = await self._connect()
        is_reusable = False
        try:
            response = await self._exchange(stream, method, target, body)
            is_reusable = (
                self._keeps_connection and response.keep_alive and self._idle is None
            )
        finally:
            if is_reusable:
                self._idle = stream
            else:
                stream.close()
        return response

    async def _connect(self) -> Stream:
        """Return the idle connection if it is reusable, or a new one."""
        stream, self._idle = self._idle, None
        if stream is not None and stream.is_reusable():
            return stream
        if stream is not None:
            stream.close()
        stream = await dial(self._address, _CONNECT_TIMEOUT_MS)
        stream.enable_keepalive()
        return stream

    async def _exchange(
        self, stream: Stream, method: str, target: str, body: bytes
    ) -> Response:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._address}"]
        if body:
            lines.append("Content-Type: application/json")
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        await stream.send("\r\n".join([*lines, "", ""]).encode() + body)
        reader = ResponseReader(self._names, BodyMemory(_MAX_BODY_BYTES))
        try:
            return await _read_response(stream, reader)
        finally:
            # A reader that is not closed keeps its data until the garbage collector
            # runs, and calls that fail may be many.
            reader.close()

    def close(self) -> None:
        """Close the idle connection, if there is one."""
        if self._idle is not None:
            self._idle.close()
            self._idle = None


async def _read_response(stream: Stream, reader: ResponseReader) -> Response:
    """Return the next response on a connection."""
    while True:
        data = await stream.receive()
        if not data:
            # Not all of the request may have arrived before the connection ended.
            await stream.wait_acknowledged()
        responses = reader.feed(data) if data else reader.end()
        if responses:
            return responses[0]
        if not data:
            raise BadResponse("connection closed before a response")
