"""Measure the cost of settings: route matching, parsing and propagation of changes.

Parsing and matching are timed on this machine. Propagation of a change to all nodes is
measured on a virtual clock, which includes link delays and polling intervals but no CPU
time.

Examples
--------
``python -m fuchsiagap_standins.bench settings --json --nodes 12,48``
"""

from __future__ import annotations

import json
import statistics
import sys
import time
import tracemalloc
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import trio
from absl import flags

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.settings.book import SettingsBook
from fuchsiagap.core.settings.model import SETTINGS_PREFIX, TeamText
from fuchsiagap.core.settings.parse import parse_team
from fuchsiagap_node.core.ports import StoredObject
from fuchsiagap_node.core.settings.write import Accepted, put_settings
from fuchsiagap_standins.settings_fleet import (
    OPERATORS_TOKEN,
    SettingsFleet,
    open_settings_fleet,
)
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap_node.core.state import NodeState

TEAM = "salt-fog"
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
_N_CALLS = 20_000
_N_ROUNDS = 7
_N_CHANGES = 5
# Time to settle before measurements, and duration of the idle measurement.
_SETTLE_S = 8.0
_POLL_INTERVAL_S = 0.001
_ROUTES_PER_SERVICE = 10
_US_PER_S = 1e6
_MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class MatchingCosts:
    """Costs of one team's settings with a given number of routes.

    Parameters
    ----------
    n_routes, text_bytes : int
        Number of routes, and size of the settings in bytes.
    literal_us, wildcard_us, default_us, unknown_us : float
        Time of one `route_for` for a literal path, a path that backtracks from a
        literal branch to a wildcard, a path that no route matches, and a service
        without a section.
    parse_ms : float
        Time to parse and validate the settings.
    adopt_ms : float
        Time to parse, validate and compile the settings.
    memory_bytes : int
        Memory that the settings book allocates for the team.
    """

    n_routes: int
    text_bytes: int
    literal_us: float
    wildcard_us: float
    default_us: float
    unknown_us: float
    parse_ms: float
    adopt_ms: float
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class PropagationCosts:
    """Cost and duration of propagating a settings change to all nodes.

    Parameters
    ----------
    n_nodes, text_bytes : int
        Number of nodes, and size of the settings in bytes.
    accepted_ms_p50, accepted_ms_max : float
        Time from acceptance of a change by a node until it is in force on all nodes.
    watched_ms_p50, watched_ms_max : float
        Time from a write directly to the platform until it is in force on all nodes.
    without_news_ms_max : float
        Time from acceptance with all notifications lost and all other nodes cut off
        from the platform, so that only periodic comparison with random peers
        propagates the change.
    bytes_per_change_and_node : float
        Bytes of settings messages in excess of those of an idle fleet.
    messages_per_change_and_node : float
        Settings messages in excess of those of an idle fleet.
    cpu_ms_per_change_and_node : float
        CPU time in excess of that of an idle fleet. It includes parsing and both ends
        of each link, but no sockets.
    idle_bytes_per_s_and_node : float
        Bytes of settings messages per second without changes.
    idle_platform_calls_per_s : float
        Platform calls per second of all nodes together without changes.
    """

    n_nodes: int
    text_bytes: int
    accepted_ms_p50: float
    accepted_ms_max: float
    watched_ms_p50: float
    watched_ms_max: float
    without_news_ms_max: float
    bytes_per_change_and_node: float
    messages_per_change_and_node: float
    cpu_ms_per_change_and_node: float
    idle_bytes_per_s_and_node: float
    idle_platform_calls_per_s: float


def make_settings_text(n_routes: int, priority: int = 5) -> str:
    """Return settings with `n_routes` routes, ten per service.

    `priority` is the default of the team; other values give different settings.
    """
    lines = ["[team]", "weight = goodput", f"priority = {priority}"]
    for i in range(n_routes):
        service, route = divmod(i, _ROUTES_PER_SERVICE)
        if not route:
            lines += [f"[service-{service}]", "timeout = 2s"]
        lines += [f"[service-{service}/route-{route}]", "priority = 3"]
        is_wildcard = route == _ROUTES_PER_SERVICE - 1
        path = "/things/*/panels" if is_wildcard else f"/things/{route}/detail"
        lines.append(f"match = POST {path}")
    return "\n".join(lines) + "\n"


def measure_matching(n_routes: int) -> MatchingCosts:
    """Measure parsing and matching with `n_routes` routes."""
    text = make_settings_text(n_routes)
    book = SettingsBook()
    tracemalloc.start()
    book.adopt(TeamText(TEAM, 1, text))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    service = ServiceName(TEAM, "service-0")
    unknown_service = ServiceName(TEAM, "elsewhere")

    def route_us(name: ServiceName, target: str) -> float:
        return _median_us(lambda: book.route_for(name, "POST", target), _N_CALLS)

    def adopt() -> None:
        SettingsBook().adopt(TeamText(TEAM, 1, text))

    n_calls = max(3, 2_000 // n_routes)
    return MatchingCosts(
        n_routes=n_routes,
        text_bytes=len(text),
        literal_us=route_us(service, "/things/3/detail?page=1"),
        wildcard_us=route_us(service, "/things/3/panels"),
        default_us=route_us(service, "/other/path"),
        unknown_us=route_us(unknown_service, "/things/3/detail"),
        parse_ms=round(
            _median_us(lambda: parse_team(TEAM, text), n_calls) / _MS_PER_S, 3
        ),
        adopt_ms=round(_median_us(adopt, n_calls) / _MS_PER_S, 3),
        memory_bytes=memory,
    )


def measure_propagation(
    n_nodes: int, n_routes: int = 40, seed: int = 1
) -> PropagationCosts:
    """Measure propagation in a fleet of `n_nodes` nodes on the virtual clock."""
    return run_virtual(
        _measure_propagation, n_nodes, n_routes, seed, seed=seed, real_limit_s=900.0
    )


async def _measure_propagation(
    n_nodes: int, n_routes: int, seed: int
) -> PropagationCosts:
    async with open_settings_fleet(seed) as fleet:
        states = _start_nodes(fleet, n_nodes)
        await fleet.until(
            lambda: all(state.book.sync_status.complete for state in states)
        )
        await trio.sleep(_SETTLE_S)
        idle = _read_usage(fleet)
        await trio.sleep(_SETTLE_S)
        rate = _read_usage(fleet).minus(idle).times(1 / _SETTLE_S)
        before, started_s = _read_usage(fleet), trio.current_time()
        accepted = [
            await _time_until_in_force(
                fleet, _put_through_node(states[7 * i % n_nodes], n_routes, i)
            )
            for i in range(_N_CHANGES)
        ]
        elapsed_s = trio.current_time() - started_s
        used = _read_usage(fleet).minus(before).minus(rate.times(elapsed_s))
        used = used.times(1 / _N_CHANGES / n_nodes)
        watched = [
            await _time_until_in_force(fleet, _put_to_platform(fleet, n_routes, i))
            for i in range(_N_CHANGES)
        ]
        fleet.announcement_loss = 1.0
        fleet.store.set_cut_off({state.node for state in states[1:]})
        by_comparison = [
            await _time_until_in_force(fleet, _put_through_node(states[0], n_routes, i))
            for i in range(_N_CHANGES)
        ]
        return PropagationCosts(
            n_nodes=n_nodes,
            text_bytes=len(make_settings_text(n_routes)),
            accepted_ms_p50=round(statistics.median(accepted), 1),
            accepted_ms_max=round(max(accepted), 1),
            watched_ms_p50=round(statistics.median(watched), 1),
            watched_ms_max=round(max(watched), 1),
            without_news_ms_max=round(max(by_comparison), 1),
            bytes_per_change_and_node=round(used.n_bytes, 1),
            messages_per_change_and_node=round(used.messages, 2),
            cpu_ms_per_change_and_node=round(used.cpu_s * _MS_PER_S, 2),
            idle_bytes_per_s_and_node=round(rate.n_bytes / n_nodes, 1),
            idle_platform_calls_per_s=round(rate.platform_calls, 2),
        )


def _start_nodes(fleet: SettingsFleet, n_nodes: int) -> list[NodeState]:
    states = [
        fleet.add(f"certs-{i}", DATA_CENTRES[i % len(DATA_CENTRES)], ["certs-0:7000"])
        for i in range(n_nodes)
    ]
    members = [state.membership.self_member for state in states]
    for state in states:
        state.membership.merge(members, spread=False)
    return states


async def _put_through_node(state: NodeState, n_routes: int, i: int) -> int:
    text = make_settings_text(n_routes, i)
    result = await put_settings(state, TEAM, text, None, f"c{i}", OPERATORS_TOKEN)
    assert isinstance(result, Accepted), result
    return result.version


async def _put_to_platform(fleet: SettingsFleet, n_routes: int, i: int) -> int:
    value = make_settings_text(n_routes, i).encode()
    result = await fleet.store.put(SETTINGS_PREFIX + TEAM, value, None)
    assert isinstance(result, StoredObject), result
    return result.version


async def _time_until_in_force(fleet: SettingsFleet, change: object) -> float:
    version = await change  # type: ignore[misc]
    started = trio.current_time()
    while not fleet.in_force(TEAM, version):
        await trio.sleep(_POLL_INTERVAL_S)
    elapsed = trio.current_time() - started
    await trio.sleep(1.0)
    return elapsed * _MS_PER_S


@dataclass(frozen=True, slots=True)
class _Usage:
    """Resources that a fleet has used in total or within an interval."""

    n_bytes: float
    messages: float
    platform_calls: float
    cpu_s: float

    def minus(self, other: _Usage) -> _Usage:
        return _Usage(
            self.n_bytes - other.n_bytes,
            self.messages - other.messages,
            self.platform_calls - other.platform_calls,
            self.cpu_s - other.cpu_s,
        )

    def times(self, factor: float) -> _Usage:
        return _Usage(
            self.n_bytes * factor,
            self.messages * factor,
            self.platform_calls * factor,
            self.cpu_s * factor,
        )


def _read_usage(fleet: SettingsFleet) -> _Usage:
    counts = fleet.store.counts
    calls = counts.reads + counts.writes + counts.watches
    traffic = fleet.traffic
    return _Usage(traffic.n_bytes, traffic.messages, calls, time.process_time())


def _median_us(function: Callable[[], object], n_calls: int) -> float:
    elapsed = []
    for _ in range(_N_ROUNDS):
        started = time.perf_counter()
        for _ in range(n_calls):
            function()
        elapsed.append((time.perf_counter() - started) / n_calls)
    return round(statistics.median(elapsed) * _US_PER_S, 3)


def main(argv: list[str]) -> int:
    """Run the bench and print the results as JSON.

    Parameters
    ----------
    argv : list of str
        Flags ``--json``, ``--routes 10,100`` and ``--nodes 12,48``.

    Returns
    -------
    int
        Exit status.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_bool("json", False, "Print one line of JSON.", values)
    flags.DEFINE_list("routes", ["10", "100", "1000"], "Numbers of routes.", values)
    flags.DEFINE_list("nodes", ["12", "48"], "Numbers of nodes.", values)
    values(["settings", *argv])
    results = {
        "match": [asdict(measure_matching(int(n))) for n in values.routes],
        "spread": [asdict(measure_propagation(int(n))) for n in values.nodes],
    }
    print(json.dumps(results, indent=None if values.json else 2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
