"""Tests of the platform stand-in."""

from __future__ import annotations

import random
from dataclasses import replace

import trio
from testtools import TestCase

from fuchsiagap_node.core.ports import Conflict, Missing, PlatformUnavailable
from fuchsiagap_standins.platform import MAX_VALUE_BYTES, ObjectStore
from fuchsiagap_standins.testing import run_virtual

PATH = "/settings/salt-fog"


class ObjectStoreTest(TestCase):
    def run_with_store(self, use):
        async def main():
            await use(ObjectStore(random.Random(3)))

        run_virtual(main, limit_s=600)

    def test_only_one_of_two_conditional_writes_succeeds(self):
        async def use(store):
            self.assertIsInstance(await store.get(PATH), Missing)
            results = []

            async def write(value):
                results.append(await store.put(PATH, value, 0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(write, b"a")
                nursery.start_soon(write, b"b")
            conflicts = [r for r in results if isinstance(r, Conflict)]
            self.assertEqual(1, len(conflicts))
            self.assertEqual(await store.get(PATH), conflicts[0].current)

        self.run_with_store(use)

    def test_version_counter_is_shared_by_all_objects(self):
        async def use(store):
            for number in range(4):
                await store.put(f"/x/{number % 2}", b"", None)
            versions = [stored.version for stored in await store.list("/x/")]
            self.assertEqual([3, 4], versions)

        self.run_with_store(use)

    def test_tombstone_rejects_writes_with_an_older_version(self):
        async def use(store):
            stored = await store.put(PATH, b"a", 0)
            tombstone = await store.delete(PATH, stored.version)
            self.assertTrue(tombstone.deleted)
            for expected in (0, stored.version):
                conflict = await store.put(PATH, b"old", expected)
                self.assertEqual(Conflict(tombstone), conflict)
            self.assertFalse((await store.put(PATH, b"", tombstone.version)).deleted)

        self.run_with_store(use)

    def test_lost_answer_comes_after_the_effect(self):
        async def use(store):
            store.set_faults(replace(store.faults, lose_answers=1.0))
            result = await store.put(PATH, b"a", 0)
            self.assertTrue(result.maybe_applied)
            self.assertEqual(b"a", (await store.get(PATH)).value)

        self.run_with_store(use)

    def test_lost_request_has_no_effect(self):
        async def use(store):
            store.set_faults(replace(store.faults, lose_requests=1.0))
            result = await store.put(PATH, b"a", 0)
            self.assertTrue(result.maybe_applied)
            self.assertIsInstance(await store.get(PATH), Missing)

        self.run_with_store(use)

    def test_slow_change_takes_effect_and_times_out(self):
        async def use(store):
            store.set_faults(replace(store.faults, latency=60_000.0))
            result = await store.put(PATH, b"a", 0)
            self.assertEqual(2.0, trio.current_time())
            self.assertTrue(result.maybe_applied)
            self.assertEqual(1, store.version)

        self.run_with_store(use)

    def test_outage_changes_nothing_and_ends_watches(self):
        async def use(store):
            seen = []

            async def watch():
                async for change in store.watch("/", 0):
                    seen.append(change)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(1)
                store.set_faults(replace(store.faults, outage=True))
            self.assertIsInstance(seen[-1], PlatformUnavailable)
            result = await store.put(PATH, b"a", None)
            self.assertEqual((False, 0), (result.maybe_applied, store.version))

        self.run_with_store(use)

    def test_watch_starts_after_a_version_and_misses_nothing(self):
        async def use(store):
            first = await store.put("/a/1", b"", None)
            await store.put("/a/2", b"", None)
            seen = []

            async def watch(scope):
                with scope:
                    async for change in store.watch("/a/", first.version):
                        seen.append(change.path)

            async with trio.open_nursery() as nursery:
                scope = trio.CancelScope()
                nursery.start_soon(watch, scope)
                for path in ("/b/1", "/a/3", "/a/1"):
                    await trio.sleep(1)
                    await store.put(path, b"", None)
                await trio.sleep(1)
                scope.cancel()
            self.assertEqual(["/a/2", "/a/3", "/a/1"], seen)

        self.run_with_store(use)

    def test_waiting_watch_counts_as_one_call(self):
        async def use(store):
            with trio.move_on_after(29):
                async for _ in store.watch("/", 0):
                    pass
            self.assertEqual(1, store.counts.watches)
            self.assertEqual(0, store.counts.reads)

        self.run_with_store(use)

    def test_value_above_a_megabyte_is_rejected(self):
        async def use(store):
            result = await store.put(PATH, bytes(MAX_VALUE_BYTES + 1), None)
            self.assertFalse(result.maybe_applied)
            self.assertEqual(0, store.version)

        self.run_with_store(use)

    def test_only_the_cut_off_user_fails(self):
        async def use(store):
            view = store.view("hall-a")
            store.set_cut_off({"hall-a"})
            result = await view.put(PATH, b"a", None)
            self.assertEqual((False, 0), (result.maybe_applied, store.version))
            self.assertEqual(1, (await store.put(PATH, b"a", None)).version)
            store.set_cut_off(set())
            self.assertEqual(b"a", (await view.get(PATH)).value)

        self.run_with_store(use)

    def test_cut_off_between_effect_and_answer(self):
        async def use(store):
            view = store.view("hall-a")
            results = []

            async def write():
                results.append(await view.put(PATH, b"a", 0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(write)
                await trio.sleep(0.001)
                store.set_cut_off({"hall-a"})
            self.assertTrue(results[0].maybe_applied)
            self.assertEqual(1, store.version)

        self.run_with_store(use)
