"""Framing of links, and calls over the compressed links between data centres."""

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.frames import FrameReader, encode
from fuchsiagap_node.core.mesh.messages import Hello, Ping
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

HELLO = Hello("a-1", "x", "127.0.0.1:1", "hall-a", "certs")


class TestLink(TestCase):
    def test_parsing_stops_after_hello(self):
        reader = FrameReader()
        data = encode(HELLO) + encode(Ping())
        self.assertEqual([HELLO], reader.feed(data))
        self.assertEqual(encode(Ping()), reader.take_rest())

    def test_requests_and_replies_pass_between_data_centres(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                near = deployment.add("bookings", "hall-a")
                deployment.add("certs", "hall-b", slots=64)
                await deployment.settle()
                async with trio.open_nursery() as nursery:
                    answers = []

                    async def one(n):
                        answers.append(await near.send(f"/read/{n}", f"r{n}"))

                    for n in range(40):
                        nursery.start_soon(one, n)
                return answers

        answers = run_in_memory(main)
        self.assertEqual([200] * 40, [answer.status for answer in answers])
