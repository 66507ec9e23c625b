"""Responses on connections that a node closes while their callers read slowly."""

import socket
import struct
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from unittest import mock

import trio
from testtools import TestCase

from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh import node as mesh_node
from fuchsiagap_node.core.mesh.http_request import RequestReader
from fuchsiagap_node.core.mesh.stream import (
    BrokenStream,
    Stream,
    dial,
    listen,
    split_address,
)
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route, request_bytes
from fuchsiagap_standins.mesh.memory_sockets import WINDOW_BYTES
from fuchsiagap_standins.mesh.virtual import run_in_memory, run_on_loopback

READ = a_route("read")
RECEIVE_BUFFER_BYTES = 8_192
SEND_BUFFER_BYTES = 16_384
BODY = b"x" * 300_000
CLOSING = {"Connection": "close"}


def connect_slow_reader(address):
    """Return a connection with a small receive window."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect(split_address(address))
    return Stream(sock)


@contextmanager
def small_send_buffers():
    """Give connections that nodes accept a send buffer smaller than a response."""

    def listen_with_small_buffers(address):
        sock = listen(address)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        return sock

    with mock.patch.object(mesh_node, "listen", listen_with_small_buffers):
        yield


async def read_slowly(stream, pause=0.005):
    """Return all data until the end of the connection, and whether it was reset."""
    data = b""
    try:
        while part := await stream.receive():
            data += part
            await trio.sleep(pause)
    except BrokenStream:
        return data, True
    return data, False


async def send_requests(stream, n_requests, interval):
    """Send requests on a connection, one every `interval` seconds, until it ends."""
    for n in range(n_requests):
        try:
            await stream.send(request_bytes("/read/1", f"r{n}"))
        except BrokenStream:
            return
        await trio.sleep(interval)


async def stop_while_pipelining(host, pause_s):
    """Stop a node as a caller pipelines requests, and end it at the end of the stop.

    Returns
    -------
    tuple of bytes and bool
        What the caller reads in all, and whether its connection was reset.
    """
    stream = connect_slow_reader(host.node.cfg.addresses.callers)
    results = []
    async with trio.open_nursery() as nursery:

        async def read():
            results.append(await read_slowly(stream, pause_s))

        nursery.start_soon(read)
        # Goes on sending for longer than the node runs.
        nursery.start_soon(send_requests, stream, 100, 0.06)
        await trio.sleep(0.5)
        await host.node.stop()
        host.kill()
    stream.close()
    return results[0]


def split_responses(data):
    """Return the declared and the received length of the body of each response."""
    lengths = []
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        length = int(fields[b"Content-Length"])
        lengths.append((length, len(rest[:length])))
        data = rest[length:]
    return lengths


@asynccontextmanager
async def serving_host(body=BODY, work=0.0):
    """Run a host whose server answers each request with `body` after `work` ms."""
    async with a_deployment(READ) as deployment:
        host = deployment.add("certs")
        host.server.behave = lambda _: Behaviour(work=work, body=body)
        await deployment.settle()
        yield deployment, host


async def send_and_read(*parts, body=BODY):
    """Send parts on one connection; return body lengths, and whether it was reset."""
    async with serving_host(body) as (_, host):
        stream = connect_slow_reader(host.node.cfg.addresses.callers)
        for part in parts:
            await stream.send(part)
            await trio.sleep(0.02)
        data, was_reset = await read_slowly(stream)
        stream.close()
        return split_responses(data), was_reset


def old_request():
    """Return a request in the protocol version before kept connections."""
    return request_bytes("/read/1", "r1").replace(b"HTTP/1.1", b"HTTP/1.0")


class TestInputAfterAClosingRequest(TestCase):
    def check_whole(self, *parts):
        result = run_on_loopback(partial(send_and_read, *parts))
        self.assertEqual(([(len(BODY), len(BODY))], False), result)

    def test_response_is_not_reset_by_an_empty_line_after_its_request(self):
        self.check_whole(request_bytes("/read/1", "r1", headers=CLOSING), b"\r\n")

    def test_response_is_not_reset_by_requests_behind_a_closing_one(self):
        behind = [request_bytes("/read/1", f"r{n}") for n in (2, 3, 4)]
        self.check_whole(request_bytes("/read/1", "r1", headers=CLOSING), *behind)

    def test_response_is_not_reset_by_an_empty_line_after_a_request_of_http_1_0(self):
        self.check_whole(old_request(), b"\r\n")


class TestPlannedStop(TestCase):
    def test_planned_stop_resets_no_responses_of_a_pipelining_caller(self):
        async def main():
            async with serving_host(b"x" * 30_000, 50.0) as (_, host):
                data, was_reset = await stop_while_pipelining(host, 0.05)
                return split_responses(data), was_reset

        lengths, was_reset = run_on_loopback(main)
        self.assertFalse(was_reset)
        self.assertGreater(len(lengths), 20)
        self.assertEqual([], [x for x in lengths if x[0] != x[1]])

    def count_unread_responses(self, pause_s):
        """Return how many requests ran during a stop whose response was not read whole.

        Parameters
        ----------
        pause_s : float
            Seconds between two reads of some 8 KB by a caller that pipelines.
        """

        async def main():
            async with serving_host(b"x" * 30_000) as (_, host):
                data, _ = await stop_while_pipelining(host, pause_s)
                lengths = split_responses(data)
                n_whole = lengths.count((30_000, 30_000))
                return len(host.server.heads) - n_whole

        return run_on_loopback(main)

    def test_stop_loses_no_response_of_a_caller_that_reads_too_slowly(self):
        for pause_s in (0.03, 0.08):
            self.assertEqual(0, self.count_unread_responses(pause_s), pause_s)

    def test_last_response_of_a_stop_is_not_cut_by_requests_sent_while_it_is_read(self):
        async def main():
            async with serving_host() as (deployment, host):
                stopping = deployment.add("certs")
                stopping.server.behave = host.server.behave
                await deployment.settle()
                address = stopping.node.cfg.addresses.callers
                # Reads nothing, and so delays the end of the stop.
                other = connect_slow_reader(address)
                await other.send(request_bytes("/read/1", "other"))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(stopping.node.stop)
                    await trio.sleep(2.6)
                    stream = connect_slow_reader(address)
                    nursery.start_soon(send_requests, stream, 40, 0.03)
                    data, was_reset = await read_slowly(stream, 0.02)
                    stream.close()
                    other.close()
                n_behind = len(host.server.heads + stopping.server.heads) - 2
                return split_responses(data), was_reset, n_behind

        expected = [(len(BODY), len(BODY))], False, 0
        with small_send_buffers():
            self.assertEqual(expected, run_on_loopback(main))

    def test_request_that_arrives_once_the_stop_is_over_is_not_run(self):
        # Callers connect again until the process has ended.
        async def main():
            async with serving_host() as (deployment, host):
                stopping = deployment.add("certs")
                await deployment.settle()
                await stopping.node.stop()
                stream = await dial(stopping.node.cfg.addresses.callers, 500.0)
                await stream.send(request_bytes("/read/1", "r1"))
                await trio.sleep(0.1)
                stopping.kill()
                stream.close()
                return len(host.server.heads)

        self.assertEqual(0, run_in_memory(main))

    def test_stop_waits_only_for_callers_that_may_still_read(self):
        async def main(idle_s):
            async with serving_host(b"x") as (_, host):
                stream = connect_slow_reader(host.node.cfg.addresses.callers)
                await stream.send(request_bytes("/read/1", "r1"))
                await stream.receive()
                await trio.sleep(idle_s)
                began = trio.current_time()
                # Like a pool of connections, the caller doesn't notice the close.
                await host.node.stop()
                return trio.current_time() - began

        self.assertLess(run_on_loopback(partial(main, 3.0)), 2.7)
        self.assertLess(run_on_loopback(partial(main, 0.0)), 4.0)


class TestBounds(TestCase):
    def run_silent_caller(self, wait_s, size):
        """Return how the connection of a caller that stops reading ends.

        Parameters
        ----------
        wait_s : float
            Seconds after which to look.
        size : int
            Length of the body of the response.

        Returns
        -------
        tuple of int and dict of str to int
            Number of open connections, and cut connections by cause.
        """

        async def main():
            async with serving_host(b"x" * size) as (deployment, host):
                deployment.put_config(READ, limits=CallerLimits(idle_timeout=8_000.0))
                await trio.sleep(1.0)
                stream = connect_slow_reader(host.node.cfg.addresses.callers)
                await stream.send(request_bytes("/read/1", "r1", headers=CLOSING))
                await trio.sleep(wait_s)
                counts = host.node.event_log.counts
                n_open = len(host.node._callers._connections)
                stream.close()
                return n_open, {
                    cause: n
                    for (name, cause), n in counts.items()
                    if name == "caller_connections_cut"
                }

        return run_on_loopback(main)

    def test_connection_whose_caller_does_not_close_it_ends(self):
        self.assertEqual((1, {}), self.run_silent_caller(4.0, 10))
        self.assertEqual((0, {}), self.run_silent_caller(6.5, 10))

    def test_connection_whose_caller_does_not_read_ends_and_is_counted(self):
        self.assertEqual((1, {}), self.run_silent_caller(7.0, 1_000_000))
        expected = (0, {"timeout": 1})
        self.assertEqual(expected, self.run_silent_caller(9.5, 1_000_000))


class TestUnexpectedException(TestCase):
    def test_exception_for_one_request_does_not_reset_the_response_before_it(self):
        async def main():
            async with serving_host() as (deployment, host):
                deployment.expects_faults = True
                stream = connect_slow_reader(host.node.cfg.addresses.callers)
                await stream.send(request_bytes("/read/1", "r1"))
                await trio.sleep(0.05)
                with mock.patch.object(RequestReader, "feed", side_effect=ValueError):
                    await stream.send(request_bytes("/read/1", "r2"))
                    await trio.sleep(0.05)
                    await stream.send(request_bytes("/read/1", "r3"))
                    data, was_reset = await read_slowly(stream)
                stream.close()
                return split_responses(data), was_reset

        expected = [(len(BODY), len(BODY))], False
        self.assertEqual(expected, run_on_loopback(main))


class TestCutConnections(TestCase):
    """Connections that end with unacknowledged responses are logged with the cause."""

    def test_connections_cut_at_the_exit_are_logged(self):
        async def main():
            async with serving_host() as (_, host):
                stream = connect_slow_reader(host.node.cfg.addresses.callers)
                await stream.send(request_bytes("/read/1", "r1"))
                await trio.sleep(0.05)
                host.kill()
                await trio.sleep(0.05)
                stream.close()
                return host.node.event_log.counts["caller_connections_cut", "exit"]

        self.assertEqual(1, run_on_loopback(main))

    def test_connections_reset_by_their_caller_are_counted(self):
        async def main():
            async with serving_host(b"x" * 30_000_000) as (_, host):
                stream = connect_slow_reader(host.node.cfg.addresses.callers)
                await stream.send(request_bytes("/read/1", "r1"))
                await trio.sleep(1.0)
                linger = struct.pack("ii", 1, 0)
                stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                stream.close()
                await trio.sleep(0.1)
                return host.node.event_log.counts["caller_connections_cut", "caller"]

        self.assertEqual(1, run_on_loopback(main))


class TestRejectedRequest(TestCase):
    def test_rejection_reaches_a_caller_that_goes_on_sending(self):
        async def main():
            async with serving_host() as (deployment, host):
                deployment.put_config(READ, limits=CallerLimits(body_bytes=1_000))
                await trio.sleep(1.0)
                stream = connect_slow_reader(host.node.cfg.addresses.callers)
                body = b"x" * 3_000_000
                await stream.send(request_bytes("/read/1", "r1", body=body))
                data, was_reset = await read_slowly(stream)
                stream.close()
                return data.partition(b"\r\n")[0], was_reset

        expected = b"HTTP/1.1 413 Content Too Large", False
        self.assertEqual(expected, run_on_loopback(main))


class TestContinue(TestCase):
    def test_continue_that_does_not_fit_in_the_socket_keeps_earlier_responses(self):
        async def main(n_bytes):
            async with serving_host(b"x" * n_bytes) as (_, host):
                stream = await dial(host.node.cfg.addresses.callers, 500.0)
                await stream.send(request_bytes("/read/1", "r1"))
                await trio.sleep(0.5)
                upload = request_bytes(
                    "/read/2",
                    "r2",
                    method="PUT",
                    body=b"y",
                    headers={"Expect": "100-continue"},
                )
                await stream.send(upload[:-1])
                await trio.sleep(0.5)
                data = b""
                with trio.move_on_after(1.0):
                    while part := await stream.receive():
                        data += part
                stream.close()
                return data

        async def measure():
            return len((await main(100_000)).partition(b"\r\n\r\n")[0]) + 4

        head_size = run_in_memory(measure)
        n_bytes = WINDOW_BYTES - head_size - 5
        data = run_in_memory(partial(main, n_bytes))
        _, _, rest = data.partition(b"\r\n\r\n")
        self.assertEqual(n_bytes, len(rest.partition(b"HTTP/1.1 ")[0]))
        self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", rest[n_bytes:])
