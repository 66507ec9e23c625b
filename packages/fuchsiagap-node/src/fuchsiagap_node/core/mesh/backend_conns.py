"""Pool of connections to the backend server."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.mesh.backend_conn import MISDIRECTED_REQUEST, BackendConn
from fuchsiagap_node.core.mesh.idle_conns import IdleConns
from fuchsiagap_node.core.mesh.outcome import (
    EXPIRED,
    MayHaveRun,
    NotRun,
    Outcome,
)
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.body_memory import BodyMemory
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_response import Response
    from fuchsiagap_node.core.mesh.pending_call import PendingCall
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.settings import MeshSettings

# Minimum time left until the deadline of a call, in milliseconds, for it to be sent.
MIN_TIME_LEFT_MS = 1.0


class BackendConns:
    """Sends calls to the server and reports their outcomes.

    Parameters
    ----------
    cfg : MeshSettings
        Settings of the node.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log.
    settle : callable
        Called with each call that has ended and its outcome.
    poller : Poller
        Reads the connections.
    memory : BodyMemory
        Memory for the bodies of answers.

    Attributes
    ----------
    on_outcome : callable
        Called with each outcome of a call that was sent, before `settle` is.
    on_response : callable
        Called with a call and the response of the incarnation that it was sent to,
        before `settle` is.
    on_unreachable : callable
        Called with the error when the server accepted no connection.
    is_suspected : callable
        Returns whether the server may have crashed: a call ended without an answer and
        none has been answered since.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        clock: Clock,
        event_log: EventLog,
        settle: Callable[[PendingCall, Outcome], None],
        poller: Poller,
        memory: BodyMemory,
    ) -> None:
        self._memory = memory
        self._poller = poller
        self._all: set[BackendConn] = set()
        self._numbers = itertools.count(1)
        self._cfg = cfg
        self._clock = clock
        self._event_log = event_log
        self._settle = settle
        self._idle = IdleConns()
        self._by_conn: dict[BackendConn, PendingCall] = {}
        self._nursery: trio.Nursery | None = None
        self.on_outcome: Callable[[Outcome], None] = _ignore
        self.on_response: Callable[[PendingCall, Response], None] = _ignore_both
        self.on_unreachable: Callable[[BrokenStream], None] = _ignore
        self.is_suspected: Callable[[], bool] = bool

    def adopt(self, cfg: MeshSettings) -> None:
        """Adopt changed settings."""
        self._cfg = cfg

    @property
    def is_running(self) -> bool:
        """Whether calls can be dispatched."""
        return self._nursery is not None

    async def run(self) -> None:
        """Run the tasks of the connections until cancelled."""
        async with trio.open_nursery() as self._nursery:
            try:
                await trio.sleep_forever()
            finally:
                # Calls that are ended by the shutdown free their slots, but no waiting
                # call may be dispatched then: a closed nursery accepts no tasks.
                self._nursery = None
                for conn in list(self._all):
                    conn.close()

    def dispatch(self, pending: PendingCall) -> None:
        """Send a call on an idle connection, or on a new one."""
        assert self._nursery is not None
        now = self._clock.now()
        conn = self._idle.take(pending.call, now)
        while conn is not None:
            self._assign(conn, pending)
            if conn.send(pending.call, pending.deadline - now):
                self._schedule_send_rest(conn)
                return
            conn = self._idle.take(pending.call, now)
        conn = self._new_conn()
        self._assign(conn, pending)
        self._nursery.start_soon(self._open_and_send, conn, pending)

    def _new_conn(self) -> BackendConn:
        number = next(self._numbers)
        conn = BackendConn(self._cfg, self._clock, self._memory, number)
        conn.on_skipped = self._log_skipped
        conn.on_too_long = self._log_too_long
        return conn

    def release(self, pending: PendingCall) -> None:
        """Dissociate a call from its connection."""
        if pending.conn is not None:
            del self._by_conn[pending.conn]
            pending.conn.response = None
            pending.conn = None

    def log_unanswered(
        self, pending: PendingCall, outcome: NotRun | MayHaveRun
    ) -> None:
        """Write an event for a call that ends without an answer, or is refused."""
        call, conn = pending.call, pending.conn
        response = None if conn is None else conn.response
        self._event_log.event(
            "call-unanswered",
            request=call.request_id,
            instance=call.instance,
            connection=None if conn is None else conn.number,
            calls=None if conn is None else conn.n_carried,
            ran=isinstance(outcome, MayHaveRun),
            cause=outcome.reason,
            identifier=None if response is None else response.request_id,
        )

    def abort(self, pending: PendingCall) -> None:
        """Close the connection of a call, which makes the server drop it."""
        conn = pending.conn
        if conn is not None:
            conn.call = None
            conn.close()

    def close_stale(self, silent: BackendConn) -> None:
        """Close idle connections last used before one that stopped responding."""
        closed = self._idle.close_stale(silent, self._last_used_at(silent))
        self._event_log.event("backend-silent", closed=closed)

    def close_unused(self, late: BackendConn) -> None:
        """Close idle connections last used before one whose answer is overdue."""
        self._idle.close_stale(late, self._last_used_at(late))

    def close_expired(self, now: Milliseconds) -> None:
        """Close idle connections that the server may close at any moment."""
        self._idle.close_expired(now)

    def close_idle(self) -> None:
        """Close all idle connections, as their server is gone."""
        self._idle.close_all()

    def _last_used_at(self, conn: BackendConn) -> Milliseconds:
        pending = self._by_conn.get(conn)
        return conn.idle_since if pending is None else pending.started

    def _assign(self, conn: BackendConn, pending: PendingCall) -> None:
        """Associate a call with a connection, replacing a broken one if any."""
        self.release(pending)
        pending.conn = conn
        self._by_conn[conn] = pending

    def _schedule_send_rest(self, conn: BackendConn) -> None:
        if conn.has_unsent and self._nursery is not None:
            self._nursery.start_soon(conn.send_rest)

    async def _open_and_send(self, conn: BackendConn, pending: PendingCall) -> None:
        """Open a connection, send its first call and register it with the poller."""
        self._all.add(conn)
        try:
            if await self._open(conn, pending):
                conn.read_answers(self._poller, self._handle_read)
                return
        except BrokenStream:
            # Closed from this side while it was being opened.
            pass
        except Exception as exc:
            self._handle_fault(conn, exc)
        self._remove(conn)

    def _handle_fault(self, conn: BackendConn, exc: Exception) -> None:
        """Close a connection after an unexpected exception, and settle its call."""
        self._event_log.log_exception("backend-connection", exc)
        conn.close()
        reason = f"internal error of the node: {type(exc).__name__}"
        self._handle_outcome(conn, MayHaveRun(reason))

    def _remove(self, conn: BackendConn) -> None:
        """Remove a connection that has ended."""
        if conn not in self._all:
            return
        self._all.discard(conn)
        conn.close()
        self._idle.forget(conn)
        self._check_server_up()

    async def _open(self, conn: BackendConn, pending: PendingCall) -> bool:
        """Open a connection and send its first call; return whether both succeeded."""
        try:
            await conn.open()
        except BrokenStream as exc:
            if pending.conn is conn:
                self.on_unreachable(exc)
                self._settle(pending, NotRun(f"no connection: {exc}"))
            return False
        if pending.conn is not conn or conn.closed:
            return False
        left = pending.deadline - self._clock.now()
        if left < MIN_TIME_LEFT_MS:
            self._settle(pending, NotRun(EXPIRED))
            return False
        if not conn.send(pending.call, left):
            self._settle(
                pending, NotRun("connection closed before the call", offered=True)
            )
            return False
        self._schedule_send_rest(conn)
        return True

    def _handle_read(self, conn: BackendConn, outcome: Outcome | None) -> None:
        """Handle a read on a connection, or its end."""
        try:
            if conn.silent:
                self.close_stale(conn)
            if outcome is not None:
                self._handle_outcome(conn, outcome)
            if conn.is_ending and self._nursery is not None:
                self._nursery.start_soon(conn.confirm_end)
        except Exception as exc:
            self._handle_fault(conn, exc)
        if conn.closed:
            self._remove(conn)

    def _handle_outcome(self, conn: BackendConn, outcome: Outcome) -> None:
        """Settle the call of a connection, and keep the connection if it is open."""
        conn.call = None
        pending = self._by_conn.get(conn)
        response = conn.response
        is_from_target = response is not None and response.status != MISDIRECTED_REQUEST
        if pending is not None and response is not None and is_from_target:
            self.on_response(pending, response)
        self.on_outcome(outcome)
        if not conn.closed:
            self._idle.keep(conn)
        if pending is None:
            conn.response = None
        else:
            self._settle(pending, outcome)

    def _log_skipped(self, conn: BackendConn, response: Response) -> None:
        """Write an event for a response that is not the answer to the call."""
        self._event_log.event(
            "response-skipped",
            request=None if conn.call is None else conn.call.request_id,
            connection=conn.number,
            calls=conn.n_carried,
            status=response.status,
            identifier=response.request_id,
            not_run=response.not_run,
        )

    def _log_too_long(self, conn: BackendConn, part: str) -> None:
        """Write an event for a response of which a part exceeds its limit."""
        self._event_log.counts["responses_too_long", part] += 1
        self._event_log.event(
            "response-too-long",
            request=None if conn.call is None else conn.call.request_id,
            connection=conn.number,
            part=part,
            received=conn.n_received,
        )

    def _check_server_up(self) -> None:
        """Probe a suspected server that has no open connection, to detect a crash."""
        is_open = bool(self._by_conn) or len(self._idle) > 0
        if self.is_suspected() and not is_open and self._nursery is not None:
            self._nursery.start_soon(self._probe_server)

    async def _probe_server(self) -> None:
        """Open a connection, and keep it for the next call if the server accepts it."""
        conn = self._new_conn()
        self._all.add(conn)
        try:
            await conn.open()
            if not conn.closed:
                conn.read_answers(self._poller, self._handle_read)
        except BrokenStream as exc:
            self.on_unreachable(exc)
            self._all.discard(conn)
            conn.close()
            return
        if conn.closed:
            self._all.discard(conn)
            return
        conn.idle_since = self._clock.now()
        self._idle.keep(conn)


def _ignore(_: object) -> None:
    """Ignore an outcome or an error."""


def _ignore_both(_: object, __: object) -> None:
    """Ignore a response."""
