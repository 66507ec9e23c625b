"""Clients that pipeline idempotent requests and read slowly, as PROTOCOL.md allows."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass

from world import OUTBOUND, Node, Record, World, body_of


@dataclass
class Sent:
    """One client attempt."""

    rid: str
    conn: int
    at: float
    # Time of the whole answer, or of the end of its connection without one.
    answered: float | None = None
    status: int = 0
    lost: float | None = None
    # Bytes of its answer that came, and whether another answer was still due before it.
    n_bytes: int = 0
    is_behind: bool = False


class PipeliningClient:
    """Uses one connection at a time; sends on before the first answer is in.

    It reads `chunk` bytes each `pause_s`. It stops sending on a connection once it has
    read the head of an answer with ``Connection: close``.
    """

    def __init__(
        self,
        world: World,
        node: Node,
        name: str,
        path: str,
        size: int,
        depth: int = 4,
        gap_s: float = 0.06,
        chunk: int = 4096,
        pause_s: float = 0.02,
        deadline_ms: int = 5000,
    ) -> None:
        self._world, self._node, self._name = world, node, name
        self._path, self._size = path, size
        self._depth, self._gap_s = depth, gap_s
        self._chunk, self._pause_s = chunk, pause_s
        self._deadline_ms = deadline_ms
        self._record: Record = world.record
        self.sent: list[Sent] = []
        self.wrong: list[str] = []
        self._n = self._n_conns = 0
        self.may_send = lambda: True

    async def run(self) -> None:
        await asyncio.sleep(random.random() * self._gap_s)
        while True:
            if self.may_send():
                with contextlib.suppress(OSError, asyncio.TimeoutError):
                    await self._use_connection()
            await asyncio.sleep(0.1)

    async def _use_connection(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        # Segments as on an Ethernet, and a small window, as DEPLOY.md says of links.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        waiting: list[Sent] = []
        self._n_conns += 1
        self._closing = False
        try:
            async with asyncio.timeout(1.0):
                await loop.sock_connect(sock, (self._node.ip, OUTBOUND))
            sender = asyncio.create_task(self._send(loop, sock, waiting))
            try:
                await self._read(loop, sock, waiting)
            finally:
                sender.cancel()
        finally:
            sock.close()
            now = self._record.now()
            for index, sent in enumerate(waiting):
                sent.lost, sent.is_behind = now, index > 0
                self._record.note(
                    f"connection-ended {sent.rid} with {sent.n_bytes} bytes of its"
                    f" answer, {'behind another' if index else 'first'}"
                )

    async def _send(self, loop, sock, waiting: list[Sent]) -> None:
        with contextlib.suppress(OSError):
            while True:
                may = not self._closing and self.may_send()
                if may and len(waiting) < self._depth:
                    self._n += 1
                    rid = f"{self._name}-{self._n:04d}"
                    head = (
                        f"GET {self._path} HTTP/1.1\r\nHost: results.example\r\n"
                        f"Request-Id: {rid}\r\nDeadline-Ms: {self._deadline_ms}\r\n\r\n"
                    )
                    await loop.sock_sendall(sock, head.encode())
                    sent = Sent(rid, self._n_conns, self._record.now())
                    waiting.append(sent)
                    self.sent.append(sent)
                    self._record.note(f"sent {rid} to {self._node.name}")
                await asyncio.sleep(self._gap_s * random.uniform(0.5, 1.5))

    async def _read(self, loop, sock, waiting: list[Sent]) -> None:
        data = b""
        while True:
            part = await loop.sock_recv(sock, self._chunk)
            if not part:
                return
            data = self._parse(data + part, waiting)
            await asyncio.sleep(self._pause_s)

    def _parse(self, data: bytes, waiting: list[Sent]) -> bytes:
        while waiting:
            sent = waiting[0]
            sent.n_bytes = len(data)
            head, end, rest = data.partition(b"\r\n\r\n")
            if not end:
                return data
            lines = head.decode("latin-1").split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:])
            if headers.get("connection") == "close":
                self._closing = True
            length = int(headers["content-length"])
            if len(rest) < length:
                return data
            sent.status = int(lines[0].split()[1])
            sent.answered = self._record.now()
            body, data = rest[:length], rest[length:]
            if sent.status == 200 and body != body_of(sent.rid, self._size):
                self.wrong.append(sent.rid)
            self._record.note(f"answer {sent.rid} {sent.status} {length} bytes")
            waiting.pop(0)
        return data
