"""One connection to the backend server."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.http_answer import AnswerReader, BadAnswer
from fuchsiagap_node.core.mesh.outcome import EXPIRED, Answered, MayHaveRun, NotRun
from fuchsiagap_node.core.mesh.stream import BrokenStream, Stream, dial

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.frames import Call
    from fuchsiagap_node.core.mesh.http_answer import Answer
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.settings import MeshSettings

# Milliseconds to open a connection to a server on the same host.
_DIAL_MS = 500.0
# Milliseconds that a server gets past the deadline to send its own last word.
PAST_DEADLINE_MS = 80.0
# Share of the idle timeout that a server announces after which its connection is not
# used again, since its close may be under way.
_IDLE_SHARE = 0.7
# The same where it announces none, in milliseconds.
_IDLE_UNKNOWN_MS = 6_000.0
# Milliseconds of idleness after which a connection no longer takes what must not run
# twice: were it reset under way, nobody could tell whether it ran.
_IDLE_ONCE_MS = 1_000.0


class BackendConn:
    """Sends one call after the other and reads their answers.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    clock : Clock
        Time in milliseconds.

    Attributes
    ----------
    was_opened : bool
        Whether the last call found a connection.
    """

    def __init__(self, cfg: MeshSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._deadline_line = cfg.names.deadline + b": %d\r\n\r\n"
        self._stream: Stream | None = None
        self._reader = AnswerReader(cfg.names)
        self._used_at = 0.0
        self._idle_ms = _IDLE_UNKNOWN_MS
        self.was_opened = False

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def exchange(self, call: Call, deadline: Milliseconds) -> Outcome:
        """Send a call and wait for its answer, for as long as the caller's scope lasts.

        Parameters
        ----------
        call : Call
            The call.
        deadline : float
            Local time after which the answer is worth nothing.

        Returns
        -------
        Answered, NotRun or MayHaveRun
            `NotRun` only if nothing was sent, or if the server says so.
        """
        self.was_opened = True
        if self._clock.now() >= deadline:
            return NotRun(EXPIRED)
        try:
            stream = await self._open(call.idempotent)
        except BrokenStream as exc:
            self.was_opened = False
            return NotRun(f"no connection: {exc}")
        left = deadline - self._clock.now()
        if left < 1.0:
            return NotRun(EXPIRED)
        data = call.head + self._deadline_line % int(left) + call.body
        return await self._send_and_read(stream, call, data)

    async def _open(self, idempotent: bool) -> Stream:
        if self._stream is not None:
            idle = self._clock.now() - self._used_at
            longest = self._idle_ms if idempotent else min(self._idle_ms, _IDLE_ONCE_MS)
            if idle < longest and self._stream.is_quiet():
                return self._stream
            self.close()
        self._stream = await dial(self._cfg.backend, _DIAL_MS)
        self._reader = AnswerReader(self._cfg.names)
        self._idle_ms = _IDLE_UNKNOWN_MS
        return self._stream

    async def _send_and_read(self, stream: Stream, call: Call, data: bytes) -> Outcome:
        try:
            # After a broken send an early refusal may still stand in the buffer.
            with contextlib.suppress(BrokenStream):
                await stream.send(data)
            return self._outcome(await self._read(stream, call))
        except (BrokenStream, BadAnswer) as exc:
            self.close()
            return MayHaveRun(f"broken answer: {exc}")

    async def _read(self, stream: Stream, call: Call) -> Answer:
        """Wait for the answer that bears the call's identifier."""
        crossed = False
        while True:
            data = await stream.receive()
            answers = self._reader.feed(data) if data else self._reader.end()
            for index, answer in enumerate(answers):
                if not _belongs(answer, call.request_id):
                    crossed = True
                    continue
                clean = index == len(answers) - 1 and not self._reader.midway
                self._keep(answer, clean and not crossed and bool(data))
                return answer
            if not data:
                raise BadAnswer("the connection ended without an answer")

    def _keep(self, answer: Answer, clean: bool) -> None:
        """Keep the connection for the next call, or close it."""
        if not clean or not answer.keep_alive:
            self.close()
            return
        self._used_at = self._clock.now()
        if answer.idle_timeout is not None:
            self._idle_ms = answer.idle_timeout * _IDLE_SHARE

    @staticmethod
    def _outcome(answer: Answer) -> Outcome:
        if answer.not_run or answer.status == 421:
            return NotRun(f"backend server refused: {answer.status}", offered=True)
        return Answered(answer.status, answer.reason, answer.headers, answer.body)


def _belongs(answer: Answer, request_id: str) -> bool:
    """Whether an answer is that of a request.

    A refusal need not echo the identifier; a success without one cannot be told from
    a late answer to an earlier request.
    """
    if answer.request_id:
        return answer.request_id == request_id
    return answer.status >= 400 or not request_id
