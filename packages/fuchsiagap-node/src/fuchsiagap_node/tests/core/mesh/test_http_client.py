"""Calls beside the path, one after the other and at the same time."""

import trio
from testtools import TestCase

from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.callers import encode_response
from fuchsiagap_node.core.mesh.final_response import FinalResponse
from fuchsiagap_node.core.mesh.http_client import CallFailed, HttpClient
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_request import RequestReader
from fuchsiagap_node.core.mesh.stream import accept_all, listen
from fuchsiagap_standins.mesh.deployment import free_address
from fuchsiagap_standins.mesh.serving import serve_requests
from fuchsiagap_standins.mesh.virtual import run_in_memory


class Server:
    """Answers after as many milliseconds as the target says; counts connections."""

    def __init__(self):
        self.address = free_address()
        self.connections = 0

    async def run(self):
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await accept_all(listen(self.address), self._serve, nursery)

    async def _serve(self, stream):
        self.connections += 1
        reader = RequestReader(HeaderNames(), CallerLimits())
        await serve_requests(stream, reader, self._answer)

    async def _answer(self, stream, req):
        await trio.sleep(int(req.target[1:]) / 1_000.0)
        await stream.send(
            encode_response(FinalResponse(200, body=req.target), close=False)
        )


def run_with_server(main):
    """Run `main` with a server and a client of it; return its connections besides."""

    async def run():
        server = Server()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await trio.sleep(0.01)
            caller = HttpClient(server.address, HeaderNames())
            result = await main(caller)
            nursery.cancel_scope.cancel()
        return result, server.connections

    return run_in_memory(run)


async def get(caller, delay_ms, wait_ms=1_000.0):
    """Return the body of an answer, or that there was none."""
    try:
        return (await caller.call("GET", f"/{delay_ms}", b"", wait_ms)).body
    except CallFailed as exc:
        return str(exc)


class TestHttpCaller(TestCase):
    def test_calls_one_after_the_other_share_a_connection(self):
        async def main(caller):
            return [await get(caller, delay) for delay in (5, 0, 3)]

        self.assertEqual(([b"/5", b"/0", b"/3"], 1), run_with_server(main))

    def test_calls_at_the_same_time_get_their_own_answers(self):
        async def main(caller):
            found = {}

            async def call(delay):
                found[delay] = await get(caller, delay)

            async with trio.open_nursery() as nursery:
                for delay in (300, 10, 200):
                    nursery.start_soon(call, delay)
            return found, await get(caller, 1)

        (found, last), connections = run_with_server(main)
        self.assertEqual({300: b"/300", 10: b"/10", 200: b"/200"}, found)
        self.assertEqual((b"/1", 3), (last, connections))

    def test_connection_of_a_call_that_was_given_up_is_not_used_again(self):
        async def main(caller):
            return await get(caller, 400, wait_ms=100.0), await get(caller, 0)

        (first, second), connections = run_with_server(main)
        self.assertIn("no answer within 100 ms", first)
        self.assertEqual((b"/0", 2), (second, connections))
