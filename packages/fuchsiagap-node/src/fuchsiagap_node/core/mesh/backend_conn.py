"""One connection to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.http_response import BadResponse, ResponseReader
from fuchsiagap_node.core.mesh.outcome import (
    OTHER_INCARNATION,
    Answered,
    MayHaveRun,
    NotRun,
)
from fuchsiagap_node.core.mesh.stream import (
    IDLE_PROBES,
    BrokenStream,
    EndedStream,
    SilentStream,
    Stream,
    dial,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.http_response import Response
    from fuchsiagap_node.core.mesh.messages import Call
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.settings import MeshSettings

# Status of a server that is not the incarnation that a request names.
_NOT_THE_ONE_MEANT = 421
# Milliseconds to open a connection to a server on the same host.
_DIAL_MS = 500.0
# Milliseconds after which bytes that the server's host has not acknowledged break the
# connection. The host is this one, where it takes well under a millisecond whatever the
# server does; a connection that fell silent for good would else hold its call, and its
# place, until the deadline.
_UNACKNOWLEDGED_MS = 1_000.0
# Share of the idle timeout that a server announces after which its connection is not
# used again, since its close may be under way.
_IDLE_SHARE = 0.7
# The same where it announces none, in milliseconds; below the idle timeouts that
# backend servers usually have.
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
    call : Call or None
        The call whose answer is awaited; None while the connection is idle.
    closed : bool
        Whether it takes no more calls.
    idle_since : float
        When its last answer came.
    silent : bool
        Whether it broke since the other end had fallen silent.
    """

    def __init__(self, cfg: MeshSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._deadline_line = cfg.names.deadline + b": %d\r\n\r\n"
        self._stream: Stream | None = None
        self._reader = ResponseReader(cfg.names)
        self._unsent = b""
        self._crossed = False
        self.idle_since: Milliseconds = 0.0
        self._idle_ms = _IDLE_UNKNOWN_MS
        self._on_read: Callable[[BackendConn, Outcome | None], None] = _ignore
        self.call: Call | None = None
        self.closed = False
        self.silent = False

    def close(self) -> None:
        """Close the connection; whoever waits on it gets `BrokenStream`."""
        self.closed = True
        if self._stream is not None:
            self._stream.close()

    async def open(self) -> None:
        """Open the connection; `BrokenStream` if there is none in time."""
        self._stream = await dial(self._cfg.backend, _DIAL_MS)
        self._stream.set_user_timeout(_UNACKNOWLEDGED_MS)
        self._stream.enable_keepalive(IDLE_PROBES)
        if self.closed:
            self._stream.close()

    def outlived(self, now: Milliseconds) -> bool:
        """Whether an idle connection has been idle for too long to be used again."""
        return now - self.idle_since >= self._idle_ms

    def is_fit(self, idempotent: bool, now: Milliseconds) -> bool:
        """Whether an idle connection may take a call."""
        if not idempotent and now - self.idle_since >= _IDLE_ONCE_MS:
            return False
        return not self.outlived(now)

    def is_reusable(self) -> bool:
        """Whether an idle connection is open and has nothing to read."""
        return self._stream is not None and self._stream.is_reusable()

    def send(self, call: Call, left: Milliseconds) -> bool:
        """Send a call, as much as goes out at once; `push` sends the rest.

        Parameters
        ----------
        call : Call
            The call.
        left : float
            Milliseconds until its answer is worth nothing.

        Returns
        -------
        bool
            False if the connection had broken before a byte left; it is closed then.
        """
        assert self._stream is not None
        data = call.head + self._deadline_line % int(left) + call.body
        try:
            self._unsent = self._stream.send_some(data)
        except BrokenStream:
            self.close()
            return False
        self.call = call
        return True

    @property
    def has_unsent(self) -> bool:
        """Whether a part of the call has still to be sent."""
        return bool(self._unsent)

    async def push(self) -> None:
        """Send the rest of a call; after a break its answer may still be read."""
        assert self._stream is not None
        try:
            await self._stream.send(self._unsent)
        except BrokenStream:
            return
        self._unsent = b""

    def listen(
        self, poller: Poller, on_read: Callable[[BackendConn, Outcome | None], None]
    ) -> None:
        """Read answers from now on.

        Parameters
        ----------
        poller : Poller
            Watches the connection.
        on_read : callable
            Told the outcome of the call each time that something came, or that the
            connection has ended; None while it has none, or if there is no call.
        """
        assert self._stream is not None
        self._on_read = on_read
        self._stream.start_reading(poller, self._take, self._end)

    def _take(self, data: bytes) -> None:
        """Take in bytes from the server."""
        if self.call is None:
            # They belong to no call.
            self.close()
            self._on_read(self, None)
            return
        try:
            answer = self._answer(data, self.call)
        except BadResponse as exc:
            self._break(exc)
        else:
            self._on_read(self, None if answer is None else _outcome(answer))

    def _end(self, why: BrokenStream) -> None:
        """Take in that the connection has ended, in the midst of an answer perhaps."""
        self.silent = isinstance(why, SilentStream)
        if not isinstance(why, EndedStream) or self.call is None:
            self._break(why)
            return
        try:
            answer = self._answer(b"", self.call)
        except BadResponse as exc:
            self._break(exc)
            return
        self.close()
        self._on_read(self, None if answer is None else _outcome(answer))

    def _break(self, why: Exception) -> None:
        self.close()
        outcome = MayHaveRun(f"broken answer: {why}") if self.call else None
        self._on_read(self, outcome)

    def _answer(self, data: bytes, call: Call) -> Response | None:
        """Return the answer that bears the call's identifier, once it is whole."""
        answers = self._reader.feed(data) if data else self._reader.end()
        for index, answer in enumerate(answers):
            if not _belongs(answer, call.request_id):
                self._crossed = True
                continue
            clean = index == len(answers) - 1 and not self._reader.in_message
            self._keep(answer, clean and not self._crossed and bool(data))
            return answer
        if not data:
            raise BadResponse("the connection ended without an answer")
        return None

    def _keep(self, answer: Response, clean: bool) -> None:
        """Keep the connection for the next call, or close it."""
        if not clean or not answer.keep_alive or self._unsent:
            self.close()
            return
        self.idle_since = self._clock.now()
        if answer.idle_timeout is not None:
            self._idle_ms = answer.idle_timeout * _IDLE_SHARE


def _outcome(answer: Response) -> Outcome:
    if answer.status == _NOT_THE_ONE_MEANT:
        return NotRun(OTHER_INCARNATION, offered=True)
    if answer.not_run:
        return NotRun(f"backend server refused: {answer.status}", offered=True)
    return Answered(answer.status, answer.reason, answer.headers, answer.body)


def _belongs(answer: Response, request_id: str) -> bool:
    """Whether an answer is that of a request.

    A refusal need not echo the identifier; a success without one cannot be told from
    a late answer to an earlier request.
    """
    if answer.request_id:
        return answer.request_id == request_id
    return answer.status >= 400 or not request_id


def _ignore(_: BackendConn, __: Outcome | None) -> None:
    """Do nothing."""
