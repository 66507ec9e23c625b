"""One connection to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.mesh.http_response import BadResponse, ResponseReader
from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES
from fuchsiagap_node.core.mesh.outcome import (
    OTHER_INCARNATION,
    Answered,
    MayHaveRun,
    NotRun,
)
from fuchsiagap_node.core.mesh.stream import (
    IDLE_PROBES,
    NO_USER_TIMEOUT,
    BrokenStream,
    EndedStream,
    SilentStream,
    Stream,
    dial,
)
from fuchsiagap_node.core.tcp import ACK_CHECK_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.body_memory import BodyMemory
    from fuchsiagap_node.core.mesh.http_response import Response
    from fuchsiagap_node.core.mesh.messages import Call
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.stream import Buffer

# Status by which a server answers that it is not the incarnation named in a request.
MISDIRECTED_REQUEST = 421
# Milliseconds within which a connection to a server on the same host has to open.
_CONNECT_TIMEOUT_MS = 500.0
# Milliseconds after which unacknowledged bytes break the connection. The server is on
# the same host, whose kernel acknowledges within a millisecond whatever the server
# does. Without this, a dead connection would hold its call and its slot until the
# deadline.
_ACK_TIMEOUT_MS = 1_000.0
# Calls up to this size fit in the receive window of a server. It may leave its window
# closed while it receives a larger one, and the kernel then breaks the connection as
# well, so such a call is bounded by its deadline only.
_RECEIVE_WINDOW_BYTES = 4_096
# Share of the idle timeout announced by the server after which a connection is not
# reused, since the server may already be closing it.
_IDLE_TIMEOUT_SHARE = 0.7
# Milliseconds of idleness after which a connection is not reused if the server
# announces no idle timeout; shorter than the usual idle timeouts of backend servers.
_DEFAULT_IDLE_TIMEOUT_MS = 6_000.0
# Milliseconds of idleness after which a connection carries no non-idempotent calls. If
# it were reset while such a call is in flight, it would be unknown whether the call
# ran.
_NON_IDEMPOTENT_MAX_IDLE_MS = 1_000.0
# Maximum number of calls that a connection carries, which bounds the memory for their
# identifiers.
_MAX_CALLS = 256


class BackendConn:
    """One HTTP connection to the backend server, which carries one call at a time.

    It never carries two calls with the same identifier: a late copy of the answer to
    the first could not be told from the answer to the second.

    Parameters
    ----------
    cfg : MeshSettings
        Settings of the node.
    clock : Clock
        Time in milliseconds.
    memory : BodyMemory, optional
        Memory for the bodies of answers; by default unlimited.
    number : int, default=0
        Number of the connection among those of the process.

    Attributes
    ----------
    number : int
        Number of the connection among those of the process.
    on_skipped : callable
        Called with the connection and each response that is not the answer to its call.
    on_too_long : callable
        Called with the connection and the part of a response that exceeds its limit.
    n_received : int
        Number of bytes received since the call in progress was sent.
    call : Call or None
        The call whose answer is awaited; None while the connection is idle.
    response : Response or None
        The last response to a call.
    closed : bool
        Whether it accepts no more calls.
    idle_since : float
        Local time in milliseconds at which its last answer was complete.
    silent : bool
        Whether it broke because the other end stopped responding.
    is_ending : bool
        Whether the server has ended the connection, and it is not yet known whether
        that completes the answer; see `confirm_end`.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        clock: Clock,
        memory: BodyMemory | None = None,
        number: int = 0,
    ) -> None:
        self.number = number
        self.on_skipped: Callable[[BackendConn, Response], None] = _ignore
        self.on_too_long: Callable[[BackendConn, str], None] = _ignore
        self.n_received = 0
        self._cfg = cfg
        self._clock = clock
        self._deadline_line = cfg.names.deadline + b": %d\r\n\r\n"
        self._stream: Stream | None = None
        self._limits = cfg.response_limits
        self._reader = ResponseReader(cfg.names, memory, self._limits)
        self._n_skipped = 0
        self._ack_timeout = _ACK_TIMEOUT_MS
        self._unsent: list[Buffer] = []
        self._carried: set[str] = set()
        self.idle_since: Milliseconds = 0.0
        self._max_idle_ms = _DEFAULT_IDLE_TIMEOUT_MS
        self._on_read: Callable[[BackendConn, Outcome | None], None] = _ignore
        self.call: Call | None = None
        self.response: Response | None = None
        self.closed = False
        self.silent = False
        self.is_ending = False

    def close(self) -> None:
        """Close the connection; tasks that wait on it get `BrokenStream`."""
        self.closed = True
        if self._stream is not None:
            self._stream.close()

    async def open(self) -> None:
        """Open the connection.

        Raises
        ------
        BrokenStream
            If it does not open in time.
        """
        self._stream = await dial(self._cfg.backend, _CONNECT_TIMEOUT_MS)
        self._stream.set_user_timeout(self._ack_timeout)
        self._stream.enable_keepalive(IDLE_PROBES)
        if self.closed:
            self._stream.close()

    def is_expired(self, now: Milliseconds) -> bool:
        """Whether an idle connection has been idle for too long to be reused."""
        return now - self.idle_since >= self._max_idle_ms

    def may_carry(self, idempotent: bool, now: Milliseconds) -> bool:
        """Whether an idle connection may carry a call."""
        if not idempotent and now - self.idle_since >= _NON_IDEMPOTENT_MAX_IDLE_MS:
            return False
        return not self.is_expired(now)

    @property
    def n_carried(self) -> int:
        """Number of calls that it has carried, including the one in progress."""
        return len(self._carried)

    def has_carried(self, request_id: str) -> bool:
        """Whether it has carried a call with the identifier."""
        return request_id in self._carried

    def is_reusable(self) -> bool:
        """Whether an idle connection is open and has no unread data."""
        return self._stream is not None and self._stream.is_reusable()

    def send(self, call: Call, left: Milliseconds) -> bool:
        """Send a call without blocking; `send_rest` sends what did not fit.

        Parameters
        ----------
        call : Call
            The call.
        left : float
            Milliseconds until its deadline.

        Returns
        -------
        bool
            False if the connection was already broken and nothing was sent; it is
            closed then.
        """
        assert self._stream is not None
        head = call.head + self._deadline_line % int(left)
        is_large = len(call.body) >= LARGE_BODY_BYTES
        parts = [head, call.body] if is_large else [head + call.body]
        try:
            self._unsent = self._stream.send_parts(parts)
        except BrokenStream:
            self.close()
            return False
        if len(head) + len(call.body) > _RECEIVE_WINDOW_BYTES:
            self._set_ack_timeout(NO_USER_TIMEOUT)
        self.call = call
        self.n_received = 0
        self._carried.add(call.request_id)
        return True

    @property
    def has_unsent(self) -> bool:
        """Whether a part of the call is still unsent."""
        return bool(self._unsent)

    async def send_rest(self) -> None:
        """Send the rest of a call.

        A broken connection is not reported here: an answer may still be readable, and
        otherwise the reading side reports the break.
        """
        assert self._stream is not None
        try:
            for part in self._unsent:
                await self._stream.send(part)
        except BrokenStream:
            return
        self._unsent = []

    def read_answers(
        self, poller: Poller, on_read: Callable[[BackendConn, Outcome | None], None]
    ) -> None:
        """Start to read answers.

        Parameters
        ----------
        poller : Poller
            Signals that there is something to read.
        on_read : callable
            Called after each read, and when the connection has ended, with the outcome
            of the call; None while there is no outcome or no call.
        """
        assert self._stream is not None
        self._on_read = on_read
        self._stream.start_reading(poller, self._handle_data, self._handle_end)

    def _handle_data(self, data: bytes) -> None:
        """Handle bytes from the server."""
        if self.call is None:
            # Unsolicited bytes: later answers could not be matched to calls.
            self.close()
            self._on_read(self, None)
            return
        self.n_received += len(data)
        try:
            answer = self._read_answer(data, self.call)
        except BadResponse as exc:
            if exc.part:
                self.on_too_long(self, exc.part)
            self._fail(exc)
        else:
            self._on_read(self, None if answer is None else _outcome(answer))

    def _handle_end(self, cause: BrokenStream) -> None:
        if isinstance(cause, EndedStream) and self._reader.ends_with_connection:
            self.is_ending = True
            self._on_read(self, None)
        else:
            self._finish(cause)

    async def confirm_end(self) -> None:
        """Decide whether the end of the connection completes the answer.

        It does if the server has received the whole request. A server that closes its
        socket before resets the connection once more of the request arrives, while one
        that has only ended its own direction goes on reading.
        """
        assert self._stream is not None
        cause: BrokenStream = EndedStream("closed by the peer")
        try:
            await self._stream.wait_acknowledged()
            while self.has_unsent:
                await trio.sleep(ACK_CHECK_S)
                await self._stream.wait_acknowledged()
        except BrokenStream as exc:
            cause = exc
        self._finish(cause)

    def _finish(self, cause: BrokenStream) -> None:
        self.is_ending = False
        self._read_end(cause)
        self._reader.close()

    def _read_end(self, cause: BrokenStream) -> None:
        """Handle the end of the connection, which truncates or completes an answer."""
        self.silent = isinstance(cause, SilentStream)
        if not isinstance(cause, EndedStream) or self.call is None:
            self._fail(cause)
            return
        try:
            answer = self._read_answer(b"", self.call)
        except BadResponse as exc:
            self._fail(exc)
            return
        self.close()
        self._on_read(self, None if answer is None else _outcome(answer))

    def _fail(self, cause: Exception) -> None:
        self.close()
        outcome = MayHaveRun(f"broken answer: {cause}") if self.call else None
        self._on_read(self, outcome)

    def _read_answer(self, data: bytes, call: Call) -> Response | None:
        """Return the answer with the call's identifier, once it is complete.

        Answers to other requests are skipped.

        Parameters
        ----------
        data : bytes
            Received bytes; empty if the connection ended.
        call : Call
            Call that waits for its answer.

        Raises
        ------
        BadResponse
            If an answer is malformed, or the connection ended without the answer.
        """
        answers = self._reader.feed(data) if data else self._reader.end()
        for index, answer in enumerate(answers):
            if not _is_answer_to(answer, call.request_id):
                self._n_skipped += 1
                self.on_skipped(self, answer)
                if self._n_skipped > self._limits.n_skipped:
                    raise BadResponse("too many responses to no request", "skipped")
                if not answer.keep_alive:
                    raise BadResponse("response to no request closes the connection")
                continue
            self.response = answer
            is_last = index == len(answers) - 1 and not self._reader.in_message
            is_clean = is_last and not self._n_skipped
            self._keep_or_close(answer, is_clean and bool(data))
            return answer
        if not data:
            raise BadResponse("the connection ended without an answer")
        if self._reader.is_malformed:
            raise BadResponse("malformed data after an answer to another request")
        return None

    def _keep_or_close(self, answer: Response, clean: bool) -> None:
        """Keep the connection for the next call if it is clean, else close it."""
        is_full = len(self._carried) >= _MAX_CALLS
        if not clean or not answer.keep_alive or self._unsent or is_full:
            self.close()
            return
        self._set_ack_timeout(_ACK_TIMEOUT_MS)
        self.idle_since = self._clock.now()
        if answer.idle_timeout is not None:
            self._max_idle_ms = answer.idle_timeout * _IDLE_TIMEOUT_SHARE

    def _set_ack_timeout(self, wait: Milliseconds) -> None:
        """Set the time after which unacknowledged bytes break the connection."""
        if wait != self._ack_timeout and self._stream is not None:
            self._ack_timeout = wait
            self._stream.set_user_timeout(wait)


def _outcome(answer: Response) -> Outcome:
    if answer.status == MISDIRECTED_REQUEST:
        return NotRun(OTHER_INCARNATION, offered=True)
    if answer.not_run:
        return NotRun(f"backend server refused: {answer.status}", offered=True)
    return Answered(answer.status, answer.reason, answer.headers, answer.body)


def _is_answer_to(answer: Response, request_id: str) -> bool:
    """Whether an answer belongs to a request.

    Servers echo the identifier. A response without one may be additional bytes that
    belong to no request, so it answers only a request without an identifier.
    """
    return answer.request_id == request_id


def _ignore(_: BackendConn, __: Response | Outcome | str | None) -> None:
    """Default callback; does nothing."""
