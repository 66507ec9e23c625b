"""What both ends of a link between two nodes share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.mesh.frames import Cancel, FrameReader, Message, encode
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.stream import Stream

# Milliseconds after which the system gives up on bytes that nobody acknowledges.
_UNACKNOWLEDGED_MS = 3_000.0


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
    heard_at : float
        When the other end was last heard of.
    """

    def __init__(self, stream: Stream, clock: Clock) -> None:
        stream.give_up_after(_UNACKNOWLEDGED_MS)
        self._stream = stream
        self._clock = clock
        self._outbox: list[bytes] = []
        self._unsent: list[int] = []
        self._filled = trio.Event()
        self._reader = FrameReader()
        self.heard_at: Milliseconds = clock.now()

    def post(self, message: Message, call_id: int = 0) -> None:
        """Queue a message.

        Parameters
        ----------
        message : Message
            Message.
        call_id : int, default=0
            Number of the call that it hands over; see `unsent`.
        """
        if call_id:
            self._unsent.append(call_id)
        self._outbox.append(encode(message))
        self._filled.set()

    def unsent(self) -> frozenset[int]:
        """Return the calls of which no byte has left this node."""
        return frozenset(self._unsent)

    def withdraw(self, call_id: int) -> None:
        """Tell the other end that a call is no longer wanted."""
        self.post(Cancel(call_id))

    async def write(self) -> None:
        """Send what is queued until the link breaks (`BrokenStream`)."""
        while True:
            await self._filled.wait()
            self._filled = trio.Event()
            frames, self._outbox = self._outbox, []
            self._unsent = []
            await self._stream.send(b"".join(frames) if len(frames) > 1 else frames[0])

    async def read(self) -> list[Message]:
        """Wait for messages.

        Raises
        ------
        BrokenStream
            If the link has ended.
        """
        data = await self._stream.receive()
        if not data:
            raise BrokenStream("closed by the other end")
        self.heard_at = self._clock.now()
        return self._reader.feed(data)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
