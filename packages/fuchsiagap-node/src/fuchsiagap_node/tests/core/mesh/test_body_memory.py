"""Bodies that are still in memory after their request has ended."""

import gc
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.stream import BrokenStream, dial
from fuchsiagap_standins.mesh.backend_server import Behaviour, ResponseMode
from fuchsiagap_standins.mesh.deployment import (
    a_deployment,
    a_route,
    a_workspace,
    request_bytes,
)
from fuchsiagap_standins.mesh.virtual import run_in_memory

BODY_BYTES = 300_000
ROUTES = (
    a_route("read", idempotent=True, timeout=400.0),
    a_route("write", idempotent=False, timeout=400.0),
)


def live_bodies():
    """Return the bodies that any object refers to, by identity."""
    return {
        id(part): part
        for holder in gc.get_objects()
        for part in gc.get_referents(holder)
        if isinstance(part, bytes | bytearray) and len(part) >= BODY_BYTES // 5
    }


async def run_without_collections(main):
    """Return the sizes of the bodies that are live after `main` and were not before."""
    gc.collect()
    gc.disable()
    try:
        before = live_bodies()
        after = await main()
    finally:
        gc.enable()
    return sorted(len(after[key]) for key in after.keys() - before.keys())


def bodies_after(end_requests, behave, path, workspaces=None, **options):
    """Return the sizes of the bodies that are live after requests have ended.

    Parameters
    ----------
    end_requests : callable
        Sends requests to the given host, and waits until they have ended.
    behave : callable
        Behaviour of all servers.
    path : str
        Path of the requests.
    workspaces : sequence of Workspace, optional
        Declared workspaces.
    **options
        Arguments of `Deployment.add` for the hosts of the service.
    """

    async def main():
        async with a_deployment() as deployment:
            deployment.put_config(*ROUTES, workspaces=workspaces)
            caller = deployment.add("bookings")
            remote = deployment.add("certs", "hall-b", **options)
            local = deployment.add("certs", **options)
            servers = [remote.server, local.server]
            for server in servers:
                server.behave = behave
            await deployment.settle()
            for host in (caller, local):
                await end_requests(host, path)
            await trio.sleep(2.0)
            for server in servers:
                server.heads.clear()
            nodes = [host.node for host in deployment.hosts]
            held = {node.cfg.node: node.body_memory.held for node in nodes}
            assert not any(held.values()), f"bytes still counted: {held}"
            return live_bodies()

    return run_in_memory(partial(run_without_collections, main))


async def send_some(host, path, headers=None):
    """Send some requests one after the other."""
    for n in range(4):
        body = b"x" * BODY_BYTES
        request_id = f"{host.node.cfg.node}-{n}"
        await host.send(path, request_id, 2_000.0, "POST", body, headers)


async def leave_early(host, path):
    """Send some requests whose callers disconnect while they run."""
    for n in range(4):
        stream = await dial(host.node.cfg.addresses.callers, 500.0)
        body = b"x" * BODY_BYTES
        await stream.send(request_bytes(path, f"r{n}", method="POST", body=body))
        await trio.sleep(0.05)
        stream.close()
        del body


async def break_off(host, path):
    """Send a part of some requests, and disconnect."""
    for n in range(4):
        stream = await dial(host.node.cfg.addresses.callers, 500.0)
        data = request_bytes(path, f"r{n}", method="POST", body=b"x" * BODY_BYTES)
        await stream.send(data[: len(data) - 9])
        await trio.sleep(0.05)
        stream.close()
        del data


async def send_malformed(host, path):
    """Send some chunked requests that are malformed after a large part."""
    for n in range(4):
        stream = await dial(host.node.cfg.addresses.callers, 500.0)
        head = request_bytes(path, f"r{n}", method="POST")[:-2]
        chunk = b"%x\r\n%s\r\n" % (BODY_BYTES, b"x" * BODY_BYTES)
        await stream.send(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
        del chunk
        await stream.send(b"not a chunk\r\n")
        await stream.receive()
        stream.close()


async def lose_link(host, path):
    """Lose all links while a request runs."""
    with trio.move_on_after(2.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_some, host, path)
            await trio.sleep(0.05)
            for link in list(host.node._links):
                if link._connection is not None:
                    link._connection.end(BrokenStream("silent"))


async def keep_open(host, path):
    """Send requests on connections that stay open."""
    for n in range(4):
        stream = await dial(host.node.cfg.addresses.callers, 500.0)
        body = b"x" * BODY_BYTES
        await stream.send(request_bytes(path, f"r{n}", method="POST", body=body))
        del body
        OPEN.append(stream)
        received = 0
        while received < 100:
            received += len(await stream.receive())


OPEN = []


class TestBodiesOfEndedRequests(TestCase):
    def check(self, end_requests, behave, **options):
        """Check that no body is left, for both kinds of requests."""
        for path in ("/write/1", "/read/1"):
            left = bodies_after(end_requests, behave, path, **options)
            self.assertEqual([], left, path)

    def test_answered_requests_are_not_kept(self):
        self.check(send_some, lambda _: Behaviour())

    def test_answers_are_not_kept(self):
        self.check(send_some, lambda _: Behaviour(body=b"y" * BODY_BYTES))

    def test_requests_that_a_server_refused_are_not_kept(self):
        self.check(send_some, lambda _: Behaviour(ResponseMode.REFUSE))

    def test_requests_that_failed_are_not_kept(self):
        self.check(send_some, lambda _: Behaviour(status=500))

    def test_requests_without_answer_are_not_kept(self):
        for mode in (ResponseMode.CUT, ResponseMode.GARBLE, ResponseMode.SHORT):
            self.check(send_some, lambda _, mode=mode: Behaviour(mode))

    def test_requests_past_their_deadline_are_not_kept(self):
        self.check(send_some, lambda _: Behaviour(work=2_000.0))

    def test_requests_past_their_deadline_in_the_queue_are_not_kept(self):
        self.check(leave_early, lambda _: Behaviour(work=300.0), slots=1)

    def test_requests_of_callers_that_left_are_not_kept(self):
        self.check(leave_early, lambda _: Behaviour(work=100.0))

    def test_incomplete_requests_are_not_kept(self):
        self.check(break_off, lambda _: Behaviour())

    def test_malformed_requests_are_not_kept(self):
        self.check(send_malformed, lambda _: Behaviour())

    def test_requests_of_workspaces_are_not_kept(self):
        for workspace in (
            a_workspace("open", "k1"),
            a_workspace("limited", "k1", rate=5.0, burst=2.0),
        ):
            self.check(
                partial(send_some, headers={"Api-Key": "k1"}),
                lambda _: Behaviour(),
                workspaces=[workspace],
            )

    def test_requests_on_a_lost_link_are_not_kept(self):
        self.check(lose_link, lambda _: Behaviour(work=200.0))

    def test_requests_on_open_connections_are_not_kept(self):
        self.check(keep_open, lambda _: Behaviour())
        OPEN.clear()
