"""What both ends of a link between two nodes share."""

from __future__ import annotations

import zlib
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.mesh.frames import BadFrame, FrameReader, encode
from fuchsiagap_node.core.mesh.messages import Cancel, Hello, Message
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.stream import Stream

# Milliseconds after which the system gives up on bytes that nobody acknowledges.
_UNACKNOWLEDGED_MS = 3_000.0
# Compression of links between data centres: the fastest level, and a window of 4 KiB,
# which holds the last dozen heads; the state of a link was not measured.
_LEVEL = 1
_WINDOW_BITS = 12
_MEMORY_LEVEL = 5


class FramedLink:
    """Sends messages of one turn of the loop in one write, and reads them whole.

    Parameters
    ----------
    stream : Stream
        The connection.
    clock : Clock
        Time in milliseconds.

    Attributes
    ----------
    last_received_at : float
        When the other end was last heard of.
    greeted : bool
        Whether this end has sent its `Hello`.
    """

    def __init__(self, stream: Stream, clock: Clock) -> None:
        stream.set_user_timeout(_UNACKNOWLEDGED_MS)
        self._stream = stream
        self._clock = clock
        self._outbox: list[bytes] = []
        self._head = b""
        self._unsent: list[int] = []
        self._filled = trio.Event()
        self._writing = False
        self._reader = FrameReader()
        self._pack: zlib._Compress | None = None
        self._unpack: zlib._Decompress | None = None
        self._on_message: Callable[[Message], None] = _ignore
        self._ended: Exception | None = None
        self.last_received_at: Milliseconds = clock.now()
        self.hello_sent = False

    def post(self, message: Message, call_id: int = 0) -> None:
        """Queue a message.

        Parameters
        ----------
        message : Message
            Message.
        call_id : int, default=0
            Number of the call that it hands over; see `unsent`.
        """
        frame = encode(message)
        if self._pack is None and not self._outbox and not self._writing:
            self._send_now(frame, call_id)
            return
        if call_id:
            self._unsent.append(call_id)
        self._outbox.append(frame)
        self._filled.set()

    def _send_now(self, frame: bytes, call_id: int) -> None:
        """Send what goes out at once, without waking a task for it.

        Bytes between data centres wait for the writing task instead: what is
        compressed together is smaller.
        """
        try:
            rest = self._stream.send_some(frame)
        except BrokenStream:
            # Nothing of it left; the reading task notices the closed connection.
            self._unsent.append(call_id)
            self._stream.close()
            return
        if rest:
            self._outbox.append(rest)
            self._filled.set()

    def post_hello(self, hello: Hello, compressed: bool) -> None:
        """Queue the first message, and compress what follows if `compressed`.

        Heads of requests repeat from one to the next: on links between data centres,
        whose bytes are dear, that took 0.050 to 0.044 GB on a high day.
        """
        self.post(replace(hello, compressed=compressed))
        self.hello_sent = True
        if compressed:
            self._head, self._outbox = b"".join(self._outbox), []
            self._pack = zlib.compressobj(
                _LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
            )

    def unsent(self) -> frozenset[int]:
        """Return the calls of which no byte has left this node."""
        return frozenset(self._unsent)

    def withdraw(self, call_id: int) -> None:
        """Tell the other end that a call is no longer wanted."""
        self.post(Cancel(call_id))

    async def serve(
        self, poller: Poller, on_message: Callable[[Message], None]
    ) -> None:
        """Read and write until the link ends.

        Parameters
        ----------
        poller : Poller
            Watches the connection.
        on_message : callable
            Told each message.

        Raises
        ------
        BrokenStream, BadFrame
            Why the link has ended.
        """
        self._on_message = on_message
        self._stream.start_reading(poller, self._read, self.end)
        try:
            await self._write()
        except BrokenStream:
            if self._ended is None:
                raise
        assert self._ended is not None
        raise self._ended

    def end(self, why: Exception) -> None:
        """End the link; `serve` raises the reason."""
        if self._ended is None:
            self._ended = why
            self._filled.set()
            self._stream.close()

    async def _write(self) -> None:
        """Send what is queued until the link ends."""
        while True:
            await self._filled.wait()
            if self._ended is not None:
                return
            self._filled = trio.Event()
            frames, self._outbox = self._outbox, []
            self._unsent = []
            data = b"".join(frames) if len(frames) != 1 else frames[0]
            if self._pack is not None and data:
                data = self._pack.compress(data) + self._pack.flush(zlib.Z_SYNC_FLUSH)
            head, self._head = self._head, b""
            self._writing = True
            await self._stream.send(head + data if head else data)
            self._writing = False

    def _read(self, data: bytes) -> None:
        """Take in bytes; what goes wrong with them ends the link."""
        self.last_received_at = self._clock.now()
        try:
            for message in self._messages(data):
                self._on_message(message)
        except Exception as exc:
            self.end(exc)

    def _messages(self, data: bytes) -> list[Message]:
        """Return the messages that bytes complete."""
        messages = self._reader.feed(self._unpacked(data))
        last = messages[-1] if messages else None
        if isinstance(last, Hello):
            rest = self._reader.take_rest()
            if last.compressed:
                self._unpack = zlib.decompressobj(_WINDOW_BITS)
            messages += self._reader.feed(self._unpacked(rest))
        return messages

    def _unpacked(self, data: bytes) -> bytes:
        if self._unpack is None:
            return data
        try:
            return self._unpack.decompress(data)
        except zlib.error as exc:
            raise BadFrame(f"cannot be unpacked: {exc}") from exc

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


def _ignore(_: Message) -> None:
    """Do nothing."""
