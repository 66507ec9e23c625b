"""One node, put together, from its start to its planned stop."""

from __future__ import annotations

import gc
import itertools
import random
import secrets
import signal
from dataclasses import fields, replace
from functools import partial
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.backend_queue.incarnation import BackendReport, BackendState
from fuchsiagap.core.clock import MS_PER_S, trio_clock
from fuchsiagap.core.routes.table import RouteTable, WeightedRoundRobin
from fuchsiagap_node.core.mesh import poller
from fuchsiagap_node.core.mesh.admission import STEP_MS, Admission
from fuchsiagap_node.core.mesh.auxiliary_http import serve_auxiliary
from fuchsiagap_node.core.mesh.backend_queue import BackendQueue
from fuchsiagap_node.core.mesh.callers import SWEEP_MS, CallerListener
from fuchsiagap_node.core.mesh.config_sync import REFRESH_MS as CONFIG_REFRESH_MS
from fuchsiagap_node.core.mesh.config_sync import ConfigSync
from fuchsiagap_node.core.mesh.crash_reports import FLUSH_MS as CLEARANCES_MS
from fuchsiagap_node.core.mesh.entry import Entry
from fuchsiagap_node.core.mesh.event_log import FLUSH_MS, EventLog
from fuchsiagap_node.core.mesh.final_response import FinalResponse
from fuchsiagap_node.core.mesh.gauges import (
    admission_gauges,
    backend_gauges,
    config_gauges,
    peer_gauges,
    quarantine_gauges,
    workspace_gauges,
)
from fuchsiagap_node.core.mesh.inbound_links import InboundLinks
from fuchsiagap_node.core.mesh.load_event import load_fields
from fuchsiagap_node.core.mesh.local_peer import LocalPeer
from fuchsiagap_node.core.mesh.local_status import LocalStatus
from fuchsiagap_node.core.mesh.malformed_input import MalformedInput
from fuchsiagap_node.core.mesh.member_sync import MemberSync
from fuchsiagap_node.core.mesh.messages import Hello
from fuchsiagap_node.core.mesh.outbound_link import LOOK_MS as LINK_LOOK_MS
from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink
from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks
from fuchsiagap_node.core.mesh.outcome import LEAVING
from fuchsiagap_node.core.mesh.peers import Peers
from fuchsiagap_node.core.mesh.placement_context import PlacementContext
from fuchsiagap_node.core.mesh.route_loads import RouteLoads
from fuchsiagap_node.core.mesh.stream import accept_all, accept_each, listen
from fuchsiagap_node.core.mesh.suspension_watch import SuspensionWatch
from fuchsiagap_node.core.mesh.ticker import TICK_MS, Ticker
from fuchsiagap_node.core.mesh.workspaces import Workspaces

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.crash_reports import Post
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.store import Store, StoredConfig

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Milliseconds between two looks at whether the door's status is worth sending.
_STATUS_MS = 250.0
# Milliseconds between two lines of load: what a surge does to a server or an entry
# lasts for seconds, and a node writes some ten lines a second beside them.
_LOAD_LINE_MS = 1_000.0
# Milliseconds between two looks at whether links to other nodes are needed.
_CHOOSE_LINKS_MS = 1_000.0
# Milliseconds after SIGTERM for which the backend server, which may live on, still gets
# requests: its outage is as much shorter. What it gets last has the rest to end in.
_DOOR_OPEN_MS = 2_000.0
# Milliseconds after SIGTERM for which callers still send here: the platform asks once a
# second and takes a node out after two misses.
_KNOWN_AS_READY_MS = 2_500.0
# Milliseconds after SIGTERM from which new requests are refused, so that those taken
# before still end: callers that find too few other nodes go on sending.
_REFUSE_AFTER_MS = 3_000.0
# Milliseconds before the end of the time to stop at which the process ends by itself.
_STOP_MARGIN_MS = 700.0
# Milliseconds between two looks at what is still in progress.
_STOP_LOOK_MS = 50.0
# Milliseconds between two looks at the settings file; a second is well within the two
# that a change of configuration may take.
_SETTINGS_MS = 1_000.0
# Milliseconds after its start for which a node waits to hear from another one which
# requests are held before it uses the server beside it; others know by themselves.
_CATCH_UP_MS = 1_000.0
# Milliseconds before work in the background that failed starts again.
_RESTART_MS = 500.0
# Objects between two collections of the youngest generation: the path makes few cycles,
# so fewer collections are enough. What it gains was not measured.
_GC_YOUNG = 20_000


class Node:
    """A node of a deployment.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    store : Store
        The platform's store.
    read_report : callable
        Returns what a backend server says in a request to the reports address.
    clock : Clock, optional
        Clock of the process; by default that of the running loop.
    reload : callable, optional
        Returns the settings as they stand now, or why they cannot be used.
    rng : random.Random, optional
        Breaks ties and spreads what nodes would do together; by default unseeded.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        store: Store,
        read_report: Callable[[Request], BackendReport | MalformedInput],
        clock: Clock | None = None,
        reload: Callable[[], MeshSettings | str] | None = None,
        rng: random.Random | None = None,
    ) -> None:
        clock = clock or trio_clock()
        rng = rng or random.Random()
        self.cfg = cfg
        self._clock = clock
        self._read_report = read_report
        self._reload = reload
        self.event_log = event_log = EventLog(cfg.node, clock)
        self._poller = poller.make_poller()
        self._poller.on_fault = partial(event_log.log_exception, "connection")
        self.backend_queue = BackendQueue(cfg, clock, event_log, rng, self._poller)
        self._peers = Peers()
        self._route_loads = RouteLoads(self._peers, clock)
        downstream_fullness = self._route_loads.downstream_fullness
        self._local_peer = LocalPeer(
            cfg.node, cfg.service, self.backend_queue, clock, downstream_fullness
        )
        self._peers.put(self._local_peer)
        self.reports = self.backend_queue.reports
        self._placement_context = PlacementContext(
            cfg, self._peers, self._route_loads, clock, rng, event_log, self.reports
        )
        self._admission = Admission(
            self._route_loads, self._placement_context.served, clock, rng, event_log
        )
        self._rotation = WeightedRoundRobin()
        own = Member(
            cfg.node,
            secrets.token_hex(6),
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
        )
        self._callers = CallerListener(cfg, self.entry, clock, event_log, self._poller)
        self.entry.parent_of = self.backend_queue.parent_of
        self._config.changed = self._tell_status
        hello = Hello(
            own.node, own.incarnation, own.address, own.data_centre, own.service
        )
        self._links = OutboundLinks(
            own, hello, self._peers, clock, event_log, self._poller
        )
        self._links.on_link = self._prepare_link
        self._local_status = LocalStatus(self.backend_queue, self._config)
        self.backend_queue.retry_admission.n_replicas = lambda: (
            self._links.n_known_nodes(cfg.service) + 1
        )
        self._members = MemberSync(own, self._links, store, cfg, clock, rng, event_log)
        self._config.on_store_restored = self._members.handle_store_restored
        self._settings_fault = ""
        self._leaving = False
        self._is_caught_up = False
        self._alone_from = clock.now() + _CATCH_UP_MS
        self._inbound = InboundLinks(
            hello,
            self.backend_queue,
            self._local_status.now,
            clock,
            event_log,
            self._poller,
        )
        self._inbound.on_hello = self._links.handle_hello
        self._inbound.config_text = self._config.active.text
        self._inbound.downstream_fullness = downstream_fullness
        self._workspaces.prepare_inbound(self._inbound)
        self._inbound.on_report = self.reports.handle
        self._inbound.send_snapshot = self.reports.send_snapshot
        self.reports.peers = self._posts
        self.backend_queue.changed = self._tell_status
        self._ticker = Ticker(clock, event_log)
        for interval, do in (
            (TICK_MS, self.backend_queue.tick),
            (TICK_MS, self._placement_context.tick),
            (STEP_MS, self._admission.step),
            (_STATUS_MS, self._tell_status),
            (_LOAD_LINE_MS, self._tell_load),
            (LINK_LOOK_MS, self._links.tick),
            (_CHOOSE_LINKS_MS, self._links.choose),
            (CONFIG_REFRESH_MS, self._config.refresh),
            (SWEEP_MS, self._callers.close_silent),
            (CLEARANCES_MS, self.reports.flush),
            (_SETTINGS_MS, self.check_settings),
        ):
            self._ticker.every(interval, do)
        self._workspaces.schedule(self._ticker)

    def _prepare_link(self, link: OutboundLink) -> None:
        link.on_status = self._handle_status_of
        link.on_config = lambda text: self._config.adopt_text(text, link.member.node)
        link.on_report = self.reports.handle
        link.heard_elsewhere = partial(self._inbound.last_received_at, link.member.node)
        self._workspaces.prepare_link(link)
        link.send_snapshot = self.reports.send_snapshot

    def _handle_status_of(self, link: OutboundLink) -> None:
        """Follow what another node says of itself and of its server."""
        self._config.handle_peer_status(link)
        target = link.target
        self.reports.resolve_server(target.node, target.service, target.instance)
        if not self._is_caught_up:
            self._is_caught_up = True
            self._tell_status()

    def close_links(self) -> None:
        """Close all links in both directions."""
        self._links.close_all()
        self._inbound.close_all()

    def _resume(self, suspended: Milliseconds) -> None:
        """Begin anew with others after the host was suspended.

        What waits to be read was sent before or meanwhile and nobody can tell when:
        statuses, configurations and calls on links are dropped with them, and callers
        are taken to have waited since it began. It runs before any task does.
        """
        self.event_log.event("resumed", suspended=round(suspended))
        self.close_links()
        self._callers.record_suspension(suspended)
        self._is_caught_up = False
        self._alone_from = self._clock.now() + _CATCH_UP_MS
        self._tell_status()

    def _posts(self) -> dict[str, Post]:
        """Return how to reach each node that is linked in either direction."""
        posts = dict(self._inbound.posts())
        posts.update((k.member.node, k.post) for k in self._links if k.is_open())
        return posts

    def _adopt(self, stored: StoredConfig) -> None:
        """Put a configuration in force."""
        self.entry.table = RouteTable(stored.config)
        self._rotation.adopt(stored.config)
        self._callers.limits = stored.config.limits
        self._workspaces.adopt(stored.config)
        self._tell_status()

    def _tell_status(self) -> None:
        status = self._local_status.now()
        if not self._is_caught_up:
            # What this host's callers ask for may be held by all others.
            self._is_caught_up = self._clock.now() >= self._alone_from
            status = replace(status, instance="")
        self._local_peer.apply_status(status)
        self._inbound.send_status()

    def _tell_load(self) -> None:
        """Write how full the server is, what is let in, and what that follows.

        Whether places stand empty while requests are refused, whether the entries
        agree, and whether what they believe is what the servers say, can be seen only
        where all of it stands at the same moments.
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
        """Serve until SIGTERM, then stop without cutting anything."""
        gc.set_threshold(_GC_YOUNG, 20, 50)
        gc.freeze()
        # Until the end: a signal without a receiver ends the process at once, also in
        # the midst of a planned stop.
        with trio.open_signal_receiver(*_SIGNALS) as signals:
            async with trio.open_nursery() as nursery:
                self.event_log.never_wait()
                self._ticker.every(FLUSH_MS, self.event_log.flush)
                asked = trio.Event()
                nursery.start_soon(self._take_signals, signals, asked)
                nursery.start_soon(self.serve)
                await asked.wait()
                await self.stop()
                nursery.cancel_scope.cancel()
            self.event_log.event("stopped")
            self.event_log.flush()

    async def serve(self) -> None:
        """Serve until cancelled."""
        cfg = self.cfg
        names = cfg.names
        self.event_log.event(
            "started", service=cfg.service, data_centre=cfg.data_centre
        )
        watch = SuspensionWatch(self._clock.catch_up, self._resume)
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
            at = cfg.addresses
            nursery.start_soon(accept_each, listen(at.callers), self._callers.serve)
            nursery.start_soon(
                accept_all, listen(at.peers), self._inbound.serve, nursery
            )
            sides = [
                (at.health, self._answer_health),
                (at.reports, self._answer_report),
            ]
            if at.metrics:
                sides.append((at.metrics, self._answer_metrics))
            for address, handle in sides:
                nursery.start_soon(
                    serve_auxiliary, address, handle, names, self.event_log
                )
            for work in (self._config.run, self._members.run):
                nursery.start_soon(self._go_on, work)

    async def _go_on(self, work: Callable[[], Awaitable[None]]) -> None:
        """Start work again that ends by an exception nobody expected."""
        while True:
            try:
                await work()
            except Exception as exc:
                self.event_log.log_exception("background", exc)
            await trio.sleep(_RESTART_MS / MS_PER_S)

    @property
    def version_in_force(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._config.active.version

    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.entry.table is not None and not self._leaving

    def _answer_health(self, req: Request) -> FinalResponse:
        if not req.target.startswith(self.cfg.health_path.encode()):
            return FinalResponse(404)
        return FinalResponse(200 if self.is_ready() else 503)

    def _answer_report(self, req: Request) -> FinalResponse:
        report = self._read_report(req)
        if isinstance(report, BackendReport):
            report = self._of_own_service(report)
        if isinstance(report, MalformedInput):
            self.event_log.unreadable("report-unreadable", report)
            text = f"{report.place}: {report.reason}\n".encode()
            return FinalResponse(
                400, headers=b"Content-Type: text/plain\r\n", body=text
            )
        self.backend_queue.handle_report(report)
        return FinalResponse(
            200, headers=b"Content-Type: application/json\r\n", body=b"{}"
        )

    def _of_own_service(self, report: BackendReport) -> BackendReport | MalformedInput:
        """Return a report if it is of the service that this node stands beside."""
        service = self.cfg.service
        if report.state is BackendState.GONE or report.service == service:
            return report
        reason = f"service {report.service!r} where {service!r} was expected"
        return MalformedInput(report.instance, reason)

    def _answer_metrics(self, req: Request) -> FinalResponse:
        if req.method != b"GET":
            return FinalResponse(404)
        kind = b"Content-Type: text/plain; version=0.0.4\r\n"
        gauges = itertools.chain(
            config_gauges(self._config),
            backend_gauges(self.backend_queue),
            peer_gauges(self._peers),
            quarantine_gauges(self.reports),
            workspace_gauges(self._config, self._workspaces.quotas),
            admission_gauges(self._admission),
        )
        return FinalResponse(
            200, headers=kind, body=self.event_log.metrics(gauges).encode()
        )

    async def _take_signals(
        self, signals: AsyncIterator[int], asked: trio.Event
    ) -> None:
        """Read the settings at SIGHUP, and note that a stop is asked for."""
        async for number in signals:
            if number == signal.SIGHUP:
                self.check_settings()
                continue
            self.event_log.event("stopping", signal=number, again=asked.is_set())
            asked.set()

    def check_settings(self) -> None:
        """Adopt settings that have changed; addresses and names need a new start."""
        found = self.cfg if self._reload is None else self._reload()
        if isinstance(found, str):
            if found != self._settings_fault:
                self.event_log.event("settings-refused", cause=found)
            self._settings_fault = found
            return
        self._settings_fault = ""
        if found == self.cfg:
            return
        changed = [
            field.name
            for field in fields(found)
            if getattr(found, field.name) != getattr(self.cfg, field.name)
        ]
        adopted = [name for name in changed if name in ("bounds", "budget")]
        self.event_log.event("settings-changed", changed=changed, adopted=adopted)
        self.cfg = replace(self.cfg, bounds=found.bounds, budget=found.budget)
        self.backend_queue.adopt(self.cfg)
        self._config.adopt_bounds(self.cfg.bounds)
        self._members.adopt_bounds(self.cfg.bounds)

    def _close_door(self) -> None:
        """Give back what waits for the backend server, and let others know."""
        if not self.backend_queue.leaving:
            self.backend_queue.leaving = True
            self.backend_queue.reject_waiting(LEAVING)
            self._tell_status()

    async def stop(self) -> None:
        """Take less and less that is new, finish what is in progress, and end."""
        started = self._clock.now()
        self._leaving = True
        async with trio.open_nursery() as nursery:
            if not self.backend_queue.instance():
                # Beside the rest: a store that is silent must not use up the time.
                nursery.start_soon(self._members.withdraw)
            await self._wind_down(started)
            nursery.cancel_scope.cancel()
        self.event_log.event(
            "ending",
            callers=self._callers.in_progress,
            running=self.backend_queue.running,
            took=round(self._clock.now() - started),
        )

    async def _wind_down(self, started: Milliseconds) -> None:
        """Close the door, then the callers' connections, until nothing is left."""
        whole = self.cfg.bounds.stop
        while (spent := self._clock.now() - started) < whole - _STOP_MARGIN_MS:
            if spent >= min(_DOOR_OPEN_MS, whole / 3.0):
                self._close_door()
            if spent >= min(_KNOWN_AS_READY_MS, whole / 2.0):
                self._callers.closing = True
                self._callers.close_idle()
                if not self._callers.in_progress and not self.backend_queue.running:
                    break
            if spent >= min(_REFUSE_AFTER_MS, whole / 2.0):
                self.entry.stopping = True
            await trio.sleep(_STOP_LOOK_MS / MS_PER_S)
