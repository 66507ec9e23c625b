"""Which ends of a server are crashes, and what the node beside it says of them."""

import json

import trio
from testtools import TestCase

from fuchsiagap.core.door.incarnation import BackendState
from fuchsiagap.core.quarantine.fingerprint import fingerprint
from fuchsiagap_standins.mesh.backend_server import Behaviour, Manner
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

GUILTY = b"guilty"


def a_print(body):
    """Return the fingerprint of a request of these tests, as lines show it."""
    method = b"POST" if body else b"GET"
    return fingerprint(method, "api.example", b"/read/1", (), body).hex()


def behave(req):
    """Crash on one body, and work on everything else."""
    if req.body == GUILTY:
        return Behaviour(Manner.CRASH, 30.0)
    return Behaviour(work=100.0)


async def crash_lines(play):
    """Play something on one host and return its lines about crashes."""
    async with a_deployment(a_route("read", max_attempts=1)) as deployment:
        host = deployment.add("certs")
        host.server.behave = behave
        await deployment.settle()
        async with trio.open_nursery() as nursery:
            await play(host, nursery)
            await trio.sleep(1.0)
        lines = map(json.loads, host.node.event_log.lines())
        return [line for line in lines if line["event"] == "backend-crashed"]


class TestServerCrashes(TestCase):
    def test_crash_names_what_the_server_ran(self):
        async def play(host, nursery):
            nursery.start_soon(host.send, "/read/1", "r-1")
            nursery.start_soon(host.send, "/read/1", "r-2", 2_000.0, "POST", GUILTY)

        (line,) = run_in_memory(lambda: crash_lines(play))
        self.assertEqual("no connection", line["evidence"])
        self.assertEqual("i-certs-0", line["incarnation"])
        self.assertEqual({a_print(b""), a_print(GUILTY)}, set(line["fingerprints"]))

    def test_server_whose_connections_fall_silent_has_crashed_once_it_is_back(self):
        async def play(host, nursery):
            host.server.behave = lambda _: Behaviour(Manner.MUTE)
            nursery.start_soon(host.send, "/read/1", "r-1", 500.0)
            await trio.sleep(0.1)
            host.server.instance = "i-again"
            host.report()

        (line,) = run_in_memory(lambda: crash_lines(play))
        self.assertEqual("another incarnation", line["evidence"])
        self.assertEqual([a_print(b"")], line["fingerprints"])

    def test_broken_answer_of_a_server_that_lives_is_no_crash(self):
        async def play(host, nursery):
            host.server.behave = lambda _: Behaviour(Manner.CUT)
            await host.send("/read/1", "r-1")
            host.server.behave = behave
            await host.send("/read/1", "r-2")

        self.assertEqual([], run_in_memory(lambda: crash_lines(play)))

    def test_end_of_a_server_that_was_leaving_is_no_crash(self):
        async def play(host, nursery):
            nursery.start_soon(host.send, "/read/1", "r-1")
            await trio.sleep(0.02)
            host.report(BackendState.DRAINING)
            host.server.crash()

        self.assertEqual([], run_in_memory(lambda: crash_lines(play)))

    def test_crash_of_an_idle_server_accuses_nobody(self):
        async def play(host, nursery):
            await host.send("/read/1", "r-1")
            host.server.crash()
            await trio.sleep(6.0)

        self.assertEqual([], run_in_memory(lambda: crash_lines(play)))
