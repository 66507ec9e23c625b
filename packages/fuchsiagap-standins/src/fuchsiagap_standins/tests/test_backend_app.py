"""Tests of the backend server stand-in over HTTP."""

from __future__ import annotations

import json
import random
from contextlib import asynccontextmanager

import httpx
import trio
from testtools import TestCase

from fuchsiagap_standins.answers import CallMark, is_own_answer
from fuchsiagap_standins.backend import BackendStandIn
from fuchsiagap_standins.backend_app import backend_app
from fuchsiagap_standins.backend_types import (
    BackendFaults,
    BackendSettings,
    ChildOutcome,
    ChildResult,
    LoadReportMode,
)
from fuchsiagap_standins.graphs import load_graph
from fuchsiagap_standins.run_log import RunState
from fuchsiagap_standins.serving import serve_app

GRAPH = load_graph("queensland").with_time_scale(0.01)
MARK = CallMark("n1")


async def refuse(child):
    return ChildResult(ChildOutcome.REFUSED)


@asynccontextmanager
async def served(service):
    """Serve a backend server; yield the server, a client and the address."""
    cfg = BackendSettings(GRAPH, service, f"{service}-1")
    server = BackendStandIn(cfg, refuse, random.Random(1))
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_app, backend_app(server), "127.0.0.1:0")
        async with httpx.AsyncClient(
            base_url=f"http://{address}", headers=dict(MARK.headers()), trust_env=False
        ) as client:
            with trio.fail_after(20):
                yield server, client, address
        nursery.cancel_scope.cancel()


class BackendAppTest(TestCase):
    def run_app(self, service, use):
        async def main():
            async with served(service) as (server, client, address):
                await use(server, client, address)

        trio.run(main)

    def test_complete_answer_and_unknown_path(self):
        async def use(server, client, _):
            response = await client.get("/bookings/1")
            own = is_own_answer(response.content, MARK, "bookings/show")
            self.assertTrue(own)
            self.assertEqual(404, (await client.get("/nothing")).status_code)

        self.run_app("bookings", use)

    def test_refusals_carry_the_not_run_header(self):
        async def use(server, client, _):
            child_refused = await client.post("/bookings")
            server.draining = True
            draining = await client.get("/bookings/1")
            for response in (child_refused, draining):
                self.assertEqual(503, response.status_code)
                self.assertEqual("1", response.headers["fuchsiagap-not-run"])

        self.run_app("bookings", use)

    def test_closed_connection_cancels_the_run(self):
        async def use(server, client, address):
            server.faults = BackendFaults(hang=1.0)
            host, _, port = address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(b"GET /bookings/1 HTTP/1.1\r\nhost: b\r\n\r\n")
            while not server.runs:
                await trio.sleep(0.005)
            await stream.aclose()
            while server.runs[0].state is RunState.STARTED:
                await trio.sleep(0.005)
            self.assertIs(RunState.CANCELLED, server.runs[0].state)

        self.run_app("bookings", use)

    def test_expired_deadline_cancels_the_run(self):
        async def use(server, client, _):
            server.faults = BackendFaults(hang=1.0)
            headers = {"fuchsiagap-deadline-ms": "50"}
            response = await client.get("/bookings/1", headers=headers)
            self.assertEqual(504, response.status_code)
            self.assertNotIn("fuchsiagap-not-run", response.headers)
            self.assertIs(RunState.CANCELLED, server.runs[0].state)

        self.run_app("bookings", use)

    def test_lost_answer_closes_the_connection(self):
        async def use(server, client, _):
            server.faults = BackendFaults(lose_answers=1.0)
            with self.assertRaises(httpx.RemoteProtocolError):
                await client.get("/bookings/1")
            self.assertIs(RunState.DONE, server.runs[0].state)

        self.run_app("bookings", use)

    def test_control_changes_faults_and_reports_expected_fields(self):
        async def use(server, client, _):
            change = {"load_word": "lying", "slow": 3.0, "draining": True}
            await client.post("/-/control", json=change)
            self.assertIs(LoadReportMode.LYING, server.faults.load_word)
            self.assertTrue(server.draining)
            load = (await client.get("/-/load")).json()
            self.assertEqual((120, 0), (load["slots"], load["in_flight"]))
            for bad in (b"[]", b"x", json.dumps({"slo": 1}).encode()):
                response = await client.post("/-/control", content=bad)
                self.assertEqual(400, response.status_code)
                self.assertIn("slow", response.json()["expected"])
            self.assertEqual(3.0, server.faults.slow)

        self.run_app("bookings", use)
