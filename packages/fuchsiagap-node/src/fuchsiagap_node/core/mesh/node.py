"""Node process: assembles all components, and runs them until the planned stop."""

from __future__ import annotations

import gc
import itertools
import random
import re
import secrets
import signal
from dataclasses import asdict, fields, replace
from functools import partial
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.backend_queue.incarnation import BackendReport, BackendState
from fuchsiagap.core.build_info import build_info
from fuchsiagap.core.clock import MS_PER_S, trio_clock
from fuchsiagap.core.routes.table import RouteTable, WeightedRoundRobin
from fuchsiagap_node.core.mesh import poller
from fuchsiagap_node.core.mesh.admission import STEP_MS, Admission
from fuchsiagap_node.core.mesh.auxiliary_http import serve_auxiliary
from fuchsiagap_node.core.mesh.backend_queue import BackendQueue
from fuchsiagap_node.core.mesh.body_memory import BodyMemory, body_limit
from fuchsiagap_node.core.mesh.callers import IDLE_CHECK_INTERVAL_MS, CallerListener
from fuchsiagap_node.core.mesh.config_sync import REFRESH_MS as CONFIG_REFRESH_MS
from fuchsiagap_node.core.mesh.config_sync import ConfigSync
from fuchsiagap_node.core.mesh.contention_scope import ContentionScope
from fuchsiagap_node.core.mesh.crash_reports import FLUSH_MS as CRASH_REPORT_FLUSH_MS
from fuchsiagap_node.core.mesh.entry import Entry
from fuchsiagap_node.core.mesh.event_log import FLUSH_MS, EventLog
from fuchsiagap_node.core.mesh.final_response import FinalResponse
from fuchsiagap_node.core.mesh.gauges import (
    admission_gauges,
    backend_gauges,
    build_gauges,
    config_gauges,
    coverage_gauges,
    departure_gauges,
    memory_gauges,
    peer_gauges,
    quarantine_gauges,
    workspace_gauges,
    workspace_share_gauges,
)
from fuchsiagap_node.core.mesh.inbound_links import InboundLinks
from fuchsiagap_node.core.mesh.load_event import load_fields
from fuchsiagap_node.core.mesh.local_peer import LocalPeer
from fuchsiagap_node.core.mesh.local_status import LocalStatus
from fuchsiagap_node.core.mesh.malformed_input import MalformedInput
from fuchsiagap_node.core.mesh.member_sync import MemberSync
from fuchsiagap_node.core.mesh.message_level import with_level
from fuchsiagap_node.core.mesh.messages import Hello
from fuchsiagap_node.core.mesh.outbound_link import (
    LIVENESS_CHECK_INTERVAL_MS as LINK_CHECK_INTERVAL_MS,
)
from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink
from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks
from fuchsiagap_node.core.mesh.outcome import LEAVING
from fuchsiagap_node.core.mesh.peers import Peers
from fuchsiagap_node.core.mesh.placement_context import PlacementContext
from fuchsiagap_node.core.mesh.planned_stop import PlannedStop
from fuchsiagap_node.core.mesh.route_coverage import STEP_MS as COVERAGE_STEP_MS
from fuchsiagap_node.core.mesh.route_coverage import RouteCoverage
from fuchsiagap_node.core.mesh.route_loads import RouteLoads
from fuchsiagap_node.core.mesh.server_departures import ServerDepartures
from fuchsiagap_node.core.mesh.stream import accept_all, accept_each, listen
from fuchsiagap_node.core.mesh.suspension_watch import SuspensionWatch
from fuchsiagap_node.core.mesh.ticker import TICK_MS, Ticker
from fuchsiagap_node.core.mesh.workspace_admission import TICK_MS as SHARES_TICK_MS
from fuchsiagap_node.core.mesh.workspace_admission import WorkspaceAdmission
from fuchsiagap_node.core.mesh.workspaces import Workspaces

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from fuchsiagap.core.backend_queue.departures import Departure
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.crash_reports import Post
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.store import Store, StoredConfig

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Milliseconds between two checks whether the status of the backend queue has changed
# enough to be sent.
_STATUS_INTERVAL_MS = 250.0
# Milliseconds between two load events: the effects of overload on a server or an entry
# last for seconds, and a node writes about ten other lines per second.
_LOAD_EVENT_INTERVAL_MS = 1_000.0
# Milliseconds between two updates of the set of links to other nodes.
_UPDATE_LINKS_INTERVAL_MS = 1_000.0
# Milliseconds after SIGTERM for which callers still send requests here: the platform
# checks readiness once per second and removes a node after two failed checks.
_READINESS_PROPAGATION_MS = 2_500.0
# Milliseconds between two checks during a stop whether work is still in progress.
_STOP_POLL_INTERVAL_MS = 50.0
# Milliseconds between two checks of the settings file: well below the 2 s within which
# a change of configuration has to take effect.
_SETTINGS_CHECK_INTERVAL_MS = 1_000.0
# Milliseconds after its start for which a node waits for another node to send the
# quarantined requests before it sends requests of its own callers to its local backend
# server. Meanwhile, other nodes, which have the quarantine state, use that server.
_SNAPSHOT_WAIT_MS = 1_000.0
# Path of a health check that can be sent in a request line.
_HEALTH_PATH = re.compile(r"/[!-~]*", re.ASCII)
# Milliseconds before a background task that failed is restarted.
_RESTART_DELAY_MS = 500.0
# Allocations between two garbage collections of the youngest generation. The request
# path creates few reference cycles, so that fewer collections suffice.
_GC_YOUNG_THRESHOLD = 20_000


class Node:
    """Node of a deployment.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    store : Store
        Configuration store of the platform.
    read_report : callable
        Parses a report that a backend server sent to the reports address.
    clock : Clock, optional
        Clock of the process; by default that of the running event loop.
    reload : callable, optional
        Returns the current settings, or an error message if they are invalid.
    rng : random.Random, optional
        Breaks ties, and spreads actions that nodes would otherwise take at the same
        time; by default unseeded.
    uptime : float, default=0
        Milliseconds for which the process has been running.

    Attributes
    ----------
    cfg : MeshSettings
        Active settings.
    event_log : EventLog
        Event log and metrics.
    backend_queue : BackendQueue
        Queue of the local backend server.
    entry : Entry
        Handles the requests of callers.
    reports : CrashReports
        Reports of requests that crash backend servers.
    body_memory : BodyMemory
        Memory for bodies of requests and responses.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        store: Store,
        read_report: Callable[[Request], BackendReport | MalformedInput],
        clock: Clock | None = None,
        reload: Callable[[], MeshSettings | str] | None = None,
        rng: random.Random | None = None,
        uptime: Milliseconds = 0.0,
    ) -> None:
        clock = clock or trio_clock()
        rng = rng or random.Random()
        self._start_ms = uptime
        self.cfg = cfg
        self._clock = clock
        self._read_report = read_report
        self._reload = reload
        self.event_log = event_log = EventLog(cfg.node, clock)
        self._poller = poller.make_poller()
        self._poller.on_fault = partial(event_log.log_exception, "connection")
        self._planned_stop = PlannedStop(clock)
        self.body_memory = BodyMemory(body_limit(cfg.memory_bytes))
        self.backend_queue = BackendQueue(
            cfg,
            clock,
            event_log,
            rng,
            self._poller,
            self.body_memory,
            self._planned_stop,
            uptime,
        )
        self._peers = Peers()
        self._contention_scope = ContentionScope(self._peers, clock)
        self.backend_queue.controls_contention = self._contention_scope.applies
        self._route_loads = RouteLoads(self._peers, clock)
        downstream_fullness = self._route_loads.downstream_fullness
        self._coverage = RouteCoverage(
            self._contention_scope,
            self._peers,
            lambda: self.cfg.budget.ratio,
            self._route_loads,
            clock,
            event_log,
        )
        self._local_peer = LocalPeer(
            cfg.node,
            cfg.service,
            self.backend_queue,
            clock,
            downstream_fullness,
            self._coverage.downstream_keys,
        )
        self._peers.put(self._local_peer)
        self.reports = self.backend_queue.reports
        self._placement_context = PlacementContext(
            cfg,
            self._peers,
            self._route_loads,
            self._coverage,
            clock,
            rng,
            event_log,
            self.reports,
            self._planned_stop,
        )
        self._admission = Admission(
            self._route_loads,
            self._placement_context.served,
            clock,
            rng,
            event_log,
            self._contention_scope.applies,
            has_restarted=not cfg.first_start,
        )
        self._workspace_admission = WorkspaceAdmission(
            self._contention_scope, clock, event_log
        )
        self._rotation = WeightedRoundRobin()
        own = Member(
            cfg.node,
            with_level(secrets.token_hex(6)),
            cfg.addresses.peers,
            cfg.data_centre,
            cfg.service,
        )
        self._config = ConfigSync(
            store,
            clock,
            event_log,
            self._adopt,
            own,
            lambda: self._links,
            rng,
            cfg.first_start,
            cfg.bounds,
        )
        self._workspaces = Workspaces(
            cfg, own, self._config, lambda: self._links, clock, rng, event_log
        )
        self.entry = Entry(
            self._placement_context,
            self._route_loads,
            self._admission,
            self._rotation,
            event_log,
            self._workspaces.authenticator,
            self._workspaces.quotas,
            self._workspace_admission,
        )
        self.entry.memory = self.body_memory
        self._callers = CallerListener(
            cfg, self.entry, clock, event_log, self._poller, self.body_memory
        )
        self.entry.parent_of = self.backend_queue.parent_of
        self._config.changed = self._send_status
        hello = Hello(
            own.node, own.incarnation, own.address, own.data_centre, own.service
        )
        self._links = OutboundLinks(
            own, hello, self._peers, clock, event_log, self._poller
        )
        self._links.on_link = self._prepare_link
        self._local_status = LocalStatus(self.backend_queue, self._config)
        self.backend_queue.retry_budget.n_replicas = lambda: (
            self._links.n_known_nodes(cfg.service) + 1
        )
        self._members = MemberSync(own, self._links, store, cfg, clock, rng, event_log)
        self._config.on_store_restored = self._members.handle_store_restored
        self._settings_error = ""
        self._leaving = False
        self._snapshot_wait_over = False
        self._snapshot_deadline = clock.now() + _SNAPSHOT_WAIT_MS
        self._inbound = InboundLinks(
            hello,
            self.backend_queue,
            self._local_status.now,
            clock,
            event_log,
            self._poller,
        )
        self._inbound.body_memory = self.body_memory
        self._inbound.on_hello = self._links.handle_hello
        self._inbound.config_text = self._config.active.text
        self._inbound.downstream_fullness = downstream_fullness
        self._inbound.downstream_keys = self._coverage.downstream_keys
        self._workspaces.prepare_inbound(self._inbound)
        self._inbound.on_report = self.reports.handle
        notices = self.backend_queue.notices
        self._placement_context.probe_rates = notices.probe_rates
        self._placement_context.n_senders = lambda: sum(1 for _ in self._links) + 1
        self._inbound.on_notice = notices.handle_report
        self._inbound.send_snapshot = self._send_snapshot
        self._departures = departures = ServerDepartures(cfg.node, event_log)
        departures.local_instance = self.backend_queue.known_instance
        departures.on_restored = self.backend_queue.restore_departure
        departures.on_changed = self._members.store_departures
        self._members.on_departures = self._restore_departures
        confirmation = self.backend_queue.confirmation
        confirmation.is_first_process = cfg.first_start
        confirmation.knows_departures = cfg.first_start
        self.backend_queue.on_departure = departures.announce
        self._inbound.on_departure = departures.handle_departure
        self._inbound.on_departure_receipt = departures.handle_receipt
        self.reports.peers = notices.posts = departures.posts = self._post_functions
        self.backend_queue.changed = self._send_status
        self._ticker = Ticker(clock, event_log)
        for interval, do in (
            (TICK_MS, self.backend_queue.tick),
            (TICK_MS, self._placement_context.tick),
            (STEP_MS, self._admission.step),
            (COVERAGE_STEP_MS, self._coverage.step),
            (SHARES_TICK_MS, self._workspace_admission.tick),
            (_STATUS_INTERVAL_MS, self._send_status),
            (_LOAD_EVENT_INTERVAL_MS, self._log_load),
            (LINK_CHECK_INTERVAL_MS, self._links.check_liveness),
            (_UPDATE_LINKS_INTERVAL_MS, self._links.update_links),
            (CONFIG_REFRESH_MS, self._config.refresh),
            (IDLE_CHECK_INTERVAL_MS, self._callers.close_timed_out),
            (CRASH_REPORT_FLUSH_MS, self.reports.flush),
            (_SETTINGS_CHECK_INTERVAL_MS, self.check_settings),
        ):
            self._ticker.every(interval, do)
        self._workspaces.schedule(self._ticker)

    def _prepare_link(self, link: OutboundLink) -> None:
        link.body_memory = self.body_memory
        link.on_status = self._handle_peer_status
        link.on_config = lambda text: self._config.adopt_text(text, link.member.node)
        link.on_report = self.reports.handle
        link.inbound_received_at = partial(
            self._inbound.last_received_at, link.member.node
        )
        self._workspaces.prepare_link(link)
        notices = self.backend_queue.notices
        link.on_notice = notices.handle_report
        link.on_departure = self._departures.handle_departure
        link.on_departure_receipt = partial(
            self._departures.handle_receipt, sender=link.member.node
        )
        link.send_snapshot = partial(self._send_snapshot, node=link.member.node)

    def _send_snapshot(self, post: Post, node: str) -> None:
        """Send a newly linked node what it may have missed or forgotten."""
        notices = self.backend_queue.notices
        notices.send_own(post)
        notices.send_remembered(node, post)
        self._departures.send_snapshot(node, post)
        self.reports.send_snapshot(post)

    def _restore_departures(self, departures: Sequence[Departure]) -> None:
        """Apply the departures that an earlier process of this node has stored."""
        for departure in departures:
            self._departures.restore(departure, "store")
        if not self.backend_queue.confirmation.knows_departures:
            self.backend_queue.confirmation.knows_departures = True
            self._send_status()

    def _handle_peer_status(self, link: OutboundLink) -> None:
        """Process the status of another node and of its backend server."""
        self._config.handle_peer_status(link)
        target = link.target
        self.reports.resolve_server(target.node, target.service, target.instance)
        if target.instance:
            self.backend_queue.notices.forget_earlier(target.node, target.instance)
        if not self._snapshot_wait_over:
            self._snapshot_wait_over = True
            self._send_status()

    def close_links(self) -> None:
        """Close all links in both directions."""
        self._links.close_all()
        self._inbound.close_all()

    def _handle_suspension(self, suspended: Milliseconds) -> None:
        """Reopen all links after a suspension of the host.

        Unread data was sent before or during the suspension, at an unknown time.
        Therefore statuses, configurations and calls on links are dropped with the
        links, and callers are assumed to have waited for the whole suspension. This
        method runs before any other task resumes.
        """
        self.event_log.event("resumed", suspended=round(suspended))
        self.close_links()
        self._callers.record_suspension(suspended)
        self._snapshot_wait_over = False
        self._snapshot_deadline = self._clock.now() + _SNAPSHOT_WAIT_MS
        self._send_status()

    def _post_functions(self) -> dict[str, Post]:
        """Return the send function of each node linked in either direction."""
        posts = dict(self._inbound.posts())
        posts.update(
            (link.member.node, link.post) for link in self._links if link.is_open()
        )
        return posts

    def _adopt(self, stored: StoredConfig) -> None:
        """Activate a configuration."""
        self.entry.table = table = RouteTable(stored.config)
        self._contention_scope.has_workspaces = table.keys is not None
        self._rotation.adopt(stored.config)
        names = {route.name for route in stored.config.routes}
        self._planned_stop.route_times.retain(names)
        self._planned_stop.server_times.retain(names)
        self._placement_context.sizes.retain(names)
        self._inbound.sizes.retain(names)
        self._callers.limits = stored.config.limits
        self._workspaces.adopt(stored.config)
        service = stored.config.services.get(self.cfg.service)
        health_path = "" if service is None else service.health_path
        is_valid = _HEALTH_PATH.fullmatch(health_path) is not None
        self.backend_queue.notices.health_path = health_path if is_valid else ""
        self._send_status()

    def _send_status(self) -> None:
        status = self._local_status.now()
        if not self._snapshot_wait_over:
            # The local backend server gets no requests of callers on this host yet,
            # because these may be quarantined on all other nodes.
            self._snapshot_wait_over = self._clock.now() >= self._snapshot_deadline
            status = replace(status, instance="")
        self._local_peer.apply_status(status)
        self._inbound.send_status()

    def _log_load(self) -> None:
        """Write an event with the load, the admitted shares and their inputs.

        All values are written at the same time. Only then do they show whether slots
        are empty while requests are refused, whether entries agree, and whether the
        load that entries assume is the load that servers report.
        """
        fields = load_fields(
            self.backend_queue,
            self._route_loads,
            self._admission,
            self._placement_context.served,
            self._clock.now(),
        )
        if fields:
            self.event_log.event("load", **fields)

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and stop."""
        gc.set_threshold(_GC_YOUNG_THRESHOLD, 20, 50)
        gc.freeze()
        # The receiver stays open until the end: a signal without a receiver terminates
        # the process immediately, also during a planned stop.
        with trio.open_signal_receiver(*_SIGNALS) as signals:
            async with trio.open_nursery() as nursery:
                self.event_log.set_non_blocking()
                self._ticker.every(FLUSH_MS, self.event_log.flush)
                stop_requested = trio.Event()
                nursery.start_soon(self._handle_signals, signals, stop_requested)
                nursery.start_soon(self.serve)
                await stop_requested.wait()
                await self.stop()
                nursery.cancel_scope.cancel()
            self.event_log.event("stopped")
            self.event_log.flush()

    async def serve(self) -> None:
        """Start all servers and background tasks, and serve until cancelled."""
        cfg = self.cfg
        names = cfg.names
        self.event_log.event(
            "started",
            service=cfg.service,
            data_centre=cfg.data_centre,
            start_ms=round(self._start_ms),
            **asdict(build_info()),
        )
        watch = SuspensionWatch(self._clock.catch_up, self._handle_suspension)
        trio.lowlevel.add_instrument(watch)
        self._poller.before_callbacks = partial(watch.after_io_wait, 0.0)
        async with trio.open_nursery() as nursery:
            self._config.set_nursery(nursery)
            self._links.nursery = nursery
            for work in (
                self._poller.run,
                self.backend_queue.run,
                self._callers.run,
                self._ticker.run,
            ):
                nursery.start_soon(work)
            addresses = cfg.addresses
            nursery.start_soon(
                accept_each, listen(addresses.callers), self._callers.serve
            )
            nursery.start_soon(
                accept_all, listen(addresses.peers), self._inbound.serve, nursery
            )
            auxiliary_servers = [
                (addresses.health, self._answer_health),
                (addresses.reports, self._answer_report),
            ]
            if addresses.metrics:
                auxiliary_servers.append((addresses.metrics, self._answer_metrics))
            for address, handle in auxiliary_servers:
                nursery.start_soon(
                    serve_auxiliary, address, handle, names, self.event_log
                )
            for work in (
                self._config.run,
                self._members.run,
                self._members.write_departures,
            ):
                nursery.start_soon(self._restart_on_failure, work)

    async def _restart_on_failure(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a background task, and restart it whenever it ends or fails."""
        while True:
            try:
                await work()
            except Exception as exc:
                self.event_log.log_exception("background", exc)
            await trio.sleep(_RESTART_DELAY_MS / MS_PER_S)

    @property
    def version_in_force(self) -> int:
        """Version of the active configuration; 0 if there is none yet."""
        return self._config.active.version

    def is_ready(self) -> bool:
        """Whether the node accepts requests of callers."""
        return self.entry.table is not None and not self._leaving

    async def _answer_health(self, req: Request) -> FinalResponse:
        if not req.target.startswith(self.cfg.health_path.encode()):
            return FinalResponse(404)
        return FinalResponse(200 if self.is_ready() else 503)

    async def _answer_report(self, req: Request) -> FinalResponse:
        report = self._read_report(req)
        if isinstance(report, BackendReport):
            report = self._check_service(report)
        if isinstance(report, MalformedInput):
            self.event_log.log_malformed_input("report-unreadable", report)
            return _text_response(400, f"{report.place}: {report.reason}")
        self.backend_queue.handle_report(report)
        if report.state is not BackendState.READY:
            if not self.backend_queue.has_departed(report):
                return _text_response(409, f"{report.instance}: a later start is known")
            # All processes may end at any time after the acknowledgement.
            is_kept = await self._members.wait_until_stored()
            if not is_kept and not await self._departures.wait_until_received():
                return _text_response(503, f"{report.instance}: not confirmed yet")
        return FinalResponse(
            200, headers=b"Content-Type: application/json\r\n", body=b"{}"
        )

    def _check_service(self, report: BackendReport) -> BackendReport | MalformedInput:
        """Return a report, or why it does not match the service of this node."""
        service = self.cfg.service
        if report.state is BackendState.GONE or report.service == service:
            return report
        reason = f"service: got {report.service!r}, expected {service!r}"
        return MalformedInput(report.instance, reason)

    async def _answer_metrics(self, req: Request) -> FinalResponse:
        if req.method != b"GET":
            return FinalResponse(404)
        content_type = b"Content-Type: text/plain; version=0.0.4\r\n"
        gauges = itertools.chain(
            build_gauges(),
            config_gauges(self._config),
            backend_gauges(self.backend_queue),
            departure_gauges(self._departures),
            peer_gauges(self._peers),
            quarantine_gauges(self.reports),
            workspace_gauges(self._config, self._workspaces.quotas),
            admission_gauges(self._admission),
            coverage_gauges(self._coverage),
            workspace_share_gauges(self._workspace_admission),
            memory_gauges(self.body_memory),
        )
        return FinalResponse(
            200, headers=content_type, body=self.event_log.metrics(gauges).encode()
        )

    async def _handle_signals(
        self, signals: AsyncIterator[int], stop_requested: trio.Event
    ) -> None:
        """Reload the settings on SIGHUP; request a stop on any other signal."""
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                self.check_settings()
                continue
            self.event_log.event(
                "stopping", signal=signal_number, again=stop_requested.is_set()
            )
            stop_requested.set()

    def check_settings(self) -> None:
        """Reload the settings and apply changes of the bounds and of the retry budget.

        All other settings take effect after a restart only.
        """
        reloaded = self.cfg if self._reload is None else self._reload()
        if isinstance(reloaded, str):
            if reloaded != self._settings_error:
                self.event_log.event("settings-refused", cause=reloaded)
            self._settings_error = reloaded
            return
        self._settings_error = ""
        if reloaded == self.cfg:
            return
        changed = [
            field.name
            for field in fields(reloaded)
            if getattr(reloaded, field.name) != getattr(self.cfg, field.name)
        ]
        adopted = [name for name in changed if name in ("bounds", "budget")]
        self.event_log.event("settings-changed", changed=changed, adopted=adopted)
        self.cfg = replace(self.cfg, bounds=reloaded.bounds, budget=reloaded.budget)
        self.backend_queue.adopt(self.cfg)
        self._config.adopt_bounds(self.cfg.bounds)
        self._members.adopt_bounds(self.cfg.bounds)

    def _close_backend_queue(self) -> None:
        """Reject the requests that wait for the backend server, and send the status."""
        if not self.backend_queue.leaving:
            self.backend_queue.leaving = True
            self.backend_queue.reject_waiting(LEAVING)
            self._send_status()

    async def stop(self) -> None:
        """Stop accepting work in steps, and wait for work in progress to finish."""
        self._planned_stop.begin(self.cfg.bounds.stop)
        self._callers.stopping = True
        self._leaving = True
        async with trio.open_nursery() as nursery:
            if not self.backend_queue.instance():
                # Runs concurrently, so that a store that does not answer does not use
                # up the stop time.
                nursery.start_soon(self._members.deregister)
            await self._drain()
            nursery.cancel_scope.cancel()
        self.event_log.event(
            "ending",
            callers=self._callers.in_progress,
            running=self.backend_queue.running,
            unacknowledged=self._callers.count_unacknowledged(),
            took=round(self._planned_stop.elapsed),
        )

    async def _drain(self) -> None:
        """Close the backend queue, then connections, until all work is done."""
        planned_stop = self._planned_stop
        time_to_stop = self.cfg.bounds.stop
        while not planned_stop.is_over:
            if not planned_stop.accepts_backend_calls:
                self._close_backend_queue()
            if planned_stop.elapsed >= min(
                _READINESS_PROPAGATION_MS, time_to_stop / 2.0
            ):
                self._callers.closing = True
                self._callers.finish_connections()
                if not (
                    self._callers.in_progress
                    or self.backend_queue.running
                    or self._callers.delays_exit()
                    or self._inbound.has_undelivered_replies()
                ):
                    break
            else:
                self._callers.finish_slow_connections(planned_stop.time_to_exit)
            await trio.sleep(_STOP_POLL_INTERVAL_MS / MS_PER_S)
        # Tasks run on until they are cancelled, and callers go on connecting.
        self._callers.ending = True


def _text_response(status: int, text: str) -> FinalResponse:
    """Return a response with a line of plain text."""
    return FinalResponse(
        status, headers=b"Content-Type: text/plain\r\n", body=f"{text}\n".encode()
    )
