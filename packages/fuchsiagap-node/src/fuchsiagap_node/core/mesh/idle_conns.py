"""Connections to the backend server that carry no call now."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.mesh.backend_conn import BackendConn


class IdleConns:
    """Keeps idle connections, the one used last on top."""

    def __init__(self) -> None:
        self._conns: list[BackendConn] = []

    def __len__(self) -> int:
        return len(self._conns)

    def keep(self, conn: BackendConn) -> None:
        """Keep a connection whose call has ended."""
        self._conns.append(conn)

    def forget(self, conn: BackendConn) -> None:
        """Keep a connection no more, if it is kept."""
        if conn in self._conns:
            self._conns.remove(conn)

    def take(self, idempotent: bool, now: Milliseconds) -> BackendConn | None:
        """Take out the connection that was used last, if it may carry a call."""
        conns = self._conns
        while conns and conns[-1].is_fit(idempotent, now):
            conn = conns.pop()
            if conn.is_reusable():
                return conn
            conn.close()
        return None

    def close_outlived(self, now: Milliseconds) -> None:
        """Close the connections that the server may close at any moment."""
        self._close([conn for conn in self._conns if conn.outlived(now)])

    def close_older(self, silent: BackendConn, since: Milliseconds) -> int:
        """Close the connections that were not heard on since one fell silent.

        Connections fall silent together, as where a device on the way forgets them: one
        that did says that those unused since are no better, before each costs a call.

        Returns
        -------
        int
            How many were closed.
        """
        older = [c for c in self._conns if c is not silent and c.idle_since <= since]
        self._close(older)
        return len(older)

    def close_all(self) -> None:
        """Close every connection: the server at their other end is no more."""
        self._close(list(self._conns))

    def _close(self, conns: list[BackendConn]) -> None:
        for conn in conns:
            self._conns.remove(conn)
            conn.close()
