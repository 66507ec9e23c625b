"""A connection that this end has closed."""

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
    def test_every_use_after_the_close_says_so(self):
        async def main():
            ends = socket.socketpair(socket.AF_UNIX)
            streams = [Stream(_like_tcp(end)) for end in ends]
            for stream in streams:
                stream.close()
            said = []
            for use in (
                streams[0].receive,
                lambda: streams[0].send(b"x"),
                streams[1].receive,
            ):
                try:
                    await use()
                except BrokenStream as exc:
                    said.append(str(exc))
            return said

        said = trio.run(main)
        self.assertEqual(["closed by this end"] * 3, said)

    def test_refusal_that_ends_its_connection_is_no_fault(self):
        # The connection's own task closes it before its next wait.
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
    def test_end_by_the_systems_timeout_is_told_from_a_reset(self):
        async def main():
            told = []
            for error in (TimeoutError(110, "timed out"), ConnectionResetError()):
                near, far = socket.socketpair(socket.AF_UNIX)
                sock = _like_tcp(near)
                stream = Stream(sock)
                far.send(b"x")
                with mock.patch.object(sock, "recv", side_effect=error):
                    try:
                        await stream.receive()
                    except BrokenStream as exc:
                        told.append(isinstance(exc, SilentStream))
                stream.close()
                far.close()
            return told

        self.assertEqual([True, False], trio.run(main))

    def test_connection_to_a_backend_server_is_probed_and_given_up(self):
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

        set_to = run_on_loopback(main)
        expected = [1_000, IDLE_PROBES.idle_s, IDLE_PROBES.unanswered]
        self.assertEqual(expected, set_to)


class _like_tcp:  # noqa: N801
    """A socket that takes the options of TCP and ignores them."""

    def __init__(self, sock):
        self._sock = sock

    def setsockopt(self, *_):
        pass

    def recv(self, *args):
        return self._sock.recv(*args)

    def __getattr__(self, name):
        return getattr(self._sock, name)
