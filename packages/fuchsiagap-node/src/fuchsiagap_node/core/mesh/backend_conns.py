"""The connections to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.mesh.backend_conn import BackendConn
from fuchsiagap_node.core.mesh.idle_conns import IdleConns
from fuchsiagap_node.core.mesh.outcome import EXPIRED, MayHaveRun, NotRun, Outcome
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.job import Job
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.settings import MeshSettings

# Milliseconds that must be left for a call to be worth handing over.
LEAST_LEFT_MS = 1.0


class BackendConns:
    """Hands calls to the server and says what became of them.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs.
    settle : callable
        Called with each call that has ended, and its outcome.
    poller : Poller
        Watches the connections.

    Attributes
    ----------
    on_outcome : callable
        Called with what the server said, or that it broke off, before `settle` is.
    on_unreachable : callable
        Called with why the server accepted no connection.
    is_doubted : callable
        Returns whether a call ended unanswered and no other was answered since.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        clock: Clock,
        event_log: EventLog,
        settle: Callable[[Job, Outcome], None],
        poller: Poller,
    ) -> None:
        self._poller = poller
        self._all: set[BackendConn] = set()
        self._cfg = cfg
        self._clock = clock
        self._event_log = event_log
        self._settle = settle
        self._idle = IdleConns()
        self._carried: dict[BackendConn, Job] = {}
        self._nursery: trio.Nursery | None = None
        self.on_outcome: Callable[[Outcome], None] = _ignore
        self.on_unreachable: Callable[[BrokenStream], None] = _ignore
        self.is_doubted: Callable[[], bool] = bool

    def adopt(self, cfg: MeshSettings) -> None:
        """Go on under changed settings."""
        self._cfg = cfg

    @property
    def is_running(self) -> bool:
        """Whether calls can be handed over."""
        return self._nursery is not None

    async def run(self) -> None:
        """Hold the tasks of the connections until cancelled."""
        async with trio.open_nursery() as self._nursery:
            try:
                await trio.sleep_forever()
            finally:
                # Calls that end with the node give their places to none: a nursery
                # that is closed takes no tasks.
                self._nursery = None
                for conn in list(self._all):
                    conn.close()

    def dispatch(self, job: Job) -> None:
        """Send a call on an idle connection, or on a new one."""
        assert self._nursery is not None
        now = self._clock.now()
        conn = self._idle.take(job.call.idempotent, now)
        while conn is not None:
            self._carry(conn, job)
            if conn.send(job.call, job.deadline - now):
                self._push_rest(conn)
                return
            conn = self._idle.take(job.call.idempotent, now)
        conn = BackendConn(self._cfg, self._clock)
        self._carry(conn, job)
        self._nursery.start_soon(self._begin, conn, job)

    def release(self, job: Job) -> None:
        """Forget which connection carries a call."""
        if job.conn is not None:
            del self._carried[job.conn]
            job.conn = None

    def break_off(self, job: Job) -> None:
        """Close the connection of a call, which tells the server to drop it."""
        conn = job.conn
        if conn is not None:
            conn.call = None
            conn.close()

    def close_older(self, silent: BackendConn) -> None:
        """Close the idle connections that share the fate of one that fell silent."""
        closed = self._idle.close_older(silent, self._used_since(silent))
        self._event_log.event("backend-silent", closed=closed)

    def give_up_unused(self, late: BackendConn) -> None:
        """Close idle connections that are no better than one without an answer."""
        self._idle.close_older(late, self._used_since(late))

    def close_outlived(self, now: Milliseconds) -> None:
        """Close the connections that the server may close at any moment."""
        self._idle.close_outlived(now)

    def close_idle(self) -> None:
        """Close all that carry no call: the server at their other end is no more."""
        self._idle.close_all()

    def _used_since(self, conn: BackendConn) -> Milliseconds:
        job = self._carried.get(conn)
        return conn.idle_since if job is None else job.started

    def _carry(self, conn: BackendConn, job: Job) -> None:
        """Note which connection carries a call; one that broke carries none."""
        self.release(job)
        job.conn = conn
        self._carried[conn] = job

    def _push_rest(self, conn: BackendConn) -> None:
        if conn.has_unsent and self._nursery is not None:
            self._nursery.start_soon(conn.push)

    async def _begin(self, conn: BackendConn, job: Job) -> None:
        """Open a connection and send its first call; then it is read by functions."""
        self._all.add(conn)
        try:
            if await self._open(conn, job):
                conn.listen(self._poller, self._take_read)
                return
        except BrokenStream:
            # Closed by this end while it was opened.
            pass
        except Exception as exc:
            self._fail(conn, exc)
        self._forget(conn)

    def _fail(self, conn: BackendConn, exc: Exception) -> None:
        """End a connection on which an exception came that nobody expected."""
        self._event_log.log_exception("backend-connection", exc)
        conn.close()
        why = f"fault of the node: {type(exc).__name__}"
        self._take_outcome(conn, MayHaveRun(why))

    def _forget(self, conn: BackendConn) -> None:
        """Forget a connection that has ended."""
        if conn not in self._all:
            return
        self._all.discard(conn)
        conn.close()
        self._idle.forget(conn)
        self._check_server()

    async def _open(self, conn: BackendConn, job: Job) -> bool:
        """Open a connection and send its first call; False if that failed."""
        try:
            await conn.open()
        except BrokenStream as exc:
            if job.conn is conn:
                self.on_unreachable(exc)
                self._settle(job, NotRun(f"no connection: {exc}"))
            return False
        if job.conn is not conn or conn.closed:
            return False
        left = job.deadline - self._clock.now()
        if left < LEAST_LEFT_MS:
            self._settle(job, NotRun(EXPIRED))
            return False
        if not conn.send(job.call, left):
            self._settle(job, NotRun("closed at once", offered=True))
            return False
        self._push_rest(conn)
        return True

    def _take_read(self, conn: BackendConn, outcome: Outcome | None) -> None:
        """Take what came on a connection."""
        try:
            if conn.silent:
                self.close_older(conn)
            if outcome is not None:
                self._take_outcome(conn, outcome)
        except Exception as exc:
            self._fail(conn, exc)
        if conn.closed:
            self._forget(conn)

    def _take_outcome(self, conn: BackendConn, outcome: Outcome) -> None:
        """Settle the call of a connection, and keep the connection if it is whole."""
        conn.call = None
        job = self._carried.get(conn)
        self.on_outcome(outcome)
        if not conn.closed:
            self._idle.keep(conn)
        if job is not None:
            self._settle(job, outcome)

    def _check_server(self) -> None:
        """Dial a server that has closed all connections: a crash is known at once."""
        is_open = bool(self._carried) or len(self._idle) > 0
        if self.is_doubted() and not is_open and self._nursery is not None:
            self._nursery.start_soon(self._dial_to_check)

    async def _dial_to_check(self) -> None:
        """Open a connection; keep it for the next call if the server takes it."""
        conn = BackendConn(self._cfg, self._clock)
        self._all.add(conn)
        try:
            await conn.open()
            if not conn.closed:
                conn.listen(self._poller, self._take_read)
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
    """Do nothing."""
