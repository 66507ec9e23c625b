"""Callbacks of connections, which run inside the event loop's own wait."""

import socket

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.poller import make_poller
from fuchsiagap_node.core.mesh.stream import Stream
from fuchsiagap_standins.mesh.virtual import run_on_loopback


def a_pair():
    """Return both ends of a connected socket pair."""
    ends = socket.socketpair()
    for end in ends:
        end.setblocking(False)
    return ends


def a_tcp_pair():
    """Return both ends of a TCP connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        here = socket.create_connection(server.getsockname())
        there, _ = server.accept()
    return here, there


class TestPoller(TestCase):
    def test_two_pollers_of_one_event_loop_each_get_their_events(self):
        # If only one poller got events, the loop would spin on those of the other.
        async def main():
            pollers, pairs, got = [], [], []
            async with trio.open_nursery() as nursery:
                for number in range(2):
                    poller, (here, there) = make_poller(), a_pair()
                    pollers.append(poller)
                    pairs.append((here, there))
                    nursery.start_soon(poller.run)
                    poller.add(
                        here, lambda n=number, s=here: got.append((n, s.recv(9)))
                    )
                await trio.sleep(0.01)
                for _, there in pairs:
                    there.send(b"x")
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            # Data that arrives after the pollers ended wakes no task and delays none.
            pairs[0][1].send(b"y")
            await trio.sleep(0.01)
            return got

        self.assertEqual([(0, b"x"), (1, b"x")], sorted(trio.run(main)))

    def test_task_started_by_a_callback_runs_at_once(self):
        async def main():
            poller, (here, there) = make_poller(), a_pair()
            started = trio.Event()
            async with trio.open_nursery() as nursery:

                async def work():
                    started.set()

                def read():
                    here.recv(9)
                    nursery.start_soon(work)

                nursery.start_soon(poller.run)
                await trio.sleep(0.01)
                poller.add(here, read)
                there.send(b"x")
                with trio.move_on_after(1.0) as scope:
                    await started.wait()
                nursery.cancel_scope.cancel()
            return scope.cancelled_caught

        self.assertFalse(trio.run(main))

    def test_socket_removed_by_another_callback_is_not_called(self):
        async def main():
            poller, calls = make_poller(), []
            pairs = [a_pair(), a_pair()]
            async with trio.open_nursery() as nursery:

                def read(number):
                    calls.append(number)
                    for here, _ in pairs:
                        poller.remove(here)

                nursery.start_soon(poller.run)
                await trio.sleep(0.01)
                for number, (here, there) in enumerate(pairs):
                    poller.add(here, lambda n=number: read(n))
                    there.send(b"x")
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            return len(calls)

        self.assertEqual(1, trio.run(main))

    def test_writer_resumes_once_the_socket_is_writable_or_removed(self):
        async def main():
            poller, (here, there) = make_poller(), a_pair()
            found = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(poller.run)
                await trio.sleep(0.01)
                poller.add(here, lambda: None)
                for free in (lambda: there.recv(1 << 22), lambda: poller.remove(here)):
                    try:
                        while True:
                            here.send(b"x" * 65_536)
                    except BlockingIOError:
                        pass

                    async def write():
                        await poller.wait_writable(here)
                        found.append("resumed")

                    nursery.start_soon(write)
                    await trio.sleep(0.01)
                    found.append("waited")
                    free()
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            return found

        self.assertEqual(["waited", "resumed"] * 2, trio.run(main))

    def test_task_deadlines_expire_while_messages_arrive(self):
        async def main():
            poller, (here, there) = make_poller(), a_pair()
            async with trio.open_nursery() as nursery:

                def echo():
                    here.recv(9)
                    there.send(b"x")

                nursery.start_soon(poller.run)
                await trio.sleep(0.01)
                poller.add(here, echo)
                there.send(b"x")
                started = trio.current_time()
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            return trio.current_time() - started

        self.assertLess(trio.run(main), 0.5)

    def test_virtual_clock_does_not_jump_while_callbacks_run(self):
        async def main():
            poller, (here, there) = make_poller(), a_pair()
            calls = 0
            async with trio.open_nursery() as nursery:

                def echo():
                    nonlocal calls
                    here.recv(9)
                    calls += 1
                    if calls < 2_000:
                        there.send(b"x")

                nursery.start_soon(poller.run)
                await trio.sleep(0.01)
                poller.add(here, echo)
                there.send(b"x")
                # This virtual second does not pass while messages are in transit.
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            return calls

        self.assertEqual(2_000, run_on_loopback(main))

    def test_exception_of_one_connection_ends_only_that_one(self):
        # An exception that left the callback would end the process.
        async def main():
            poller, faults, got = make_poller(), [], []
            poller.on_fault = faults.append
            ends = [a_tcp_pair() for _ in range(2)]
            streams = [Stream(here) for here, _ in ends]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(poller.run)
                await trio.sleep(0.01)
                streams[0].start_reading(poller, lambda _: 1 / 0, lambda _: 1 / 0)
                streams[1].start_reading(poller, got.append, got.append)
                for _, there in ends:
                    there.send(b"x")
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            return [type(exc) for exc in faults], streams[0].closed, got

        faults, closed, got = trio.run(main)
        self.assertEqual([ZeroDivisionError] * 2, faults)
        self.assertTrue(closed)
        self.assertEqual([b"x"], got)

    def test_broken_connection_that_is_not_watched_causes_no_wakeups(self):
        async def main():
            poller, (here, there) = make_poller(), a_pair()
            n_waits = 0

            def count():
                nonlocal n_waits
                n_waits += 1

            poller.before_callbacks = count
            async with trio.open_nursery() as nursery:
                nursery.start_soon(poller.run)
                await trio.sleep(0.01)
                # The socket is watched for writing only.
                await poller.wait_writable(here)
                there.close()
                n_waits = 0
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()
            return n_waits

        self.assertLess(trio.run(main), 5)
