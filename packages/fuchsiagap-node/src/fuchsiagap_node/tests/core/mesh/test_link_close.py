"""Replies on links that end: by a planned stop, and while the other end sends."""

import socket

import trio
from testtools import TestCase

from fuchsiagap.core.clock import trio_clock
from fuchsiagap_node.core.mesh.frames import encode
from fuchsiagap_node.core.mesh.link import FramedLink
from fuchsiagap_node.core.mesh.messages import Ping, Pong
from fuchsiagap_node.core.mesh.poller import EpollPoller
from fuchsiagap_node.core.mesh.stream import BrokenStream, Stream
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_on_loopback

READ = a_route("read", timeout=30_000.0)
BODY = b"x" * 12_000_000
# Milliseconds of work, which end in the second half of a stop.
WORK_MS = 3_000.0


class TestPlannedStop(TestCase):
    def test_planned_stop_delivers_the_replies_on_links(self):
        async def main(data_centre):
            async with a_deployment(READ) as deployment:
                entry = deployment.add("pages")
                host = deployment.add("certs", data_centre)
                host.server.behave = lambda _: Behaviour(work=WORK_MS, body=BODY)
                await deployment.settle()
                answers = []

                async def ask():
                    answers.append(await entry.send("/read/1", "r1", wait=30_000.0))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await trio.sleep(0.1)
                    nursery.start_soon(pause_link, entry)
                    await host.node.stop()
                    host.kill()
                return [(x.status, len(x.body)) for x in answers if x is not None]

        for data_centre in ("hall-a", "hall-b"):
            answers = run_on_loopback(lambda data_centre=data_centre: main(data_centre))
            self.assertEqual([(200, len(BODY))], answers, data_centre)


async def pause_link(host):
    """Read nothing from the link of a host while the reply to its call is due."""
    (link,) = host.node._links
    stream = link._connection._stream
    await trio.sleep(WORK_MS / 1_000 - 0.2)
    stream.pause()
    await trio.sleep(0.5)
    stream.resume()


class TestFailedSend(TestCase):
    def test_failed_send_does_not_drop_received_messages(self):
        async def main():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                near = socket.create_connection(listener.getsockname())
                far, _ = listener.accept()
            stream, poller, received = Stream(near), EpollPoller(), []
            link = FramedLink(stream, trio_clock())

            async def serve():
                try:
                    await link.serve(poller, received.append)
                except BrokenStream:
                    return

            async with trio.open_nursery() as nursery:
                nursery.start_soon(poller.run)
                nursery.start_soon(serve)
                await trio.sleep(0.01)
                stream.pause()
                link.post(Ping())
                far.sendall(encode(Pong()) * 2)
                # Resets the connection, as the ping has not been read.
                far.close()
                link.post(Ping())
                stream.resume()
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            link.close()
            return received

        self.assertEqual([Pong(), Pong()], trio.run(main))
