"""Responses without a length whose connection ends while the request is being sent."""

import itertools
import socket
import struct
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.http_client import CallFailed, HttpClient
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.poller import EpollPoller
from fuchsiagap_node.core.mesh.stream import BrokenStream, EndedStream, Stream
from fuchsiagap_standins.mesh.backend_server import BackendServer
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route, free_address
from fuchsiagap_standins.mesh.virtual import run_on_loopback

# Virtual time runs ahead while the kernel delays an acknowledgement.
WAIT_MS = 60_000.0
WRITE = a_route("write", idempotent=False, timeout=WAIT_MS)
RECEIVE_BUFFER_BYTES = 16_384
# More than the receive buffer of a server takes, and more than the send buffer of the
# other end takes besides.
BODIES = (b"x" * 360_000, b"x" * 12_000_000)
LARGE_BODY = BODIES[1]
PART = b"part of a response"


async def read_head(stream):
    """Return the head of a request, and leave its body in the receive buffer."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        await trio.lowlevel.wait_readable(stream._sock)
        data = stream._sock.recv(100_000, socket.MSG_PEEK)
        if not data:
            raise BrokenStream("closed by the peer")
        n_bytes = data.find(b"\r\n\r\n") + 4
        head += stream._sock.recv(n_bytes if n_bytes > 3 else len(data))
    return head


async def send_part(stream, head=b""):
    """Send a response without a length to a request, by default the next one."""
    head = head or await read_head(stream)
    ids = [line for line in head.split(b"\r\n") if line.startswith(b"Call-Id")]
    lines = b"\r\n".join([b"HTTP/1.1 200 OK", *ids])
    await stream.send(lines + b"\r\n\r\n" + PART)


def reset(stream):
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()


async def close_at_once(stream):
    await send_part(stream)
    stream.close()


async def close_later(stream):
    await send_part(stream)
    await trio.sleep(0.05)
    stream.close()


async def reset_later(stream):
    await send_part(stream)
    await trio.sleep(0.02)
    reset(stream)


async def end_output(stream):
    """Send a response without a length, and close the sending direction."""
    await send_part(stream)
    stream._sock.shutdown(socket.SHUT_WR)


def limit_receive_buffer(stream):
    """Let a connection take less of an upload than the smallest one has."""
    options = (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    stream._sock.setsockopt(*options)


async def end_output_and_reset_later(stream):
    limit_receive_buffer(stream)
    await end_output(stream)
    await trio.sleep(0.02)
    reset(stream)


async def end_output_and_read_nothing(stream):
    limit_receive_buffer(stream)
    await end_output(stream)
    await trio.sleep(10.0)


async def end_output_and_read_all(stream):
    await end_output(stream)
    await trio.sleep(0.02)
    while await stream.receive():
        pass


async def read_all_and_close(stream):
    head = await read_head(stream)
    (length,) = [x for x in head.split(b"\r\n") if x.lower().startswith(b"content-l")]
    n_left = int(length.partition(b":")[2])
    while n_left:
        n_left -= len(await stream.receive())
    await send_part(stream, head)


RESETS = (
    close_at_once,
    close_later,
    reset_later,
    end_output_and_reset_later,
    end_output_and_read_nothing,
)


async def send_uploads(handle_conn, body, n=3):
    """Return the statuses and bodies of the responses to uploads, one after another."""
    async with a_deployment(WRITE) as deployment:
        host = deployment.add("certs")
        host.server.handle_conn = handle_conn
        await deployment.settle()
        answers = [
            await host.send("/write/1", f"r{number}", WAIT_MS, "POST", body)
            for number in range(n)
        ]
        return [(answer.status, answer.body) for answer in answers]


class TestUploads(TestCase):
    def test_part_of_a_response_is_no_response_when_the_upload_is_reset(self):
        for body, handle_conn in itertools.product(BODIES, RESETS):
            answers = run_on_loopback(partial(send_uploads, handle_conn, body))
            message = f"{handle_conn.__name__}, {len(body)} bytes"
            self.assertEqual([b""] * 3, [x[1] for x in answers], message)
            self.assertEqual({502}, {x[0] for x in answers}, message)

    def test_response_is_complete_when_its_server_reads_the_whole_upload(self):
        servers = (end_output_and_read_all, read_all_and_close)
        for body, handle_conn in itertools.product(BODIES, servers):
            answers = run_on_loopback(partial(send_uploads, handle_conn, body))
            message = f"{handle_conn.__name__}, {len(body)} bytes"
            self.assertEqual([(200, PART)] * 3, answers, message)


async def connect():
    """Return both ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return Stream(near), Stream(far)


async def fail_to_send(near, far):
    """Let a connection be reset after a part of a response, and a send meet that."""
    await near.send(b"request")
    await trio.lowlevel.wait_readable(far._sock)
    await far.send(PART)
    far.close()
    await trio.sleep(0.01)
    try:
        await near.send(b"rest")
    except BrokenStream:
        return
    raise AssertionError("the connection was not reset")


class TestFailedSend(TestCase):
    def test_read_after_a_failed_send_reports_no_orderly_end(self):
        async def main():
            near, far = await connect()
            await fail_to_send(near, far)
            data = await near.receive()
            try:
                return data, await near.receive()
            except BrokenStream:
                return data, None
            finally:
                near.close()

        self.assertEqual((PART, None), trio.run(main))

    def test_polled_read_after_a_failed_send_reports_no_orderly_end(self):
        async def main():
            near, far = await connect()
            await fail_to_send(near, far)
            poller, data, reasons = EpollPoller(), [], []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(poller.run)
                near.start_reading(poller, data.append, reasons.append)
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            near.close()
            return data, [isinstance(reason, EndedStream) for reason in reasons]

        self.assertEqual(([PART], [False]), trio.run(main))


async def call_server(handle_conn, body):
    """Return the body of the response to a call of `HttpClient`; None if it fails."""
    server = BackendServer(free_address(), "")
    server.handle_conn = handle_conn
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        await trio.sleep(0.01)
        client = HttpClient(server.address, HeaderNames())
        try:
            return (await client.call("PUT", "/", body, WAIT_MS)).body
        except CallFailed:
            return None
        finally:
            nursery.cancel_scope.cancel()


class TestHttpClient(TestCase):
    def test_part_of_a_response_is_no_response_when_the_request_is_reset(self):
        for body, handle_conn in itertools.product(BODIES, RESETS):
            response = run_on_loopback(partial(call_server, handle_conn, body))
            self.assertIsNone(response, f"{handle_conn.__name__}, {len(body)} bytes")

    def test_response_is_complete_when_its_server_reads_the_whole_request(self):
        servers = (end_output_and_read_all, read_all_and_close)
        for body, handle_conn in itertools.product(BODIES, servers):
            response = run_on_loopback(partial(call_server, handle_conn, body))
            self.assertEqual(PART, response, f"{handle_conn.__name__}, {len(body)}")
