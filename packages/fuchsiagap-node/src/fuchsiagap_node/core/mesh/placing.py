"""What the requests of one entry node share while they are placed."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Protocol

from fuchsiagap.core.placement.choice import choose, remote_penalty
from fuchsiagap.core.pressure.served import ServedShares
from fuchsiagap.core.retries.shares import N_LOTS

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.crash_reports import CrashReports
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.peers import Peer, Peers
    from fuchsiagap_node.core.mesh.pressures import Pressures
    from fuchsiagap_node.core.mesh.settings import MeshSettings

# Weight of one request in the mean size of those of a route: about the last 20 count.
_BYTES_WEIGHT = 0.05


class InProgress(Protocol):
    """A request without a final answer, as time sees it."""

    wakes_at: Milliseconds

    def wake(self) -> None:
        """Do what is due from `wakes_at` on."""


class Placing:
    """Doors, budgets and time of the requests that are being placed.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    peers : Peers
        Doors of the backend servers.
    pressures : Pressures
        Told the fullness that replies carry.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Breaks ties.
    event_log : EventLog
        Logs and counters.
    reports : CrashReports
        Says which requests may be sent to servers.

    Attributes
    ----------
    in_progress : dict of InProgress to None
        Requests without a final answer.
    served : ServedShares
        What the callers of this node got.
    caller_line : bytes
        Header line that names the service on whose host requests begin here.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        peers: Peers,
        pressures: Pressures,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
        reports: CrashReports,
    ) -> None:
        self._rng = rng
        self._bytes: dict[str, float] = {}
        self._ids = count(1)
        self.peers = peers
        self.pressures = pressures
        self.clock = clock
        self.event_log = event_log
        self.in_progress: dict[InProgress, None] = {}
        self.served = ServedShares()
        self.reports = reports
        self.caller_line = b"%s: %s\r\n" % (cfg.names.caller, cfg.service.encode())
        self.target_name = cfg.names.target
        self._workspace_name = cfg.names.workspace

    def workspace_line(self, workspace: Workspace | None) -> bytes:
        """Return the header line that names whose request it is; empty for nobody's."""
        if workspace is None:
            return b""
        return b"%s: %s\r\n" % (self._workspace_name, workspace.name.encode())

    def look(self) -> None:
        """Let requests look at the time: at overdue replies, and for servers."""
        now = self.clock.now()
        for placement in [p for p in self.in_progress if p.wakes_at <= now]:
            placement.wake()

    def choose(
        self,
        service: str,
        route: str,
        tried: Sequence[str],
        only: Collection[str] | None = None,
    ) -> Peer | None:
        """Return the door for a request's next try; None while there is none.

        Parameters
        ----------
        service, route : str
            Service and route of the request.
        tried : sequence of str
            Incarnations that it has been sent to, in order.
        only : collection of str, optional
            Incarnations that it may still be sent to; by default all.
        """
        self.peers.want(service, self.clock.now())
        targets = self.peers.targets(service)
        if only is not None:
            targets = [target for target in targets if target.instance in only]
        penalty = remote_penalty(self._bytes.get(route, 0.0))
        target = choose(targets, tried, self._rng, penalty)
        if target is None and tried:
            target = choose(targets, tried[-1:], self._rng, penalty)
        if target is None and only is not None:
            target = choose(targets, (), self._rng, penalty)
        return None if target is None else self.peers.get(target.node)

    def note_bytes(self, route: str, n_bytes: int) -> None:
        """Learn how many bytes a request of a route and its answer take."""
        known = self._bytes.get(route, float(n_bytes))
        self._bytes[route] = known + (n_bytes - known) * _BYTES_WEIGHT

    def next_id(self) -> int:
        """Return a number for a call, unique in this process."""
        return next(self._ids)

    def draw_lot(self) -> int:
        """Draw the lot of a tree, which decides whether its calls are repeated."""
        return self._rng.randrange(N_LOTS)
