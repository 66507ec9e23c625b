"""Memory for the connections of the servers outside the request path."""

import contextlib
import gc
import tracemalloc

import trio
from testtools import TestCase

from fuchsiagap.core.clock import trio_clock
from fuchsiagap_node.core.mesh.auxiliary_http import serve_auxiliary
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.final_response import FinalResponse
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.stream import BrokenStream, dial
from fuchsiagap_standins.mesh.deployment import free_address
from fuchsiagap_standins.mesh.virtual import run_in_memory

UPLOAD = b"PUT / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 900_000


async def respond(_):
    return FinalResponse(200)


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
