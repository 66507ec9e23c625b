"""Pool of idle connections to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.mesh.backend_conn import BackendConn
    from fuchsiagap_node.core.mesh.messages import Call


class IdleConns:
    """Stack of idle connections with the most recently used one on top."""

    def __init__(self) -> None:
        self._conns: list[BackendConn] = []

    def __len__(self) -> int:
        return len(self._conns)

    def keep(self, conn: BackendConn) -> None:
        """Add a connection whose call has ended."""
        self._conns.append(conn)

    def forget(self, conn: BackendConn) -> None:
        """Remove a connection, if it is in the pool."""
        if conn in self._conns:
            self._conns.remove(conn)

    def take(self, call: Call, now: Milliseconds) -> BackendConn | None:
        """Remove and return the most recently used connection that may carry a call.

        Connections that have carried a call with the same identifier are skipped.
        Those found to have ended or to have unread data are closed.
        """
        conns = self._conns
        index = len(conns) - 1
        while index >= 0 and conns[index].may_carry(call.idempotent, now):
            if not conns[index].has_carried(call.request_id):
                conn = conns.pop(index)
                if conn.is_reusable():
                    return conn
                conn.close()
            index -= 1
        return None

    def close_expired(self, now: Milliseconds) -> None:
        """Close connections that the server may close at any moment."""
        self._close([conn for conn in self._conns if conn.is_expired(now)])

    def close_stale(self, silent: BackendConn, since: Milliseconds) -> int:
        """Close the connections last used before one that stopped responding.

        Connections go dead together, for instance when a middlebox drops their state.
        Those last used before it are closed, so that no call is lost on each of them.

        Parameters
        ----------
        silent : BackendConn
            Connection that stopped responding.
        since : float
            Local time in milliseconds of its last use.

        Returns
        -------
        int
            Number of closed connections.
        """
        older = [c for c in self._conns if c is not silent and c.idle_since <= since]
        self._close(older)
        return len(older)

    def close_all(self) -> None:
        """Close every connection, as their server is gone."""
        self._close(list(self._conns))

    def _close(self, conns: list[BackendConn]) -> None:
        for conn in conns:
            self._conns.remove(conn)
            conn.close()
