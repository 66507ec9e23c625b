"""Responses whose connection ends within their head, or within what comes before it."""

import contextlib
import socket
import struct
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.http_client import CallFailed, HttpClient
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_response import BadResponse, ResponseReader
from fuchsiagap_standins.mesh.backend_server import BackendServer
from fuchsiagap_standins.mesh.backend_server import CallFailed as NestedCallFailed
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route, free_address
from fuchsiagap_standins.mesh.virtual import run_on_loopback

READ = a_route("read", timeout=20_000.0)
WRITE = a_route("write", idempotent=False, timeout=20_000.0)
PAGE = a_route("page", service="pages", idempotent=False, timeout=20_000.0)
WAIT_MS = 20_000.0
ID = b"ID"
# Heads and bodies of complete responses, without the identifier.
RESPONSES = (
    (b"HTTP/1.1 200 OK\r\nCall-Id: ID\r\nContent-Length: 5\r\n\r\n", b"whole"),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCall-Id: ID\r\n\r\n", b""),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nCall-Id: ID\r\n\r\n",
        b"5\r\nwhole\r\n0\r\nX: y\r\n\r\n",
    ),
    (b"HTTP/1.1 200 OK\r\nCall-Id: ID\r\nConnection: close\r\n\r\n", None),
    (b"HTTP/1.0 200 OK\r\nCall-Id: ID\r\n\r\n", None),
    (
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nCall-Id: ID\r\nContent-Length: 5\r\n\r\n",
        b"whole",
    ),
)
# Parts of a response that end within the head.
PARTS = (
    b"HTTP/1.1",
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nCall-Id: ID",
    b"HTTP/1.1 200 OK\r\nCall-Id: ID\r\nContent-Length: 5",
    b"HTTP/1.1 200 OK\r\nCall-Id: ID\r\nContent-Length: 5\r\n",
    b"HTTP/1.1 200 OK\r\nCall-Id: ID\r\n\r",
    b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nCall-Id: ID\r\n",
)


REQUESTS = (("/write/1", "POST"), ("/read/1", "GET"), ("/read/1", "HEAD"))


class TestReader(TestCase):
    def test_response_is_not_complete_at_any_cut(self):
        for head, body in RESPONSES:
            data = head + (body or b"")
            # A response without a length is complete at the end of its connection.
            n_cuts = len(data) if body is not None else len(head)
            for n_bytes in range(n_cuts):
                reader = ResponseReader(HeaderNames())
                found = reader.feed(data[:n_bytes])
                with contextlib.suppress(BadResponse):
                    found += reader.end()
                self.assertEqual([], found, data[:n_bytes])


async def end_orderly(stream):
    stream.close()


async def abort(stream):
    linger = struct.pack("ii", 1, 0)
    stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()


async def abort_later(stream):
    await trio.sleep(0.01)
    await abort(stream)


async def end_output(stream):
    stream.finish_sending()
    await trio.sleep(1.0)


def respond_with_part(part, end, n_whole):
    """Return a handler that ends a connection within the head of a response.

    Parameters
    ----------
    part : bytes
        What is sent of the response.
    end : callable
        Ends the connection.
    n_whole : int
        Number of complete responses before it.
    """

    async def handle_conn(stream):
        for number in range(n_whole + 1):
            data = b""
            while not data.endswith(b"\r\n\r\n"):
                chunk = await stream.receive()
                if not chunk:
                    return
                data += chunk
            lines = data.split(b"\r\n")
            (name,) = [x[9:] for x in lines if x.startswith(b"Call-Id: ")] or [b""]
            whole = b"".join(RESPONSES[0])
            sent = whole if number < n_whole else part
            await stream.send(sent.replace(ID, name, 1))
        await end(stream)

    return handle_conn


ENDS = (end_orderly, abort, abort_later, end_output)


class TestClient(TestCase):
    """Calls of the store, and health checks of backend servers."""

    def test_response_that_ends_in_its_head_is_no_answer(self):
        async def main(part, end):
            server = BackendServer(free_address(), "")
            server.handle_conn = respond_with_part(part, end, 0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                await trio.sleep(0.01)
                client = HttpClient(server.address, HeaderNames())
                try:
                    return await client.call("GET", "/", b"", 5_000.0)
                except CallFailed as exc:
                    return str(exc)
                finally:
                    nursery.cancel_scope.cancel()

        for end in ENDS:
            for part in PARTS:
                found = run_on_loopback(partial(main, part, end))
                self.assertIsInstance(found, str, (end.__name__, part))


class TestAnswers(TestCase):
    def send_each(self, end, n_whole):
        """Return what callers got for each part and method; HEAD without kept ones."""

        async def main():
            found = []
            async with a_deployment(READ, WRITE) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                for number, part in enumerate(PARTS):
                    handle_conn = respond_with_part(part, end, n_whole)
                    host.server.handle_conn = handle_conn
                    for n, (path, method) in enumerate(REQUESTS[: 3 - n_whole]):
                        answers = [
                            await host.send(path, f"r{number}{n}{k}", WAIT_MS, method)
                            for k in range(n_whole + 1)
                        ]
                        found.append((part, method, [x and x.status for x in answers]))
            return found

        return run_on_loopback(main)

    def test_response_that_ends_in_its_head_is_no_answer(self):
        for end in ENDS:
            for part, method, statuses in self.send_each(end, 0):
                self.assertEqual([502], statuses, (end.__name__, part, method))

    def test_response_that_ends_in_its_head_on_a_kept_connection_is_no_answer(self):
        for end in ENDS:
            for part, method, statuses in self.send_each(end, 1):
                message = end.__name__, part, method
                self.assertIn(502, statuses, message)
                self.assertLessEqual(statuses.count(200), 1, message)

    def test_nested_call_whose_response_ends_in_its_head_fails(self):
        async def main(part):
            async with a_deployment(WRITE, PAGE) as deployment:
                host = deployment.add("certs")
                pages = deployment.add("pages")
                outcomes = []

                async def call(_):
                    answer = await pages.send("/write/1", "nested", WAIT_MS, "POST")
                    outcomes.append(answer and answer.status)
                    if answer is None or answer.status != 200:
                        raise NestedCallFailed

                pages.server.on_run = call
                host.server.handle_conn = respond_with_part(part, end_orderly, 0)
                await deployment.settle()
                answer = await pages.send("/page/1", "r1", WAIT_MS, "POST")
                return outcomes, answer and answer.status

        for part in PARTS:
            found = run_on_loopback(partial(main, part))
            self.assertEqual(([502], 500), found, part)
