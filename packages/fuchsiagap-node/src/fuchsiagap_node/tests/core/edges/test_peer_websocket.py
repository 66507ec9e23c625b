"""Websocket links with malformed data, failed handshakes and cancelled senders."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio
import trio.testing
from testtools import TestCase

from fuchsiagap_node.core.edges.peer_websocket import (
    MAX_FRAME_BYTES,
    WebsocketLink,
    serve_links,
    websocket_dial,
)
from fuchsiagap_node.core.ports import DialFailed, Link, LinkClosed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# The tests use real sockets and so the real clock, but do not depend on timing.
_TEST_TIMEOUT_S = 60.0


class _Server:
    """Accepts links and echoes frames while `may_read` is set."""

    def __init__(self) -> None:
        self.address = ""
        self.may_read = trio.Event()
        self.may_read.set()
        self.closed: list[str] = []

    async def echo(self, link: Link) -> None:
        while True:
            await self.may_read.wait()
            frame = await link.receive()
            if isinstance(frame, LinkClosed):
                self.closed.append(frame.detail)
                return
            await link.send(frame)


class TestWebsocketLink(TestCase):
    def _run(
        self, scenario: Callable[[_Server, trio.Nursery], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            server = _Server()
            with trio.fail_after(_TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                    host, port = listeners[0].socket.getsockname()
                    server.address = f"{host}:{port}"
                    nursery.start_soon(serve_links, listeners, server.echo)
                    await scenario(server, nursery)
                    # Other links still work.
                    link = await _dial(server, nursery)
                    await link.send(b"next")
                    self.assertEqual(b"next", await link.receive())
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_frames_arrive_unchanged_and_in_order(self) -> None:
        async def scenario(server: _Server, nursery: trio.Nursery) -> None:
            link = await _dial(server, nursery)
            frames = [bytes([n]) * (n * 1000) for n in range(1, 60)]

            async def send() -> None:
                for frame in frames:
                    await link.send(frame)

            nursery.start_soon(send)
            for frame in frames:
                self.assertEqual(frame, await link.receive())

        self._run(scenario)

    def test_cancelled_send_does_not_truncate_frames(self) -> None:
        async def scenario(server: _Server, nursery: trio.Nursery) -> None:
            link = await _dial(server, nursery)
            server.may_read = trio.Event()
            frame = b"x" * (MAX_FRAME_BYTES - 1)
            scopes = [trio.CancelScope() for _ in range(200)]

            async def send(scope: trio.CancelScope) -> None:
                with scope:
                    await link.send(frame)

            for scope in scopes:
                nursery.start_soon(send, scope)
            await trio.testing.wait_all_tasks_blocked(0.05)
            for scope in scopes[::2]:
                scope.cancel()
            server.may_read.set()
            with trio.move_on_after(1.0):
                while True:
                    self.assertEqual(frame, await link.receive())

        self._run(scenario)

    def test_connection_without_handshake_is_closed(self) -> None:
        async def scenario(server: _Server, nursery: trio.Nursery) -> None:
            for data in (
                b"",
                b"GET / HTTP/1.1\r\n\r\n",
                b"GET / HTTP/1.1\r\nhost: a\r\nupgrade: other\r\n\r\n",
                b"\x00\xff" * 100,
                b"x" * 100_000,
            ):
                stream = await _connect(server)
                received = b""
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(data)
                    await stream.send_eof()
                    async for part in stream:
                        received += part
                self.assertNotIn(b" 101 ", received)

        self._run(scenario)

    def test_invalid_frames_close_the_link(self) -> None:
        async def scenario(server: _Server, nursery: trio.Nursery) -> None:
            for number, data in enumerate(
                (
                    b"\x81\x83\x00\x00\x00\x00abc",  # text
                    b"\x02\x83\x00\x00\x00\x00abc",  # a first fragment
                    b"\x82\x03abc",  # not masked
                    b"\x82\xff\x00\x00\x00\x00\x00\x10\x00\x00\x00\x00\x00\x00",  # long
                    b"\xf2\x83\x00\x00\x00\x00abc",  # reserved bits
                )
            ):
                link = await _dial(server, nursery)
                await link.stream.send_all(data)
                self.assertIsInstance(await link.receive(), LinkClosed)
                await link.aclose()
                self.assertEqual(number + 1, len(server.closed))

        self._run(scenario)

    def test_dial_fails_without_a_websocket_handshake(self) -> None:
        async def scenario(server: _Server, nursery: trio.Nursery) -> None:
            for reply in (b"", b"HTTP/1.1 200 OK\r\n\r\n", b"\x00" * 50):
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                host, port = listeners[0].socket.getsockname()

                async def respond(
                    stream: trio.SocketStream, data: bytes = reply
                ) -> None:
                    await stream.receive_some(10_000)
                    await stream.send_all(data)
                    await stream.aclose()

                nursery.start_soon(trio.serve_listeners, respond, listeners)
                dialled = await websocket_dial(nursery)(f"{host}:{port}")
                self.assertIsInstance(dialled, DialFailed)

        self._run(scenario)


async def _dial(server: _Server, nursery: trio.Nursery) -> WebsocketLink:
    link = await websocket_dial(nursery)(server.address)
    assert isinstance(link, WebsocketLink), link
    return link


async def _connect(server: _Server) -> trio.SocketStream:
    host, _, port = server.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))
