"""Callers whose connection is reset during a non-idempotent request.

Guards against duplicate effects: after a reset a user repeats the action, and the
record shows two cycle starts, or two certificates of which the valid one is unknown.
Each attempt runs at most once, whatever happens to its connection. An attempt that is
still queued when its caller disconnects never runs; one that is running is not
cancelled, and its outcome is unknown to the caller. A repeated action is a new attempt
with a new identifier, and is reported as such.
"""

from functools import partial
from unittest import mock

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES
from fuchsiagap_node.core.mesh.stream import BrokenStream, dial
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route, request_bytes
from fuchsiagap_standins.mesh.memory_sockets import MemorySocket
from fuchsiagap_standins.mesh.virtual import run_in_memory

WRITE = a_route("write", idempotent=False, timeout=2_000.0)
READ = a_route("read", timeout=2_000.0)
WORK_MS = 300.0


async def deploy_service(deployment, data_centre, slots=8):
    """Return a host without a server of the service, and the host with the server."""
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
    """Return the identifiers of the requests that the servers ran, in order."""
    found = []
    for host in hosts:
        for head in host.server.heads:
            lines = head.headers.split(b"\r\n")
            found += [x.partition(b": ")[2] for x in lines if x.startswith(b"Call-Id")]
    return [name.decode() for name in found]


class TestResets(TestCase):
    def reset_after(self, data_centre, path, after, method="POST", slots=8):
        """Reset a caller `after` seconds after its request.

        Returns the identifiers of the requests that ran, and the number of requests
        still running 0.1 s after the reset.
        """

        async def main():
            async with a_deployment(WRITE, READ) as deployment:
                entry, host = await deploy_service(deployment, data_centre, slots)
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

    def test_queued_request_does_not_run_after_a_reset(self):
        # The server has one slot, which another request occupies.
        for data_centre in ("hall-a", "hall-b"):
            ran, _ = self.reset_after(data_centre, "/write/1", 0.05, slots=1)
            self.assertEqual(["first"], ran, data_centre)

    def test_running_request_is_not_cancelled_by_a_reset(self):
        for data_centre in ("hall-a", "hall-b"):
            ran, running = self.reset_after(data_centre, "/write/1", 0.1)
            self.assertEqual((["asked"], 1), (ran, running), data_centre)

    def test_finished_request_does_not_run_again_after_a_reset(self):
        for data_centre in ("hall-a", "hall-b"):
            ran, running = self.reset_after(data_centre, "/write/1", 0.5)
            self.assertEqual((["asked"], 0), (ran, running), data_centre)

    def test_reset_cancels_an_idempotent_request_at_the_server(self):
        for data_centre in ("hall-a", "hall-b"):
            ran, running = self.reset_after(data_centre, "/read/1", 0.1, "GET")
            self.assertEqual((["asked"], 0), (ran, running), data_centre)

    def test_incomplete_request_does_not_run_after_a_reset(self):
        async def main():
            async with a_deployment(WRITE) as deployment:
                entry, host = await deploy_service(deployment, "hall-a")
                stream = await dial(entry.node.cfg.addresses.callers, 500.0)
                await stream.send(request_bytes("/write/1", "asked", method="POST")[:9])
                stream.close()
                await trio.sleep(2.0)
                return runs(host)

        self.assertEqual([], run_in_memory(main))

    def send_elsewhere(self, after):
        """Reset a caller `after` seconds after its request; it sends to another node.

        Returns the status of the second attempt, and the identifiers of the requests
        that ran.
        """

        async def main():
            async with a_deployment(WRITE) as deployment:
                entry, host = await deploy_service(deployment, "hall-a")
                elsewhere = deployment.add("pages", "hall-b")
                await deployment.settle()
                stream = await send(entry, "/write/1", "asked")
                await trio.sleep(after)
                stream.close()
                answer = await elsewhere.send("/write/1", "again", method="POST")
                await trio.sleep(1.0)
                return answer.status, runs(host)

        return run_in_memory(main)

    def test_each_attempt_runs_once_after_a_move_to_another_node(self):
        for after in (0.1, 0.5):
            self.assertEqual((200, ["asked", "again"]), self.send_elsewhere(after))

    def test_lost_link_during_a_request_causes_no_retry(self):
        async def main():
            async with a_deployment(WRITE) as deployment:
                entry, host = await deploy_service(deployment, "hall-b")
                answers = []

                async def ask():
                    answers.append(await entry.send("/write/1", "asked", method="POST"))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await trio.sleep(0.1)
                    link = next(iter(entry.node._links))
                    link._connection.end(BrokenStream("silent"))
                await trio.sleep(1.0)
                return answers[0].status, runs(host)

        # Unknown outcome: neither a response nor a statement that it did not run.
        self.assertEqual((502, ["asked"]), run_in_memory(main))


def reset_after_heads(heads):
    """Return a patch that resets connections to servers after a head is sent.

    Parameters
    ----------
    heads : list of MemorySocket
        Receives the socket of each head.
    """
    original = MemorySocket.send

    def send(sock, data):
        if sock in heads and len(data) >= LARGE_BODY_BYTES:
            sock._is_reset = True
            sock._wake_reader()
            raise ConnectionResetError
        if b"Incarnation-Wanted" in bytes(data):
            heads.append(sock)
        return original(sock, data)

    return mock.patch.object(MemorySocket, "send", send)


class TestResetsDuringSend(TestCase):
    def test_request_is_not_sent_again_when_its_head_was_sent_before_a_reset(self):
        async def main(n_before):
            async with a_deployment(WRITE) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                for n in range(n_before):
                    await host.send(f"/write/{n}", f"r{n}", method="POST")
                heads = []
                with reset_after_heads(heads):
                    body = bytes(2 * LARGE_BODY_BYTES)
                    answer = await host.send("/write/1", "x", method="POST", body=body)
                return answer.status, len(heads)

        for n_before in (0, 1):
            self.assertEqual((502, 1), run_in_memory(partial(main, n_before)))
