"""Callers whose connection is reset amid a request, and who go elsewhere.

What users saw: a connection was dropped in a request that must not run twice, the
technician pressed again, and two cycle starts stood in the record; two certificates,
and nobody knew which was real. What is promised there: each attempt runs at most once,
whatever becomes of the connection; one that has no place yet when its caller leaves
never runs; one that runs is left to end. What the caller saw of it is in doubt. Pressed
again, it is another attempt under another identifier, which is told as it is.
"""

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.stream import BrokenStream, dial
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route, request_bytes
from fuchsiagap_standins.mesh.virtual import run_in_memory

WRITE = a_route("write", idempotent=False, timeout=2_000.0)
READ = a_route("read", timeout=2_000.0)
WORK_MS = 300.0


async def a_service(deployment, data_centre, slots=8):
    """Return an entry without a server of the service, and the server's host."""
    entry = deployment.add("pages")
    host = deployment.add("certs", data_centre, slots=slots)
    host.server.behave = lambda _: Behaviour(work=WORK_MS)
    await deployment.settle()
    return entry, host


async def send(host, path, request_id, method="POST"):
    """Send a request and return its connection."""
    stream = await dial(host.node.cfg.addresses.callers, 500.0)
    await stream.send(request_bytes(path, request_id, method=method))
    return stream


def runs(*hosts):
    """Return the identifiers of what the servers of hosts ran, in order."""
    found = []
    for host in hosts:
        for head in host.server.heads:
            lines = head.headers.split(b"\r\n")
            found += [x.partition(b": ")[2] for x in lines if x.startswith(b"Call-Id")]
    return [name.decode() for name in found]


class TestResets(TestCase):
    def play(self, data_centre, path, after, method="POST", slots=8):
        """Return what ran where a caller is reset some time after it has asked."""

        async def main():
            async with a_deployment(WRITE, READ) as deployment:
                entry, host = await a_service(deployment, data_centre, slots)
                first = None
                if slots == 1:
                    first = await send(entry, path, "first", method)
                    await trio.sleep(0.05)
                stream = await send(entry, path, "asked", method)
                await trio.sleep(after)
                stream.close()
                await trio.sleep(0.1)
                running = host.node.backend_queue.running
                await trio.sleep(2.0)
                if first is not None:
                    first.close()
                return runs(host), running

        return run_in_memory(main)

    def test_reset_before_it_is_passed_on(self):
        # Its server has one place, which another request holds.
        for data_centre in ("hall-a", "hall-b"):
            ran, _ = self.play(data_centre, "/write/1", 0.05, slots=1)
            self.assertEqual(["first"], ran, data_centre)

    def test_reset_while_it_runs(self):
        for data_centre in ("hall-a", "hall-b"):
            ran, running = self.play(data_centre, "/write/1", 0.1)
            self.assertEqual((["asked"], 1), (ran, running), data_centre)

    def test_reset_after_it_has_run(self):
        for data_centre in ("hall-a", "hall-b"):
            ran, running = self.play(data_centre, "/write/1", 0.5)
            self.assertEqual((["asked"], 0), (ran, running), data_centre)

    def test_reset_of_what_may_be_repeated_ends_it_at_the_server(self):
        for data_centre in ("hall-a", "hall-b"):
            ran, running = self.play(data_centre, "/read/1", 0.1, "GET")
            self.assertEqual((["asked"], 0), (ran, running), data_centre)

    def test_reset_on_the_first_byte(self):
        async def main():
            async with a_deployment(WRITE) as deployment:
                entry, host = await a_service(deployment, "hall-a")
                stream = await dial(entry.node.cfg.addresses.callers, 500.0)
                await stream.send(request_bytes("/write/1", "asked", method="POST")[:9])
                stream.close()
                await trio.sleep(2.0)
                return runs(host)

        self.assertEqual([], run_in_memory(main))

    def moved(self, after):
        """Return statuses and runs where a caller is reset and asks elsewhere."""

        async def main():
            async with a_deployment(WRITE) as deployment:
                entry, host = await a_service(deployment, "hall-a")
                elsewhere = deployment.add("pages", "hall-b")
                await deployment.settle()
                stream = await send(entry, "/write/1", "asked")
                await trio.sleep(after)
                stream.close()
                answer = await elsewhere.send("/write/1", "again", method="POST")
                await trio.sleep(1.0)
                return answer.status, runs(host)

        return run_in_memory(main)

    def test_asked_again_after_a_move_each_attempt_runs_once(self):
        for after in (0.1, 0.5):
            self.assertEqual((200, ["asked", "again"]), self.moved(after))

    def test_link_that_is_lost_while_it_runs_repeats_nothing(self):
        async def main():
            async with a_deployment(WRITE) as deployment:
                entry, host = await a_service(deployment, "hall-b")
                answers = []

                async def ask():
                    answers.append(await entry.send("/write/1", "asked", method="POST"))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await trio.sleep(0.1)
                    link = next(iter(entry.node._links))
                    link._serving.end(BrokenStream("silent"))
                await trio.sleep(1.0)
                return answers[0].status, runs(host)

        # Neither an answer nor a word that it has not run: in doubt.
        self.assertEqual((502, ["asked"]), run_in_memory(main))
