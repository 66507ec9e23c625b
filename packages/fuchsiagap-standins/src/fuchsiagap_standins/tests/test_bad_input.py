"""Malformed input to a node causes an error response and no outage."""

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
from fuchsiagap_standins.deployment import DeploymentSettings, run_deployment
from fuchsiagap_standins.graphs import load_graph_or_file
from fuchsiagap_standins.processes import process_group
from fuchsiagap_standins.request_senders import (
    ClientRequest,
    RequestOutcome,
    http_sender,
)
from fuchsiagap_standins.tests.bad_input import (
    FRAMES,
    HTTP_REQUESTS,
    OVERSIZED_FRAME,
    TRUNCATED_REQUESTS,
)

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
ANSWER_TIMEOUT_S = 5.0
# Time in which the node can close the link after a frame.
FRAME_PAUSE_S = 0.05


@asynccontextmanager
async def open_single_node():
    """Run one node and its backend server as processes."""
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
    """Send raw bytes and return the response; None on a timeout.

    The response may be incomplete or empty if the node closed the connection.
    """
    host, _, port = address.rpartition(":")
    received = b""
    with trio.move_on_after(ANSWER_TIMEOUT_S):
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            try:
                await stream.send_all(data)
                while chunk := await stream.receive_some(65536):
                    received += chunk
                    if is_complete(received):
                        return received
            except trio.BrokenResourceError:
                pass
            return received
    return None


def is_complete(received):
    head, end, body = received.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return bool(end) and len(body) >= int(line.partition(b":")[2])
    return False


def is_error(received):
    """Whether the response is an HTTP error, or empty as the connection closed."""
    if received is None:
        return False
    return not received or received.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5"))


class BadInputTest(TestCase):
    def test_malformed_input_is_rejected(self):
        self.assertGreater(
            len(HTTP_REQUESTS) + len(TRUNCATED_REQUESTS) + len(FRAMES), 100
        )

        async def main():
            async with open_single_node() as running:
                await self.assert_serves(running)
                await self.send_http(running)
                await self.send_frames(running)
                await self.hold_idle_connections(running)
                await self.assert_serves(running)
                process = running.group.running["bookings-1"]
                self.assertIsNone(process.exit_code, process.log_tail())
                self.assertNotIn("Traceback", process.output())

        trio.run(main)

    async def send_http(self, running):
        (host_spec,) = running.host_specs
        wrong = []
        for data in HTTP_REQUESTS:
            received = await exchange(host_spec.callers, data)
            if not is_error(received):
                wrong.append((data[:120], received))
        self.assertEqual([], wrong)
        for data in TRUNCATED_REQUESTS:
            host, _, port = host_spec.callers.rpartition(":")
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(data)
        await self.assert_serves(running)

    async def send_frames(self, running):
        (host_spec,) = running.host_specs
        for frame in (*FRAMES, "a text message", OVERSIZED_FRAME):
            await self.send_frame(host_spec.peers, frame)
        await self.assert_serves(running)

    async def send_frame(self, address, frame):
        async with connect(f"ws://{address}/", compression=None, proxy=None) as conn:
            try:
                await conn.send(frame)
                with trio.move_on_after(FRAME_PAUSE_S):
                    while True:
                        await conn.recv()
            except ConnectionClosed:
                return

    async def hold_idle_connections(self, running):
        """Hold many incomplete requests open; the node must still serve others."""
        (host_spec,) = running.host_specs
        streams = []
        for address in (host_spec.callers, host_spec.peers, host_spec.admin):
            host, _, port = address.rpartition(":")
            for number in range(20):
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(b"POST /salt-fog/bookings/bookings HT"[:number])
                streams.append(stream)
        await self.assert_serves(running)
        for stream in streams:
            await trio.aclose_forcefully(stream)

    async def assert_serves(self, running):
        graph = running.cfg.graph
        route = graph.route("bookings/show")
        async with httpx.AsyncClient(trust_env=False) as client:
            send = http_sender(
                client, graph, running.caller_addresses, 5_000.0, random.Random(1)
            )
            request = ClientRequest(route, CallMark("good"), route.target(1), "")
            with trio.fail_after(10):
                while (await send(request)).outcome is not RequestOutcome.ANSWERED:
                    await trio.sleep(0.05)
