"""What settings cost: on each call, when a text is read, and when it changes.

Times to read and to match are of this machine. The time until a change is in force
everywhere is of the virtual clock: links and intervals count, CPU does not.

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
HALLS = ("hall-a", "hall-b", "hall-c")
_CALLS = 20_000
_ROUNDS = 7
_CHANGES = 5
_SETTLE_S = 8.0
_STEP_S = 0.001
_ROUTES_PER_SERVICE = 10
_US_PER_S = 1e6
_MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class MatchCosts:
    """Costs of one team's text with some number of routes.

    Parameters
    ----------
    n_routes, text_bytes : int
        Size of the text.
    literal_us, wildcard_us, default_us, unknown_us : float
        One `route_for`: a literal path, one that tries a literal branch and goes back
        to a wildcard, a path that no route matches, a service without section.
    parse_ms : float
        Reading and validating the text.
    adopt_ms : float
        The same, and compiling it.
    memory_bytes : int
        Held by the book for the team.
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
class SpreadCosts:
    """What a change costs in a fleet, and how long it takes.

    Parameters
    ----------
    n_nodes, text_bytes : int
        Sizes.
    accepted_ms_p50, accepted_ms_max : float
        From the acceptance by a node until in force on all.
    watched_ms_p50, watched_ms_max : float
        From a write past the nodes until in force on all.
    without_news_ms_max : float
        From an acceptance, with all announcements and all watches lost, so that only
        comparison with random nodes spreads the change.
    bytes_per_change_and_node : float
        Of messages about settings, beyond those of an idle fleet.
    messages_per_change_and_node : float
        As many messages.
    cpu_ms_per_change_and_node : float
        CPU beyond that of an idle fleet, reading the text included, with both ends of
        each link in this process and without sockets.
    idle_bytes_per_s_and_node : float
        Of messages about settings without any change.
    idle_platform_calls_per_s : float
        Of the whole fleet.
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


def a_text(n_routes: int, priority: int = 5) -> str:
    """Return a text with `n_routes` routes, ten in each service."""
    lines = ["[team]", "weight = goodput", f"priority = {priority}"]
    for i in range(n_routes):
        service, route = divmod(i, _ROUTES_PER_SERVICE)
        if not route:
            lines += [f"[service-{service}]", "timeout = 2s"]
        lines += [f"[service-{service}/route-{route}]", "priority = 3"]
        is_wild = route == _ROUTES_PER_SERVICE - 1
        path = "/things/*/panels" if is_wild else f"/things/{route}/detail"
        lines.append(f"match = POST {path}")
    return "\n".join(lines) + "\n"


def match_costs(n_routes: int) -> MatchCosts:
    """Measure one size of text."""
    text = a_text(n_routes)
    book = SettingsBook()
    tracemalloc.start()
    book.adopt(TeamText(TEAM, 1, text))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    service = ServiceName(TEAM, "service-0")
    elsewhere = ServiceName(TEAM, "elsewhere")

    def route_us(name: ServiceName, target: str) -> float:
        return _median_us(lambda: book.route_for(name, "POST", target), _CALLS)

    def adopt() -> None:
        SettingsBook().adopt(TeamText(TEAM, 1, text))

    few = max(3, 2_000 // n_routes)
    return MatchCosts(
        n_routes=n_routes,
        text_bytes=len(text),
        literal_us=route_us(service, "/things/3/detail?page=1"),
        wildcard_us=route_us(service, "/things/3/panels"),
        default_us=route_us(service, "/other/path"),
        unknown_us=route_us(elsewhere, "/things/3/detail"),
        parse_ms=round(_median_us(lambda: parse_team(TEAM, text), few) / _MS_PER_S, 3),
        adopt_ms=round(_median_us(adopt, few) / _MS_PER_S, 3),
        memory_bytes=memory,
    )


def spread_costs(n_nodes: int, n_routes: int = 40, seed: int = 1) -> SpreadCosts:
    """Measure one size of fleet, under the virtual clock."""
    return run_virtual(_spread, n_nodes, n_routes, seed, seed=seed, real_limit_s=900.0)


async def _spread(n_nodes: int, n_routes: int, seed: int) -> SpreadCosts:
    async with open_settings_fleet(seed) as fleet:
        states = _start(fleet, n_nodes)
        await fleet.until(
            lambda: all(state.book.sync_status.complete for state in states)
        )
        await trio.sleep(_SETTLE_S)
        idle = _usage(fleet)
        await trio.sleep(_SETTLE_S)
        rate = _usage(fleet).minus(idle).times(1 / _SETTLE_S)
        begin, begun_s = _usage(fleet), trio.current_time()
        accepted = [
            await _timed(fleet, _accept(states[7 * i % n_nodes], n_routes, i))
            for i in range(_CHANGES)
        ]
        taken_s = trio.current_time() - begun_s
        used = _usage(fleet).minus(begin).minus(rate.times(taken_s))
        used = used.times(1 / _CHANGES / n_nodes)
        watched = [
            await _timed(fleet, _write_past(fleet, n_routes, i))
            for i in range(_CHANGES)
        ]
        fleet.announcement_loss = 1.0
        fleet.store.set_cut_off({state.node for state in states[1:]})
        alone = [
            await _timed(fleet, _accept(states[0], n_routes, i))
            for i in range(_CHANGES)
        ]
        return SpreadCosts(
            n_nodes=n_nodes,
            text_bytes=len(a_text(n_routes)),
            accepted_ms_p50=round(statistics.median(accepted), 1),
            accepted_ms_max=round(max(accepted), 1),
            watched_ms_p50=round(statistics.median(watched), 1),
            watched_ms_max=round(max(watched), 1),
            without_news_ms_max=round(max(alone), 1),
            bytes_per_change_and_node=round(used.n_bytes, 1),
            messages_per_change_and_node=round(used.messages, 2),
            cpu_ms_per_change_and_node=round(used.cpu_s * _MS_PER_S, 2),
            idle_bytes_per_s_and_node=round(rate.n_bytes / n_nodes, 1),
            idle_platform_calls_per_s=round(rate.platform_calls, 2),
        )


def _start(fleet: SettingsFleet, n_nodes: int) -> list[NodeState]:
    states = [
        fleet.add(f"certs-{i}", HALLS[i % len(HALLS)], ["certs-0:7000"])
        for i in range(n_nodes)
    ]
    members = [state.membership.self_member for state in states]
    for state in states:
        state.membership.merge(members, spread=False)
    return states


async def _accept(state: NodeState, n_routes: int, i: int) -> int:
    text = a_text(n_routes, i)
    result = await put_settings(state, TEAM, text, None, f"c{i}", OPERATORS_TOKEN)
    assert isinstance(result, Accepted), result
    return result.version


async def _write_past(fleet: SettingsFleet, n_routes: int, i: int) -> int:
    value = a_text(n_routes, i).encode()
    result = await fleet.store.put(SETTINGS_PREFIX + TEAM, value, None)
    assert isinstance(result, StoredObject), result
    return result.version


async def _timed(fleet: SettingsFleet, change: object) -> float:
    version = await change  # type: ignore[misc]
    started = trio.current_time()
    while not fleet.in_force(TEAM, version):
        await trio.sleep(_STEP_S)
    taken = trio.current_time() - started
    await trio.sleep(1.0)
    return taken * _MS_PER_S


@dataclass(frozen=True, slots=True)
class _Usage:
    """What a fleet has used so far, or within some time."""

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


def _usage(fleet: SettingsFleet) -> _Usage:
    counts = fleet.store.counts
    calls = counts.reads + counts.writes + counts.watches
    traffic = fleet.traffic
    return _Usage(traffic.n_bytes, traffic.messages, calls, time.process_time())


def _median_us(function: Callable[[], object], n_calls: int) -> float:
    taken = []
    for _ in range(_ROUNDS):
        started = time.perf_counter()
        for _ in range(n_calls):
            function()
        taken.append((time.perf_counter() - started) / n_calls)
    return round(statistics.median(taken) * _US_PER_S, 3)


def main(argv: list[str]) -> int:
    """Run the bench.

    Parameters
    ----------
    argv : list of str
        Flags: ``--json``, ``--routes 10,100``, ``--nodes 12,48``.

    Returns
    -------
    int
        Exit status.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_bool("json", False, "Print JSON only.", values)
    flags.DEFINE_list("routes", ["10", "100", "1000"], "Sizes of text.", values)
    flags.DEFINE_list("nodes", ["12", "48"], "Sizes of fleet.", values)
    values(["settings", *argv])
    found = {
        "match": [asdict(match_costs(int(n))) for n in values.routes],
        "spread": [asdict(spread_costs(int(n))) for n in values.nodes],
    }
    print(json.dumps(found, indent=None if values.json else 2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
