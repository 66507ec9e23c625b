"""Requests that a caller sends behind responses that it has not read."""

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.callers import CallerListener
from fuchsiagap_node.tests.core.mesh.test_graceful_close import (
    BODY,
    connect_slow_reader,
    read_slowly,
    serving_host,
    split_responses,
)
from fuchsiagap_standins.mesh.deployment import request_bytes
from fuchsiagap_standins.mesh.virtual import run_on_loopback

WHOLE = (len(BODY), len(BODY))
N_BEHIND = 3


async def send_behind_unread_response(host, *parts):
    """Return a connection with an unread response, and parts sent behind it."""
    stream = connect_slow_reader(host.node.cfg.addresses.callers)
    await stream.send(request_bytes("/read/1", "r0"))
    await trio.sleep(0.1)
    for part in parts:
        await stream.send(part)
    await trio.sleep(0.1)
    return stream


def reads(n_requests):
    return [request_bytes("/read/1", f"r{n}") for n in range(1, n_requests + 1)]


class TestUnreadResponses(TestCase):
    def test_request_behind_a_response_that_does_not_fit_waits_for_its_caller(self):
        async def main():
            async with serving_host() as (_, host):
                stream = await send_behind_unread_response(host, *reads(N_BEHIND))
                n_before = len(host.server.heads)
                n_bytes = 0
                while n_bytes < (1 + N_BEHIND) * len(BODY):
                    n_bytes += len(await stream.receive())
                stream.close()
                return n_before, len(host.server.heads)

        self.assertEqual((1, 1 + N_BEHIND), run_on_loopback(main))

    def test_stop_drops_requests_behind_a_response_that_is_not_read(self):
        async def main():
            async with serving_host() as (_, host):
                stream = await send_behind_unread_response(host, *reads(N_BEHIND))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(host.node.stop)
                    await trio.sleep(2.6)
                    data, was_reset = await read_slowly(stream)
                stream.close()
                return split_responses(data), was_reset, len(host.server.heads)

        self.assertEqual(([WHOLE], False, 1), run_on_loopback(main))

    def test_malformed_request_is_answered_after_the_requests_that_wait(self):
        async def main():
            async with serving_host() as (_, host):
                parts = *reads(1), b"malformed\r\n\r\n"
                stream = await send_behind_unread_response(host, *parts)
                data, was_reset = await read_slowly(stream)
                stream.close()
                return split_responses(data), was_reset

        self.assertEqual(([WHOLE, WHOLE, (0, 0)], False), run_on_loopback(main))

    def test_waiting_request_is_dropped_with_its_connection(self):
        async def main():
            async with serving_host() as (_, host):
                upload = request_bytes(
                    "/read/1", "r1", method="POST", body=b"x" * 1_000
                )
                stream = await send_behind_unread_response(host, upload)
                memory = host.node.body_memory
                n_waiting = memory.held
                stream.close()
                await trio.sleep(0.5)
                return (
                    n_waiting - len(BODY),
                    memory.held,
                    host.node._callers.in_progress,
                )

        self.assertEqual((1_000, 0, 0), run_on_loopback(main))


class TestStop(TestCase):
    def count_started(self, is_stopping):
        """Return the number of pipelined requests that run at the same time."""

        async def main():
            async with serving_host(b"x", work=200.0) as (deployment, host):
                other = deployment.add("certs")
                other.server.behave = host.server.behave
                await deployment.settle()
                async with trio.open_nursery() as nursery:
                    if is_stopping:
                        nursery.start_soon(host.node.stop)
                        await trio.sleep(0.1)
                    stream = connect_slow_reader(host.node.cfg.addresses.callers)
                    await stream.send(b"".join(reads(N_BEHIND)))
                    await trio.sleep(0.1)
                    n_started = len(host.server.heads + other.server.heads)
                    nursery.cancel_scope.cancel()
                stream.close()
                return n_started

        return run_on_loopback(main)

    def test_stopping_node_runs_one_request_of_a_connection_at_a_time(self):
        self.assertEqual(N_BEHIND, self.count_started(is_stopping=False))
        self.assertEqual(1, self.count_started(is_stopping=True))


class TestExit(TestCase):
    def test_response_that_does_not_fit_at_the_exit_causes_no_exception(self):
        async def main():
            async with serving_host() as (_, host):
                listener = CallerListener(host.node.cfg, None, None, None, None)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(listener.run)
                    await trio.sleep(0.1)
                    nursery.cancel_scope.cancel()
                # Calls that the exit breaks off are answered until the process ends.
                listener.send_later(trio.sleep_forever)

        run_on_loopback(main)
