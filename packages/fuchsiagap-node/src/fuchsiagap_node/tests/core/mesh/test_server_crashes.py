"""Distinction of server crashes from planned stops, and the log event of a crash."""

import json

import trio
from testtools import TestCase

from fuchsiagap.core.backend_queue.incarnation import BackendState
from fuchsiagap.core.quarantine.fingerprint import fingerprint
from fuchsiagap_standins.mesh.backend_server import Behaviour, ResponseMode
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

CRASHING = b"guilty"


def logged_fingerprint(body):
    """Return the fingerprint of a request of these tests, as logged."""
    method = b"POST" if body else b"GET"
    return fingerprint(method, "api.example", b"/read/1", (), body).hex()


def behave(req):
    """Crash on the request with one body, and answer all others."""
    if req.body == CRASHING:
        return Behaviour(ResponseMode.CRASH, 30.0)
    return Behaviour(work=100.0)


async def crash_events(scenario):
    """Run `scenario` on one host and return its log events about crashes."""
    async with a_deployment(a_route("read", max_attempts=1)) as deployment:
        host = deployment.add("certs")
        host.server.behave = behave
        await deployment.settle()
        async with trio.open_nursery() as nursery:
            await scenario(host, nursery)
            await trio.sleep(1.0)
        events = map(json.loads, host.node.event_log.lines())
        return [event for event in events if event["event"] == "backend-crashed"]


class TestServerCrashes(TestCase):
    def test_crash_event_names_the_requests_that_ran(self):
        async def scenario(host, nursery):
            nursery.start_soon(host.send, "/read/1", "r-1")
            nursery.start_soon(host.send, "/read/1", "r-2", 2_000.0, "POST", CRASHING)

        (event,) = run_in_memory(lambda: crash_events(scenario))
        self.assertEqual("no connection", event["evidence"])
        self.assertEqual("i-certs-0", event["incarnation"])
        self.assertEqual(
            {logged_fingerprint(b""), logged_fingerprint(CRASHING)},
            set(event["fingerprints"]),
        )

    def test_new_incarnation_reveals_a_crash_with_silent_connections(self):
        async def scenario(host, nursery):
            host.server.behave = lambda _: Behaviour(ResponseMode.MUTE)
            nursery.start_soon(host.send, "/read/1", "r-1", 500.0)
            await trio.sleep(0.1)
            host.server.instance = "i-again"
            host.report()

        (event,) = run_in_memory(lambda: crash_events(scenario))
        self.assertEqual("another incarnation", event["evidence"])
        self.assertEqual([logged_fingerprint(b"")], event["fingerprints"])

    def test_broken_answer_of_a_live_server_is_not_a_crash(self):
        async def scenario(host, nursery):
            host.server.behave = lambda _: Behaviour(ResponseMode.CUT)
            await host.send("/read/1", "r-1")
            host.server.behave = behave
            await host.send("/read/1", "r-2")

        self.assertEqual([], run_in_memory(lambda: crash_events(scenario)))

    def test_end_of_a_draining_server_is_not_a_crash(self):
        async def scenario(host, nursery):
            nursery.start_soon(host.send, "/read/1", "r-1")
            await trio.sleep(0.02)
            host.report(BackendState.DRAINING)
            host.server.crash()

        self.assertEqual([], run_in_memory(lambda: crash_events(scenario)))

    def test_crash_of_an_idle_server_is_not_reported(self):
        async def scenario(host, nursery):
            await host.send("/read/1", "r-1")
            host.server.crash()
            await trio.sleep(6.0)

        self.assertEqual([], run_in_memory(lambda: crash_events(scenario)))
