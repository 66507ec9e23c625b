"""Servers whose responses have a malformed head."""

from functools import partial

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.http_client import CallFailed, HttpClient
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_standins.mesh.backend_server import BackendServer
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route, free_address
from fuchsiagap_standins.mesh.virtual import run_in_memory

WRITE = a_route("write", idempotent=False)
READ = a_route("read")
BODY = b"malformed"


def respond_with(response):
    """Return a handler that answers each request on a connection with a response."""

    async def handle_conn(stream):
        data = b""
        while chunk := await stream.receive():
            data += chunk
            if not data.endswith(b"\r\n\r\n"):
                continue
            (name,) = [x for x in data.split(b"\r\n") if x.startswith(b"Call-Id")]
            await stream.send(response.replace(b"ID", name))
            data = b""

    return handle_conn


def a_response(status=b"200 OK", line=b""):
    """Return a response with a status and a further line of its head."""
    lines = [b"HTTP/1.1 " + status, b"ID", *([line] if line else [])]
    length = b"Content-Length: %d" % len(BODY)
    return b"\r\n".join([*lines, length, b"", BODY])


async def send_to_malformed(response):
    """Send requests to a server with a malformed response, and to a sound one besides.

    Returns the status, the body and the time taken in seconds of a non-idempotent
    request to the first server, and the statuses and bodies of idempotent requests.
    """
    async with a_deployment(WRITE, READ) as deployment:
        malformed = deployment.add("certs")
        malformed.server.handle_conn = respond_with(response)
        await deployment.settle()
        started = trio.current_time()
        written = await malformed.send("/write/1", "r1", method="POST")
        took_s = trio.current_time() - started
        deployment.add("certs")
        await deployment.settle()
        reads = [await malformed.send("/read/1", f"r{n}") for n in range(2, 6)]
        return (
            (written.status, written.body, took_s),
            {(answer.status, answer.body) for answer in reads},
        )


class TestStatuses(TestCase):
    def test_status_outside_of_the_range_of_http_is_no_answer(self):
        for status in (b"000 X", b"099 X", b"101 X", b"600 X", b"700 X", b"1000 X"):
            (code, body, took_s), reads = run_in_memory(
                partial(send_to_malformed, a_response(status))
            )
            self.assertEqual((502, b""), (code, body), status)
            self.assertLess(took_s, 0.2, status)
            self.assertLessEqual(reads, {(200, b"whole"), (502, b"")}, status)
            self.assertIn((200, b"whole"), reads, status)

    def test_informational_response_before_the_end_of_a_connection_is_no_answer(self):
        async def main(status):
            async with a_deployment(WRITE) as deployment:
                host = deployment.add("certs")
                head = b"HTTP/1.1 %03d X\r\nCall-Id: r1\r\n\r\n" % status

                async def handle_conn(stream):
                    await stream.receive()
                    await stream.send(head)

                host.server.handle_conn = handle_conn
                await deployment.settle()
                return (await host.send("/write/1", "r1", method="POST")).status

        for status in (0, 99, 100, 101, 103):
            self.assertEqual(502, run_in_memory(partial(main, status)), status)

    def test_reason_phrase_with_a_control_byte_is_not_passed_on(self):
        for byte in (b"\x00", b"\x01", b"\x7f"):
            (code, body, took_s), _ = run_in_memory(
                partial(send_to_malformed, a_response(b"200 O%sK" % byte))
            )
            self.assertEqual((502, b""), (code, body), byte)
            self.assertLess(took_s, 0.2, byte)

    def test_client_fails_at_once_for_a_status_outside_of_the_range_of_http(self):
        async def main(status):
            server = BackendServer(free_address(), "")
            response = b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}" % status

            async def handle_conn(stream):
                while await stream.receive():
                    await stream.send(response)

            server.handle_conn = handle_conn
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                await trio.sleep(0.01)
                client = HttpClient(server.address, HeaderNames())
                try:
                    await client.call("GET", "/", b"", 5_000.0)
                except CallFailed as exc:
                    return str(exc)
                finally:
                    nursery.cancel_scope.cancel()

        for status in (b"000 X", b"099 X", b"101 X", b"700 X"):
            cause = run_in_memory(partial(main, status))
            self.assertIn("response with status", cause)


class TestFields(TestCase):
    def test_response_with_a_malformed_line_in_its_head_is_no_answer(self):
        for line in (
            b"a b: v",
            b"ab : v",
            b"a\x00b: v",
            b"a\x01b: v",
            b"a\x7fb: v",
            b"a\xe9b: v",
            b" ab: v",
            b"ab",
            b"ab: v\x00w",
            b"Content Length: 2",
            b"Content-Length: 2",
            b"Transfer-Encoding\t: chunked",
        ):
            (code, body, took_s), reads = run_in_memory(
                partial(send_to_malformed, a_response(line=line))
            )
            self.assertEqual((502, b""), (code, body), line)
            self.assertLess(took_s, 0.2, line)
            self.assertLessEqual(reads, {(200, b"whole"), (502, b"")}, line)
            self.assertIn((200, b"whole"), reads, line)
