"""Tests of the virtual clock and the fake network."""

from __future__ import annotations

import random

import trio
from testtools import TestCase

from fuchsiagap_node.core.ports import DialFailed, LinkClosed
from fuchsiagap_standins.testing import (
    FakeNetwork,
    LinkProfile,
    VirtualRunStuck,
    run_virtual,
)


class RunVirtualTest(TestCase):
    def test_virtual_clock_skips_waiting(self):
        async def sleep_for_an_hour():
            await trio.sleep(3600)
            return trio.current_time()

        self.assertEqual(3600.0, run_virtual(sleep_for_an_hour))

    def test_endless_wait_fails(self):
        self.assertRaises(VirtualRunStuck, run_virtual, trio.sleep_forever)

    def test_endless_loop_fails(self):
        async def yield_forever():
            while True:
                await trio.lowlevel.checkpoint()

        with self.assertRaises(VirtualRunStuck):
            run_virtual(yield_forever, real_limit_s=0.05)

    def test_same_seed_gives_same_task_order(self):
        async def record_order(n):
            order = []

            async def run(number):
                for _ in range(3):
                    await trio.lowlevel.checkpoint()
                    order.append(number)

            async with trio.open_nursery() as nursery:
                for number in range(n):
                    nursery.start_soon(run, number)
            return order

        first = run_virtual(record_order, 8, seed=7)
        self.assertEqual(first, run_virtual(record_order, 8, seed=7))
        self.assertNotEqual(first, run_virtual(record_order, 8, seed=8))


async def with_echo(network, use):
    """Run `use` while the node at address "b" echoes the frames it receives."""

    async def echo(link):
        while isinstance(frame := await link.receive(), bytes):
            await link.send(frame)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.listen, "b", echo)
        await trio.testing.wait_all_tasks_blocked()
        await use(network.dial_from("a"))
        nursery.cancel_scope.cancel()


class FakeNetworkTest(TestCase):
    def run_with_echo(self, use, **profile):
        async def main():
            network = FakeNetwork(random.Random(1), LinkProfile(**profile))
            await with_echo(network, lambda dial: use(network, dial))

        run_virtual(main, limit_s=60)

    def test_frames_arrive_in_order_after_the_delay(self):
        async def use(network, dial):
            link = await dial("b")
            started = trio.current_time()
            for number in range(50):
                await link.send(bytes([number]))
            received = [await link.receive() for _ in range(50)]
            self.assertEqual([bytes([n]) for n in range(50)], received)
            self.assertGreaterEqual(trio.current_time() - started, 0.010)

        self.run_with_echo(use, delay=5.0, jitter=3.0)

    def test_cut_delays_frames_until_healed(self):
        async def use(network, dial):
            link = await dial("b")
            network.cut({"a"}, {"b"})
            await link.send(b"x")
            with trio.move_on_after(10) as scope:
                await link.receive()
            self.assertTrue(scope.cancelled_caught)
            self.assertIsInstance(await dial("b"), DialFailed)
            network.heal()
            self.assertEqual(b"x", await link.receive())

        self.run_with_echo(use)

    def test_paused_node_answers_after_it_resumed(self):
        async def use(network, dial):
            link = await dial("b")
            network.pause("b")
            await link.send(b"x")
            with trio.move_on_after(10) as scope:
                await link.receive()
            self.assertTrue(scope.cancelled_caught)
            network.resume("b")
            self.assertEqual(b"x", await link.receive())

        self.run_with_echo(use)

    def test_dropped_link_loses_frames_at_both_ends(self):
        async def use(network, dial):
            link = await dial("b")
            await link.send(b"x")
            self.assertEqual(1, network.drop_links("b"))
            self.assertIsInstance(await link.receive(), LinkClosed)
            self.assertIsInstance(await link.send(b"y"), LinkClosed)
            self.assertEqual(0, network.n_links)

        self.run_with_echo(use)

    def test_crashed_node_cannot_be_dialled(self):
        async def use(network, dial):
            link = await dial("b")
            network.crash("b")
            self.assertIsInstance(await link.receive(), LinkClosed)
            self.assertIsInstance(await dial("b"), DialFailed)

        self.run_with_echo(use)

    def test_frames_sent_before_close_arrive(self):
        async def main():
            network = FakeNetwork(random.Random(1))
            received = []

            async def collect(link):
                while isinstance(frame := await link.receive(), bytes):
                    received.append(frame)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(network.listen, "b", collect)
                await trio.testing.wait_all_tasks_blocked()
                link = await network.dial_from("a")("b")
                await link.send(b"x")
                await link.aclose()
                self.assertIsInstance(await link.receive(), LinkClosed)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            self.assertEqual([b"x"], received)

        run_virtual(main, limit_s=60)

    def test_full_link_makes_the_sender_wait(self):
        async def use(network, dial):
            link = await dial("b")
            network.cut({"a"}, {"b"})
            with trio.move_on_after(1) as scope:
                for _ in range(3):
                    await link.send(b"x")
            self.assertTrue(scope.cancelled_caught)
            network.heal()
            for _ in range(2):
                await link.receive()

        self.run_with_echo(use, capacity=2)
