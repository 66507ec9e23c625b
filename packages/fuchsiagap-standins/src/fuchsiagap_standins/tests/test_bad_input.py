"""Bad input of all kinds ends in a clear error, and the node goes on serving."""

from __future__ import annotations

import random
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import httpx
import trio
from testtools import TestCase
from websockets.exceptions import ConnectionClosed
from websockets.trio.client import connect

from fuchsiagap_standins.answers import CallMark
from fuchsiagap_standins.calling import ClientRequest, Ending, http_sender
from fuchsiagap_standins.deployment import DeploymentSettings, run_deployment
from fuchsiagap_standins.graphs import load_graph_or_file
from fuchsiagap_standins.processes import process_group
from fuchsiagap_standins.tests.bad_input import CUT_SHORT, FRAMES, HTTP, LARGE_FRAME

GRAPH = """
[graph]
team = salt-fog
data centres = hall-a
deep service = bookings
[bookings]
instances = 1
slots = 30
connections = 300
[bookings/show]
match = GET /bookings/*
priority = 7
idempotent = yes
own time = 1ms
share = 1
[bookings/book]
match = POST /bookings
priority = 2
idempotent = no
own time = 1ms
"""
ANSWER_LIMIT_S = 5.0
FRAME_PAUSE_S = 0.05


@asynccontextmanager
async def one_node():
    """Run one node with its backend server as processes."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "small.ini"
        path.write_text(GRAPH)
        cfg = DeploymentSettings(load_graph_or_file(str(path)), str(path))
        with trio.fail_after(60):
            async with (
                process_group(Path(name)) as group,
                run_deployment(group, cfg) as running,
            ):
                yield running


async def exchange(address, data):
    """Send raw bytes and return all that comes back; None if nothing ends it."""
    host, _, port = address.rpartition(":")
    received = b""
    with trio.move_on_after(ANSWER_LIMIT_S):
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            try:
                await stream.send_all(data)
                while piece := await stream.receive_some(65536):
                    received += piece
                    if is_whole(received):
                        return received
            except trio.BrokenResourceError:
                pass
            return received
    return None


def is_whole(received):
    head, end, body = received.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return bool(end) and len(body) >= int(line.partition(b":")[2])
    return False


def is_error(received):
    """Whether the answer is an HTTP error, or the connection was just closed."""
    if received is None:
        return False
    return not received or received.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5"))


class BadInputTest(TestCase):
    def test_bad_input_of_a_hundred_kinds(self):
        self.assertGreater(len(HTTP) + len(CUT_SHORT) + len(FRAMES), 100)

        async def main():
            async with one_node() as running:
                await self.serves(running)
                await self.send_http(running)
                await self.send_frames(running)
                await self.stall(running)
                await self.serves(running)
                process = running.group.running["bookings-1"]
                self.assertIsNone(process.exit_code, process.log_tail())
                self.assertNotIn("Traceback", process.output())

        trio.run(main)

    async def send_http(self, running):
        (place,) = running.places
        wrong = []
        for data in HTTP:
            received = await exchange(place.callers, data)
            if not is_error(received):
                wrong.append((data[:120], received))
        self.assertEqual([], wrong)
        for data in CUT_SHORT:
            host, _, port = place.callers.rpartition(":")
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(data)
        await self.serves(running)

    async def send_frames(self, running):
        (place,) = running.places
        for frame in (*FRAMES, "a text message", LARGE_FRAME):
            await self.send_frame(place.peers, frame)
        await self.serves(running)

    async def send_frame(self, address, frame):
        async with connect(f"ws://{address}/", compression=None, proxy=None) as conn:
            try:
                await conn.send(frame)
                with trio.move_on_after(FRAME_PAUSE_S):
                    while True:
                        await conn.recv()
            except ConnectionClosed:
                return

    async def stall(self, running):
        """Leave many links and requests unfinished, and be served all the same."""
        (place,) = running.places
        streams = []
        for address in (place.callers, place.peers, place.admin):
            host, _, port = address.rpartition(":")
            for number in range(20):
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(b"POST /salt-fog/bookings/bookings HT"[:number])
                streams.append(stream)
        await self.serves(running)
        for stream in streams:
            await trio.aclose_forcefully(stream)

    async def serves(self, running):
        graph = running.cfg.graph
        route = graph.route("bookings/show")
        async with httpx.AsyncClient(trust_env=False) as client:
            send = http_sender(
                client, graph, running.caller_addresses, 5_000.0, random.Random(1)
            )
            request = ClientRequest(route, CallMark("good"), route.target(1), "")
            with trio.fail_after(10):
                while (await send(request)).ending is not Ending.ANSWERED:
                    await trio.sleep(0.05)
