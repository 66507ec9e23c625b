"""Gauges of a node's state, and of the age of that state, for its metrics page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.build_info import build_info
from fuchsiagap.core.placement.choice import service_fullness
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.event_log import Gauge

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap_node.core.mesh.admission import Admission
    from fuchsiagap_node.core.mesh.backend_queue import BackendQueue
    from fuchsiagap_node.core.mesh.body_memory import BodyMemory
    from fuchsiagap_node.core.mesh.config_sync import ConfigSync
    from fuchsiagap_node.core.mesh.crash_reports import CrashReports
    from fuchsiagap_node.core.mesh.peers import Peers
    from fuchsiagap_node.core.mesh.quotas import Quotas
    from fuchsiagap_node.core.mesh.route_coverage import RouteCoverage
    from fuchsiagap_node.core.mesh.server_departures import ServerDepartures
    from fuchsiagap_node.core.mesh.workspace_admission import WorkspaceAdmission


# Maximum number of workspaces with separate gauges.
_MAX_WORKSPACES = 10


def build_gauges() -> Iterator[Gauge]:
    """Yield the identity of the running code as labels of a constant."""
    info = build_info()
    labels = f'version="{info.version}",digest="{info.digest}",python="{info.python}"'
    yield Gauge("build_info", labels, 1.0)


def config_gauges(config: ConfigSync) -> Iterator[Gauge]:
    """Yield the configuration version, store position, their ages and update source."""
    yield Gauge("config_version", "", config.active.version)
    yield Gauge("store_epoch", "", config.epoch)
    yield Gauge("store_revision", "", config.revision)
    yield Gauge("config_adopted_age_ms", "", round(config.active.adopted_age))
    confirmed_age = -1.0 if config.confirmed_age is None else config.confirmed_age
    yield Gauge("config_confirmed_age_ms", "", round(confirmed_age))
    yield Gauge("store_heard_age_ms", "", round(config.store_age))
    yield Gauge("store_request_age_ms", "", round(config.request_age))
    for source in UpdateSource:
        labels = f'source="{source.name.lower()}"'
        is_current = config.update_source is source
        yield Gauge("config_update_source", labels, float(is_current))


def memory_gauges(memory: BodyMemory) -> Iterator[Gauge]:
    """Yield the use of the memory for bodies."""
    yield Gauge("body_memory_bytes", "", memory.held)
    yield Gauge("body_memory_limit_bytes", "", memory.limit)
    yield Gauge("body_memory_refusals", "", memory.n_refused)


def backend_gauges(backend_queue: BackendQueue) -> Iterator[Gauge]:
    """Yield the state of the local backend server and its queue."""
    yield Gauge("backend_ready", "", float(bool(backend_queue.instance())))
    yield Gauge("backend_beat_age_ms", "", round(backend_queue.heartbeat_age))
    yield Gauge("backend_places", "", backend_queue.limit)
    yield Gauge("backend_running", "", backend_queue.running)
    yield Gauge("backend_waiting", "", backend_queue.load - backend_queue.running)
    notices = backend_queue.notices
    rate = notices.notice.rate
    yield Gauge("backend_named_rate", "", -1.0 if rate is None else rate)
    yield Gauge("backend_starts_per_s", "", notices.starts_per_s())
    for instance, other_rate in notices.remembered_rates().items():
        yield Gauge("server_named_rate", f'server="{instance}"', other_rate)
    yield Gauge("backend_speed", "", backend_queue.speed)
    age = backend_queue.server_speed.age
    yield Gauge("backend_speed_age_ms", "", round(age) if age < float("inf") else -1.0)
    yield Gauge("backend_failing_share", "", round(backend_queue.failing(), 3))
    for rank, share in backend_queue.coverage():
        yield Gauge("retry_covered_share", f'rank="{rank}"', round(share, 3))


def departure_gauges(departures: ServerDepartures) -> Iterator[Gauge]:
    """Yield the number of departures that are kept, of this node and of others."""
    yield Gauge("departures_known", "", len(departures))


def quarantine_gauges(reports: CrashReports) -> Iterator[Gauge]:
    """Yield the numbers of quarantined and of suspected requests."""
    yield Gauge("quarantine_held", "", reports.quarantine.n_held)
    yield Gauge("quarantine_suspects", "", reports.quarantine.n_suspects)


def workspace_gauges(config: ConfigSync, quotas: Quotas) -> Iterator[Gauge]:
    """Yield the staleness of the API keys, and the quotas of the busiest workspaces."""
    age = config.active.staleness
    yield Gauge("knowledge_age_ms", "", round(age) if age < float("inf") else -1.0)
    yield Gauge("quotas_owned", "", quotas.grants.n_owned)
    for name, rate in quotas.token_cache.busiest(_MAX_WORKSPACES):
        labels = f'workspace="{name}"'
        yield Gauge("workspace_requests_a_second", labels, round(rate, 1))
        yield Gauge("workspace_tokens", labels, quotas.token_cache.tokens(name))
        level = quotas.grants.level(name)
        if level is not None:
            yield Gauge("workspace_quota_left", labels, round(level, 1))


def peer_gauges(peers: Peers) -> Iterator[Gauge]:
    """Yield the known and usable servers of each service, and their fullness."""
    for service in peers.services():
        targets = peers.targets(service)
        labels = f'service="{service}"'
        usable = sum(target.usable for target in targets)
        yield Gauge("servers_known", labels, len(targets))
        yield Gauge("servers_usable", labels, usable)
        yield Gauge("service_fullness", labels, round(service_fullness(targets), 3))


def admission_gauges(admission: Admission) -> Iterator[Gauge]:
    """Yield the admitted share, and the room, of each service and kind of requests."""
    for service, kind, share in admission.shares():
        labels = f'service="{service}",route="{kind}"'
        yield Gauge("admitted_share", labels, round(share, 3))
    rooms = list(admission.limits.rooms())
    for service, kind, room in rooms:
        labels = f'service="{service}",route="{kind}"'
        yield Gauge("admission_room", labels, round(room, 1))
    if rooms:
        yield Gauge("admission_demand", "", round(admission.limits.demand(), 1))


def coverage_gauges(coverage: RouteCoverage) -> Iterator[Gauge]:
    """Yield the covered share of the call trees of each service, route and rank."""
    for service, route, share in coverage.shares():
        labels = f'service="{service}",route="{route}"'
        yield Gauge("covered_share", labels, round(share, 3))


def workspace_share_gauges(workspace_admission: WorkspaceAdmission) -> Iterator[Gauge]:
    """Yield the admitted share of the requests of the busiest workspaces."""
    for name, share in workspace_admission.busiest(_MAX_WORKSPACES):
        labels = f'workspace="{name}"'
        yield Gauge("workspace_admitted_share", labels, round(share, 3))
