"""A connection that this end has closed."""

import socket

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.stream import BrokenStream, Stream, dial
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
                return host.node.tell.counts["events", "fault"]

        self.assertEqual(0, run_on_loopback(main))


class _like_tcp:  # noqa: N801
    """A socket that takes the options of TCP and ignores them."""

    def __init__(self, sock):
        self._sock = sock

    def setsockopt(self, *_):
        pass

    def __getattr__(self, name):
        return getattr(self._sock, name)
