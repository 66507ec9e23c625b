"""Backend servers that leave their receive window closed for a while."""

import contextlib
import dataclasses
import socket
import time
from types import SimpleNamespace

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.backend_conn import BackendConn
from fuchsiagap_node.core.mesh.messages import Call
from fuchsiagap_node.core.mesh.outcome import Answered
from fuchsiagap_node.core.mesh.poller import EpollPoller
from fuchsiagap_node.core.mesh.settings import Addresses, MeshSettings

DEADLINE_MS = 2_000.0
PAUSE_S = 1.4
USER_TIMEOUT_MS = 1_000
CFG = MeshSettings(
    "n-1", "hall-a", "certs", "10.0.0.1", "10.0.0.1:1", Addresses(*4 * ("",)), ""
)


def a_call(request_id, n_bytes):
    head = b"POST /write/1 HTTP/1.1\r\nContent-Length: %d\r\n" % n_bytes
    flags = (False, False, False, 7, False)
    times = (DEADLINE_MS, 500, 0)
    body = b"x" * n_bytes
    return Call(
        1, "i-1", head, body, *times, *flags, request_id, "write", request_id.encode()
    )


def serve(listener, n_bytes):
    """Answer each request of one connection after a pause in reading its body."""
    conn, _ = listener.accept()
    file = conn.makefile("rb", buffering=0)
    with conn, file, contextlib.suppress(ConnectionError):
        for request_id in (b"r1", b"r2"):
            received = b""
            while b"\r\n\r\n" not in received:
                received += file.read(1_000)
            time.sleep(PAUSE_S)
            n_left = n_bytes - len(received.partition(b"\r\n\r\n")[2])
            while n_left:
                data = file.read(min(n_left, 65_536))
                if not data:
                    return
                n_left -= len(data)
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nCall-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % request_id
            )


def user_timeout(conn):
    """Return the user timeout of a connection in milliseconds; None if it is closed."""
    if conn.closed:
        return None
    sock = conn._stream._sock
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


async def call_twice(receive_buffer, n_bytes):
    """Return the outcomes of two calls, each with the user timeout after it."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = "{}:{}".format(*listener.getsockname())
        cfg = dataclasses.replace(CFG, backend=address)
        conn = BackendConn(cfg, SimpleNamespace(now=lambda: 0.0))
        send_outcome, outcomes = trio.open_memory_channel(2)
        poller, seen = EpollPoller(), []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(poller.run)
            nursery.start_soon(trio.to_thread.run_sync, serve, listener, n_bytes)
            await conn.open()
            conn.read_answers(poller, lambda _, x: send_outcome.send_nowait(x))
            for request_id in ("r1", "r2"):
                if conn.closed:
                    break
                conn.send(a_call(request_id, n_bytes), DEADLINE_MS)
                await conn.send_rest()
                seen.append((await outcomes.receive(), user_timeout(conn)))
            conn.close()
            nursery.cancel_scope.cancel()
        return seen


class TestSlowServers(TestCase):
    def test_upload_survives_a_server_that_reads_nothing_for_over_a_second(self):
        for receive_buffer, n_bytes in ((32_768, 360_000), (4_096, 20_000)):
            seen = trio.run(call_twice, receive_buffer, n_bytes)
            message = f"{n_bytes} bytes, receive buffer of {receive_buffer}"
            self.assertEqual([Answered] * 2, [type(x) for x, _ in seen], message)
            self.assertEqual([USER_TIMEOUT_MS] * 2, [x for _, x in seen], message)
