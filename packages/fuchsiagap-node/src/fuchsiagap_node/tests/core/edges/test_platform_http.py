"""Platform client against a fake platform on a loopback socket."""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap_node.core.edges.platform_http import PlatformHttpSettings, open_platform
from fuchsiagap_node.core.ports import Conflict, Missing, PlatformUnavailable
from fuchsiagap_standins.platform import ObjectStore, PlatformFaults
from fuchsiagap_standins.platform_app import platform_app
from fuchsiagap_standins.serving import serve_app

PATH = "/settings/salt-fog"


async def with_platform(use, timeout=2_000.0):
    store = ObjectStore(random.Random(1), PlatformFaults(latency=0.0))
    async with trio.open_nursery() as nursery:
        app = platform_app(store)
        address = await nursery.start(serve_app, app, "127.0.0.1:0")
        cfg = PlatformHttpSettings(f"http://{address}", timeout, watch_wait=5_000.0)
        with trio.fail_after(20):
            async with open_platform(cfg) as platform:
                await use(store, platform)
        nursery.cancel_scope.cancel()


async def with_raw_server(answer, use, timeout=300.0):
    """Run `use` with a server that sends raw bytes after each request.

    The server closes the connection after a response with the reason phrase ``CUT``,
    and without a response if `answer` is None.
    """

    async def handle(stream):
        async with stream:
            while await stream.receive_some(65536):
                if answer is None:
                    return
                await stream.send_all(answer)
                if answer.startswith(b"HTTP/1.1 200 CUT"):
                    return

    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, handle, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        host, port = listeners[0].socket.getsockname()[:2]
        cfg = PlatformHttpSettings(f"http://{host}:{port}", timeout)
        with trio.fail_after(20):
            async with open_platform(cfg) as platform:
                await use(platform)
        nursery.cancel_scope.cancel()


class PlatformHttpTest(TestCase):
    def test_list_that_cannot_be_decoded_is_a_failure(self):
        entry = '{"path": "/x", "value": "", "deleted": false, "version": %s}'
        nested = "[" * 60_000 + "]" * 60_000
        found = []

        async def use(platform):
            found.append(await platform.list("/x"))

        for version in (nested, "1e999", "9" * 5_000):
            body = f'{{"objects": [{entry % version}]}}'.encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            trio.run(with_raw_server, head + body, use, 2_000.0)
            self.assertIsInstance(found[-1], PlatformUnavailable, version[:9])

    def test_objects_are_read_as_written(self):
        async def use(store, platform):
            self.assertEqual(Missing(PATH), await platform.get(PATH))
            stored = await platform.put(PATH, b"\x00\xff", 0)
            self.assertEqual(stored, await platform.get(PATH))
            odd = await platform.put("/x/a b?c#d%2e\u00fc", b"odd", None)
            self.assertEqual((odd,), await platform.list("/x/"))
            self.assertEqual(odd, await platform.get(odd.path))
            tombstone = await platform.delete(PATH, stored.version)
            self.assertTrue(tombstone.deleted)
            self.assertEqual(tombstone, await platform.get(PATH))

        trio.run(with_platform, use)

    def test_conflict_returns_the_current_object(self):
        async def use(store, platform):
            self.assertEqual(Conflict(None), await platform.put(PATH, b"", 7))
            stored = await platform.put(PATH, b"a", 0)
            self.assertEqual(Conflict(stored), await platform.put(PATH, b"b", 0))
            self.assertEqual(Conflict(stored), await platform.delete(PATH, 99))

        trio.run(with_platform, use)

    def test_watch_yields_changes_and_ends_with_an_outage(self):
        async def use(store, platform):
            first = await platform.put("/a/1", b"", None)
            seen = []

            async def watch():
                async for change in platform.watch("/a/", first.version):
                    seen.append(change)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                second = await platform.put("/a/2", b"v", None)
                while not seen:
                    await trio.sleep(0.01)
                store.set_faults(replace(store.faults, outage=True))
            self.assertEqual(second, seen[0])
            self.assertIsInstance(seen[-1], PlatformUnavailable)

        trio.run(with_platform, use)

    def test_timed_out_change_may_have_been_applied(self):
        async def use(store, platform):
            faults = replace(store.faults, latency=60_000.0, patience=60_000.0)
            store.set_faults(faults)
            result = await platform.put(PATH, b"a", 0)
            self.assertTrue(result.maybe_applied)
            self.assertEqual(1, store.version)
            self.assertIsInstance(await platform.get(PATH), PlatformUnavailable)

        trio.run(with_platform, use, 200.0)

    def test_refused_connection_applies_nothing(self):
        async def main():
            # A bound socket without listen() reserves the port and refuses connections.
            with trio.socket.socket() as sock:
                await sock.bind(("127.0.0.1", 0))
                url = f"http://127.0.0.1:{sock.getsockname()[1]}"
                async with open_platform(PlatformHttpSettings(url)) as platform:
                    result = await platform.put(PATH, b"a", 0)
            self.assertFalse(result.maybe_applied)

        trio.run(main)

    def test_change_may_be_applied_if_the_connection_closes_before_the_response(self):
        async def use(platform):
            for _ in range(2):
                result = await platform.put(PATH, b"a", 0)
                self.assertTrue(result.maybe_applied)

        trio.run(with_raw_server, None, use)

    def test_invalid_responses_are_unavailable(self):
        invalid_responses = (
            b"garbage\r\n\r\n",
            b"HTTP/1.1 200 CUT\r\ncontent-length: 9\r\netag: 1\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            b'HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{"objects": 1}',
            b'HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\n{"objects": [null]}',
            b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
        )

        async def use(platform):
            self.assertIsInstance(await platform.list("/"), PlatformUnavailable)
            self.assertIsInstance(await platform.get(PATH), PlatformUnavailable)
            result = await platform.put(PATH, b"a", 0)
            self.assertTrue(result.maybe_applied)

        for answer in invalid_responses:
            with self.subTest(answer=answer):
                trio.run(with_raw_server, answer, use)
