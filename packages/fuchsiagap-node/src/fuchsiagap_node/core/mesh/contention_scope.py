"""Condition under which a node controls contention among callers and servers.

Deployments whose configuration has no workspaces and whose backend servers do not state
their present speed are served as in the releases before these controls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.peers import Peers

# Milliseconds between two looks at the servers: the condition is read for each request.
_CHECK_INTERVAL_MS = 250.0
# Milliseconds for which a server that stated its speed counts after it was last
# reachable, so that a node that is cut off does not change its decisions.
_RETENTION_MS = 30_000.0


class ContentionScope:
    """Whether a deployment calls for the control of contention.

    Parameters
    ----------
    peers : Peers
        Backend servers, with the speed that they state.
    clock : Clock
        Time in milliseconds.

    Attributes
    ----------
    has_workspaces : bool
        Whether the active configuration has workspaces.
    """

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._checked_at: Milliseconds = float("-inf")
        self._stated_at: Milliseconds = float("-inf")
        self.has_workspaces = False

    def applies(self) -> bool:
        """Return whether the control of contention is in force at this node."""
        if self.has_workspaces:
            return True
        now = self._clock.now()
        if now - self._checked_at >= _CHECK_INTERVAL_MS:
            self._checked_at = now
            if self._peers.state_speed():
                self._stated_at = now
        return now - self._stated_at < _RETENTION_MS
