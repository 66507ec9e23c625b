"""TCP connections: use after close, keepalive and acknowledgement timeouts."""

import socket
from unittest import mock

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.stream import (
    IDLE_PROBES,
    BrokenStream,
    SilentStream,
    Stream,
    dial,
)
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_on_loopback

READ = a_route("read")


class TestClosedStream(TestCase):
    def test_every_use_after_close_raises(self):
        async def main():
            ends = socket.socketpair(socket.AF_UNIX)
            streams = [Stream(_TcpLikeSocket(end)) for end in ends]
            for stream in streams:
                stream.close()
            messages = []
            for use in (
                streams[0].receive,
                lambda: streams[0].send(b"x"),
                streams[1].receive,
            ):
                try:
                    await use()
                except BrokenStream as exc:
                    messages.append(str(exc))
            return messages

        messages = trio.run(main)
        self.assertEqual(["closed by this end"] * 3, messages)

    def test_response_that_closes_its_connection_logs_no_exception(self):
        # After the response the node closes the connection before its next wait on it.
        async def main():
            async with a_deployment(READ) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                data = (
                    b"GET /none/1 HTTP/1.1\r\nHost: api.example\r\n"
                    b"Call-Id: r1\r\nConnection: close\r\n\r\n"
                )
                for _ in range(3):
                    stream = await dial(host.node.cfg.addresses.callers, 500.0)
                    await stream.send(data)
                    while await stream.receive():
                        pass
                    stream.close()
                return host.node.event_log.counts["events", "fault"]

        self.assertEqual(0, run_on_loopback(main))


class TestSilentStream(TestCase):
    def test_kernel_timeout_is_distinguished_from_a_reset(self):
        async def main():
            is_silent = []
            for error in (TimeoutError(110, "timed out"), ConnectionResetError()):
                near, far = socket.socketpair(socket.AF_UNIX)
                sock = _TcpLikeSocket(near)
                stream = Stream(sock)
                far.send(b"x")
                with mock.patch.object(sock, "recv", side_effect=error):
                    try:
                        await stream.receive()
                    except BrokenStream as exc:
                        is_silent.append(isinstance(exc, SilentStream))
                stream.close()
                far.close()
            return is_silent

        self.assertEqual([True, False], trio.run(main))

    def test_connection_to_a_backend_server_has_keepalive_and_user_timeout(self):
        async def main():
            async with a_deployment(READ) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                await host.send("/read/1", "r1")
                sock = host.node.backend_queue._conns._idle._conns[0]._stream._sock
                options = (
                    socket.TCP_USER_TIMEOUT,
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPCNT,
                )
                return [sock.getsockopt(socket.IPPROTO_TCP, name) for name in options]

        actual = run_on_loopback(main)
        expected = [1_000, IDLE_PROBES.idle_s, IDLE_PROBES.max_unanswered]
        self.assertEqual(expected, actual)


class _TcpLikeSocket:
    """Unix socket that accepts and ignores TCP options."""

    def __init__(self, sock):
        self._sock = sock

    def setsockopt(self, *_):
        pass

    def recv(self, *args):
        return self._sock.recv(*args)

    def __getattr__(self, name):
        return getattr(self._sock, name)
