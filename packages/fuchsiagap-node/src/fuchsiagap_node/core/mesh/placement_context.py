"""State that the requests of one entry node share while they are placed."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Protocol

from fuchsiagap.core.placement.choice import choose, remote_penalty
from fuchsiagap.core.placement.limit_probes import LimitProbes
from fuchsiagap.core.retries.tree_coverage import ALL_ADMITTED, CoveredAdmission
from fuchsiagap.core.shedding.served import ServedShares
from fuchsiagap_node.core.mesh.body_memory import BodySizes

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Mapping, Sequence

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.placement.choice import Target
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.crash_reports import CrashReports
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.peers import Peer, Peers
    from fuchsiagap_node.core.mesh.planned_stop import PlannedStop
    from fuchsiagap_node.core.mesh.route_coverage import RouteCoverage
    from fuchsiagap_node.core.mesh.route_loads import RouteLoads
    from fuchsiagap_node.core.mesh.settings import MeshSettings


class InProgress(Protocol):
    """A request without a final response, which is woken when a timer is due."""

    wakes_at: Milliseconds

    @property
    def route_name(self) -> str:
        """Name of the route of the request."""

    @property
    def started(self) -> Milliseconds:
        """Local time in milliseconds at which the node had the request."""

    def wake(self) -> None:
        """Handle the timer that is due at `wakes_at`."""


class PlacementContext:
    """Peers, loads and timers of the requests that are being placed.

    Parameters
    ----------
    cfg : MeshSettings
        Settings of the node.
    peers : Peers
        Nodes to which calls can be sent, with their backend servers.
    route_loads : RouteLoads
        Updated with the load summaries in replies.
    coverage : RouteCoverage
        Updated with the coverage of call trees in replies.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Breaks ties between servers, and draws sampling keys for retries.
    event_log : EventLog
        Event log and counters.
    reports : CrashReports
        Quarantine of requests that crash servers.
    planned_stop : PlannedStop
        Decides what may begin while the process stops.

    Attributes
    ----------
    in_progress : dict of InProgress to None
        Requests without a final response.
    sizes : BodySizes
        Sizes of the requests of this node's callers and of their responses, by route.
    served : ServedShares
        Shares of the requests of this node's callers that succeeded, by route.
    probe_rates : callable
        Returns the rates at which servers that name a limit may be probed.
    n_senders : callable
        Returns the number of nodes that may send requests to a server.
    caller_line : bytes
        Header line that names the service of this host as the caller.
    target_name : bytes
        Name of the header that states the incarnation a request is sent to.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        peers: Peers,
        route_loads: RouteLoads,
        coverage: RouteCoverage,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
        reports: CrashReports,
        planned_stop: PlannedStop,
    ) -> None:
        self.planned_stop = planned_stop
        self._rng = rng
        self.sizes = BodySizes()
        self._ids = count(1)
        self.peers = peers
        self.route_loads = route_loads
        self.coverage = coverage
        self.clock = clock
        self.event_log = event_log
        self.in_progress: dict[InProgress, None] = {}
        self.served = ServedShares()
        self._limit_probes = LimitProbes(rng)
        self.probe_rates: Callable[[], Mapping[str, float]] = dict
        self.n_senders: Callable[[], int] = int
        self.reports = reports
        self.caller_line = b"%s: %s\r\n" % (cfg.names.caller, cfg.service.encode())
        self.target_name = cfg.names.target
        self._workspace_name = cfg.names.workspace

    def workspace_line(self, workspace: Workspace | None) -> bytes:
        """Return the header line that names the workspace; empty if there is none."""
        if workspace is None:
            return b""
        return b"%s: %s\r\n" % (self._workspace_name, workspace.name.encode())

    def tick(self) -> None:
        """Wake the requests whose timers are due."""
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
        """Return the peer for the next attempt of a request; None if none is usable.

        If all usable servers have been tried, only the last one tried is avoided. If
        `only` leaves no other server than that, it is used again.

        Parameters
        ----------
        service : str
            Service of the request.
        route : str
            Route of the request.
        tried : sequence of str
            Incarnations to which it has been sent, in order.
        only : collection of str, optional
            Incarnations to which it may still be sent; by default all.
        """
        self.peers.mark_requested(service, self.clock.now())
        targets = self.peers.targets(service)
        if only is not None:
            targets = [target for target in targets if target.instance in only]
        penalty = remote_penalty(self.sizes.expected(route))
        target = None if tried or only is not None else self._choose_probe(targets)
        if target is None:
            target = choose(targets, tried, self._rng, penalty)
        if target is None and tried:
            target = choose(targets, tried[-1:], self._rng, penalty)
        if target is None and only is not None:
            target = choose(targets, (), self._rng, penalty)
        return None if target is None else self.peers.get(target.node)

    def _choose_probe(self, targets: Sequence[Target]) -> Target | None:
        """Return a server that is due for a probe of its limit, if any."""
        rates = self.probe_rates()
        if not rates:
            return None
        now = self.clock.now()
        return self._limit_probes.choose(targets, rates, self.n_senders(), now)

    def next_id(self) -> int:
        """Return a call number that is unique in this process."""
        return next(self._ids)

    def draw_sampling_key(self, admission: CoveredAdmission = ALL_ADMITTED) -> int:
        """Draw the sampling key of a call tree.

        Where the retry budget does not cover all call trees, those with the smallest
        keys are retried.

        Parameters
        ----------
        admission : CoveredAdmission, default=ALL_ADMITTED
            Keys from which it is drawn.
        """
        return admission.sampling_key(self._rng.randrange)
