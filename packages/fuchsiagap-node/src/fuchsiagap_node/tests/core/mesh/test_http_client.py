"""Successive and concurrent calls of the HTTP client."""

import contextlib
import gc
import tracemalloc
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.final_response import FinalResponse
from fuchsiagap_node.core.mesh.http_client import CallFailed, HttpClient
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_request import RequestReader
from fuchsiagap_node.core.mesh.response_encoding import encode_response
from fuchsiagap_node.core.mesh.stream import accept_all, listen
from fuchsiagap_standins.mesh.backend_server import (
    ENDLESS_RESPONSES,
    BackendServer,
    Behaviour,
    ResponseMode,
)
from fuchsiagap_standins.mesh.deployment import free_address
from fuchsiagap_standins.mesh.serving import serve_requests
from fuchsiagap_standins.mesh.virtual import run_in_memory


class Server:
    """Server that delays each response as the target says, and counts connections."""

    def __init__(self, sends_late_copies=False):
        self.address = free_address()
        self.connections = 0
        self._sends_late_copies = sends_late_copies
        self._last_responses = {}

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
        if stream in self._last_responses:
            await stream.send(self._last_responses[stream])
        response = encode_response(FinalResponse(200, body=req.target), close=False)
        if self._sends_late_copies:
            self._last_responses[stream] = response
        await stream.send(response)


def run_with_server(main, sends_late_copies=False, **options):
    """Run `main` with a client; return its result and the number of connections."""

    async def run():
        server = Server(sends_late_copies)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await trio.sleep(0.01)
            client = HttpClient(server.address, HeaderNames(), **options)
            result = await main(client)
            nursery.cancel_scope.cancel()
        return result, server.connections

    return run_in_memory(run)


async def get(client, delay_ms, wait_ms=1_000.0):
    """Return the body of the response, or the message of the error."""
    try:
        return (await client.call("GET", f"/{delay_ms}", b"", wait_ms)).body
    except CallFailed as exc:
        return str(exc)


class TestHttpClient(TestCase):
    def test_successive_calls_share_a_connection(self):
        async def main(client):
            return [await get(client, delay) for delay in (5, 0, 3)]

        self.assertEqual(([b"/5", b"/0", b"/3"], 1), run_with_server(main))

    def test_concurrent_calls_get_their_own_responses(self):
        async def main(client):
            found = {}

            async def call(delay):
                found[delay] = await get(client, delay)

            async with trio.open_nursery() as nursery:
                for delay in (300, 10, 200):
                    nursery.start_soon(call, delay)
            return found, await get(client, 1)

        (found, last), connections = run_with_server(main)
        self.assertEqual({300: b"/300", 10: b"/10", 200: b"/200"}, found)
        self.assertEqual((b"/1", 3), (last, connections))

    def test_connection_of_a_timed_out_call_is_not_reused(self):
        async def main(client):
            return await get(client, 400, wait_ms=100.0), await get(client, 0)

        (first, second), connections = run_with_server(main)
        self.assertIn("no answer within 100 ms", first)
        self.assertEqual((b"/0", 2), (second, connections))

    def test_late_copy_of_a_health_check_is_not_the_response_to_the_next(self):
        async def main(client):
            return [await get(client, delay) for delay in (5, 0, 3)]

        found = run_with_server(main, sends_late_copies=True, keeps_connection=False)
        self.assertEqual(([b"/5", b"/0", b"/3"], 3), found)


class TestEndlessResponses(TestCase):
    def test_failed_calls_keep_no_part_of_their_responses(self):
        async def main():
            server = BackendServer(free_address(), "")
            server.behave = lambda _: Behaviour(ResponseMode.ENDLESS, endless="body")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                await trio.sleep(0.01)
                client = HttpClient(server.address, HeaderNames())
                gc.disable()
                tracemalloc.start()
                for _ in range(3):
                    with contextlib.suppress(CallFailed):
                        await client.call("GET", "/", b"", 5_000.0)
                n_bytes, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                gc.enable()
                nursery.cancel_scope.cancel()
            return n_bytes

        self.assertLess(run_in_memory(main), 2_000_000)

    def test_call_fails_before_its_timeout_when_the_response_has_no_end(self):
        async def main(name):
            server = BackendServer(free_address(), "")
            server.behave = lambda _: Behaviour(ResponseMode.ENDLESS, endless=name)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                await trio.sleep(0.01)
                client = HttpClient(server.address, HeaderNames())
                started = trio.current_time()
                try:
                    await client.call("GET", "/", b"", 5_000.0)
                except CallFailed as exc:
                    cause = str(exc)
                took_s = trio.current_time() - started
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            return cause, took_s, server.n_endless

        # A client of the store takes the first response, whatever it names.
        for name in ENDLESS_RESPONSES.keys() - {"other responses"}:
            cause, took_s, n_open = run_in_memory(partial(main, name))
            self.assertNotIn("no answer within", cause, name)
            self.assertLess(took_s, 1.0, name)
            self.assertEqual(0, n_open, name)
