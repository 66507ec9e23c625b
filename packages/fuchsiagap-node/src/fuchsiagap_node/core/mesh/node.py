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

from fuchsiagap.core.clock import MS_PER_S, trio_clock
from fuchsiagap.core.door.incarnation import BackendReport, BackendState
from fuchsiagap.core.routes.table import RouteTable, ShareRotation
from fuchsiagap_node.core.mesh import poller
from fuchsiagap_node.core.mesh.admission import STEP_MS, Admission
from fuchsiagap_node.core.mesh.auxiliary_http import serve_auxiliary
from fuchsiagap_node.core.mesh.callers import SWEEP_MS, CallerListener
from fuchsiagap_node.core.mesh.config_sync import REFRESH_MS as CONFIG_REFRESH_MS
from fuchsiagap_node.core.mesh.config_sync import ConfigSync
from fuchsiagap_node.core.mesh.crash_reports import FLUSH_MS as CLEARANCES_MS
from fuchsiagap_node.core.mesh.door import Door
from fuchsiagap_node.core.mesh.entry import Entry
from fuchsiagap_node.core.mesh.event_log import FLUSH_MS, EventLog
from fuchsiagap_node.core.mesh.final import Final
from fuchsiagap_node.core.mesh.gauges import (
    admission_gauges,
    backend_gauges,
    config_gauges,
    peer_gauges,
    quarantine_gauges,
    workspace_gauges,
)
from fuchsiagap_node.core.mesh.load_line import load_fields
from fuchsiagap_node.core.mesh.member_sync import MemberSync
from fuchsiagap_node.core.mesh.messages import Hello
from fuchsiagap_node.core.mesh.outbound_link import LOOK_MS as LINK_LOOK_MS
from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink
from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks
from fuchsiagap_node.core.mesh.outcome import LEAVING
from fuchsiagap_node.core.mesh.own_door import OwnDoor
from fuchsiagap_node.core.mesh.own_status import OwnStatus
from fuchsiagap_node.core.mesh.peers import Peers
from fuchsiagap_node.core.mesh.placing import Placing
from fuchsiagap_node.core.mesh.pressures import Pressures
from fuchsiagap_node.core.mesh.stream import accept_all, accept_each, listen
from fuchsiagap_node.core.mesh.suspension_watch import SuspensionWatch
from fuchsiagap_node.core.mesh.taking import TakingLinks
from fuchsiagap_node.core.mesh.ticker import TICK_MS, Ticker
from fuchsiagap_node.core.mesh.unreadable import Unreadable
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
        read_report: Callable[[Request], BackendReport | Unreadable],
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
        self.door = Door(cfg, clock, event_log, rng, self._poller)
        self._peers = Peers()
        self._pressures = Pressures(self._peers, clock)
        below = self._pressures.below
        self._own = OwnDoor(cfg.node, cfg.service, self.door, clock, below)
        self._peers.put(self._own)
        self.reports = self.door.reports
        self._placing = Placing(
            cfg, self._peers, self._pressures, clock, rng, event_log, self.reports
        )
        self._admission = Admission(
            self._pressures, self._placing.served, clock, rng, event_log
        )
        self._rotation = ShareRotation()
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
            self._placing,
            self._pressures,
            self._admission,
            self._rotation,
            event_log,
            self._workspaces.check,
            self._workspaces.quotas,
        )
        self._callers = CallerListener(cfg, self.entry, clock, event_log, self._poller)
        self.entry.parent_of = self.door.parent_of
        self._config.changed = self._tell_status
        hello = Hello(
            own.node, own.incarnation, own.address, own.data_centre, own.service
        )
        self._links = OutboundLinks(
            own, hello, self._peers, clock, event_log, self._poller
        )
        self._links.on_link = self._prepare_link
        self._own_status = OwnStatus(self.door, self._config)
        self.door.repeats.n_doors = lambda: self._links.n_known_nodes(cfg.service) + 1
        self._members = MemberSync(own, self._links, store, cfg, clock, rng, event_log)
        self._config.on_return = self._members.note_return
        self._settings_fault = ""
        self._leaving = False
        self._is_caught_up = False
        self._alone_from = clock.now() + _CATCH_UP_MS
        self._taking = TakingLinks(
            hello, self.door, self._own_status.now, clock, event_log, self._poller
        )
        self._taking.on_hello = self._links.handle_hello
        self._taking.config_text = self._config.in_force.text
        self._taking.below = below
        self._workspaces.prepare_taking(self._taking)
        self._taking.on_report = self.reports.handle
        self._taking.send_snapshot = self.reports.send_snapshot
        self.reports.peers = self._posts
        self.door.changed = self._tell_status
        self._ticker = Ticker(clock, event_log)
        for interval, do in (
            (TICK_MS, self.door.look),
            (TICK_MS, self._placing.look),
            (STEP_MS, self._admission.step),
            (_STATUS_MS, self._tell_status),
            (_LOAD_LINE_MS, self._tell_load),
            (LINK_LOOK_MS, self._links.look),
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
        link.heard_elsewhere = partial(self._taking.last_received_at, link.member.node)
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
        self._taking.close_all()

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
        posts = dict(self._taking.posts())
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
        status = self._own_status.now()
        if not self._is_caught_up:
            # What this host's callers ask for may be held by all others.
            self._is_caught_up = self._clock.now() >= self._alone_from
            status = replace(status, instance="")
        self._own.take_status(status)
        self._taking.tell_status()

    def _tell_load(self) -> None:
        """Write how full the server is, what is let in, and what that follows.

        Whether places stand empty while requests are refused, whether the entries
        agree, and whether what they believe is what the servers say, can be seen only
        where all of it stands at the same moments.
        """
        fields = load_fields(
            self.door,
            self._pressures,
            self._admission,
            self._placing.served,
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
        self._poller.before_calls = partial(watch.after_io_wait, 0.0)
        async with trio.open_nursery() as nursery:
            self._config.serve_in(nursery)
            self._links.nursery = nursery
            for work in (
                self._poller.run,
                self.door.run,
                self._callers.run,
                self._ticker.run,
            ):
                nursery.start_soon(work)
            at = cfg.addresses
            nursery.start_soon(accept_each, listen(at.callers), self._callers.serve)
            nursery.start_soon(
                accept_all, listen(at.peers), self._taking.serve, nursery
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
        return self._config.in_force.version

    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.entry.table is not None and not self._leaving

    def _answer_health(self, req: Request) -> Final:
        if not req.target.startswith(self.cfg.health_path.encode()):
            return Final(404)
        return Final(200 if self.is_ready() else 503)

    def _answer_report(self, req: Request) -> Final:
        report = self._read_report(req)
        if isinstance(report, BackendReport):
            report = self._of_own_service(report)
        if isinstance(report, Unreadable):
            self.event_log.unreadable("report-unreadable", report)
            text = f"{report.place}: {report.reason}\n".encode()
            return Final(400, headers=b"Content-Type: text/plain\r\n", body=text)
        self.door.take_report(report)
        return Final(200, headers=b"Content-Type: application/json\r\n", body=b"{}")

    def _of_own_service(self, report: BackendReport) -> BackendReport | Unreadable:
        """Return a report if it is of the service that this node stands beside."""
        service = self.cfg.service
        if report.state is BackendState.GONE or report.service == service:
            return report
        reason = f"service {report.service!r} where {service!r} was expected"
        return Unreadable(report.instance, reason)

    def _answer_metrics(self, req: Request) -> Final:
        if req.method != b"GET":
            return Final(404)
        kind = b"Content-Type: text/plain; version=0.0.4\r\n"
        gauges = itertools.chain(
            config_gauges(self._config),
            backend_gauges(self.door),
            peer_gauges(self._peers),
            quarantine_gauges(self.reports),
            workspace_gauges(self._config, self._workspaces.quotas),
            admission_gauges(self._admission),
        )
        return Final(200, headers=kind, body=self.event_log.metrics(gauges).encode())

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
        self.door.adopt(self.cfg)
        self._config.adopt_bounds(self.cfg.bounds)
        self._members.adopt_bounds(self.cfg.bounds)

    def _close_door(self) -> None:
        """Give back what waits for the backend server, and let others know."""
        if not self.door.leaving:
            self.door.leaving = True
            self.door.turn_away(LEAVING)
            self._tell_status()

    async def stop(self) -> None:
        """Take less and less that is new, finish what is in progress, and end."""
        started = self._clock.now()
        self._leaving = True
        async with trio.open_nursery() as nursery:
            if not self.door.instance():
                # Beside the rest: a store that is silent must not use up the time.
                nursery.start_soon(self._members.withdraw)
            await self._wind_down(started)
            nursery.cancel_scope.cancel()
        self.event_log.event(
            "ending",
            callers=self._callers.in_progress,
            running=self.door.running,
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
                if not self._callers.in_progress and not self.door.running:
                    break
            if spent >= min(_REFUSE_AFTER_MS, whole / 2.0):
                self.entry.stopping = True
            await trio.sleep(_STOP_LOOK_MS / MS_PER_S)
