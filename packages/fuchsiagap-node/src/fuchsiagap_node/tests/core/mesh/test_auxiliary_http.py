"""Servers outside the request path: memory for connections, close of connections."""

import contextlib
import gc
import socket
import tracemalloc
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap.core.clock import trio_clock
from fuchsiagap_node.core.mesh.auxiliary_http import serve_auxiliary
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.final_response import FinalResponse
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.stream import (
    BrokenStream,
    Stream,
    dial,
    split_address,
)
from fuchsiagap_standins.mesh.deployment import free_address
from fuchsiagap_standins.mesh.virtual import run_in_memory, run_on_loopback

UPLOAD = b"PUT / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 900_000


async def respond(_):
    return FinalResponse(200)


async def respond_with_large_body(_):
    return FinalResponse(200, body=b"x" * 300_000)


class TestServeAuxiliary(TestCase):
    def test_truncated_requests_are_not_kept_after_their_connection(self):
        async def main():
            address = free_address()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    serve_auxiliary,
                    address,
                    respond,
                    HeaderNames(),
                    EventLog("n-1", trio_clock()),
                )
                await trio.sleep(0.01)
                gc.disable()
                tracemalloc.start()
                for _ in range(3):
                    stream = await dial(address, 500.0)
                    with contextlib.suppress(BrokenStream):
                        await stream.send(UPLOAD)
                    await trio.sleep(0.1)
                    stream.close()
                    await trio.sleep(0.1)
                n_bytes, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                gc.enable()
                nursery.cancel_scope.cancel()
            return n_bytes

        self.assertLess(run_in_memory(main), 900_000)

    def test_last_response_is_not_reset_by_input_behind_its_request(self):
        async def main(request):
            address = free_address()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    serve_auxiliary,
                    address,
                    respond_with_large_body,
                    HeaderNames(),
                    EventLog("n-1", trio_clock()),
                )
                await trio.sleep(0.01)
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
                sock.connect(split_address(address))
                stream, data = Stream(sock), b""
                await stream.send(request)
                while part := await stream.receive():
                    data += part
                    await trio.sleep(0.002)
                    if len(data) < 300_000:
                        await stream.send(b"\r\n")
                stream.close()
                nursery.cancel_scope.cancel()
            return data.split(b" ")[1], len(data.partition(b"\r\n\r\n")[2])

        closing = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
        malformed = b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"
        for request, expected in (
            (closing, (b"200", 300_000)),
            (malformed, (b"400", 0)),
        ):
            self.assertEqual(expected, run_on_loopback(partial(main, request)))
