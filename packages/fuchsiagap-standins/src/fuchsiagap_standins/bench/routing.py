"""Measure and simulate load balancing of the router.

Examples
--------
``python -m fuchsiagap_standins.bench routing --json --only balance,hedging``
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Any, TypeAlias

from absl import flags

from fuchsiagap.core.calls.outcome import Answered
from fuchsiagap.core.clock import Clock
from fuchsiagap.core.routing.router import Instance, Router, RoutingSettings
from fuchsiagap_standins.bench.routing_load import (
    DATA_CENTRES,
    SERVICE_NAME,
    LoadRun,
    LoadSettings,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from fuchsiagap.core.clock import Milliseconds

Figures: TypeAlias = dict[str, Any]

N_NODES = 3_200
N_INSTANCES_OF_SERVICE = 400
N_TIMED_CALLS = 20_000
MEAN_SERVICE_MS = 20.0
_USAGE_STATUS = 2


def draw_exponential(rng: random.Random, _now: Milliseconds) -> Milliseconds:
    """Draw an exponentially distributed service time with a mean of 20 ms."""
    return rng.expovariate(1.0 / MEAN_SERVICE_MS)


def draw_long_tailed(rng: random.Random, _now: Milliseconds) -> Milliseconds:
    """Draw a service time of 10 to 30 ms that is ten times longer in 2 % of cases."""
    base_ms = rng.uniform(10.0, 30.0)
    return base_ms * 10.0 if rng.random() < 0.02 else base_ms


def constant_rate(rate_per_s: float) -> Callable[[Milliseconds], float]:
    """Return a function of time that gives a constant rate per second."""
    return lambda _now: rate_per_s


BASE = LoadSettings(
    n_callers=12,
    n_servers=9,
    n_slots=10,
    service_ms=draw_exponential,
    rate_per_s=constant_rate(2_250.0),
)
N_SLOTS = BASE.n_servers * BASE.n_slots
# Name, delay of the hedge in ms (the 95th percentile of the latency), and hedges per
# call.
HEDGING_VARIANTS = (("none", None, 0.0), ("p95", 40.0, 1.0), ("p95_budget", 40.0, 0.05))
# Calls per second that the nine servers of `BASE` can run.
CAPACITY_PER_S = N_SLOTS * 1000.0 / MEAN_SERVICE_MS


def measure_choose(seed: int) -> Figures:
    """Measure the time per call and per update of a router with 3,200 nodes."""
    clock = Clock(now=lambda: time.perf_counter() * 1000.0, wall=lambda: 0.0)
    router = Router(RoutingSettings(), "hall-a", clock, random.Random(seed), "certs-1")
    members = tuple(LoadRun.instance(n) for n in range(N_NODES))
    first_ms = _time_ms(lambda: _apply_update(router, members))
    time.sleep(router.cfg.update_pause / 1000.0)
    changed = (*members[1:], LoadRun.instance(0, incarnation=2))
    again_ms = _time_ms(lambda: _apply_update(router, changed))
    answer = Answered(200, (), b"")

    def run_call() -> None:
        instance = router.choose(SERVICE_NAME)
        assert instance is not None
        router.begin(instance)
        router.end(instance, answer, MEAN_SERVICE_MS)

    choose_ms = _time_ms(lambda: _repeat(lambda: router.choose(SERVICE_NAME)))
    call_ms = _time_ms(lambda: _repeat(run_call))
    return {
        "choose_us": round(choose_ms * 1000.0 / N_TIMED_CALLS, 2),
        "choose_begin_end_us": round(call_ms * 1000.0 / N_TIMED_CALLS, 2),
        "first_update_ms": round(first_ms, 1),
        "update_ms": round(again_ms, 1),
    }


def _apply_update(router: Router, members: tuple[Instance, ...]) -> None:
    router.update(members)
    router.choose(SERVICE_NAME)


def _repeat(action: Callable[[], object]) -> None:
    for _ in range(N_TIMED_CALLS):
        action()


def _time_ms(action: Callable[[], object]) -> float:
    started = time.perf_counter()
    action()
    return (time.perf_counter() - started) * 1000.0


def measure_links(seed: int) -> Figures:
    """Count the links between 3,200 nodes and the 400 instances of a service.

    Every fourth node is evaluated and counted four times.
    """
    members = tuple(LoadRun.instance(n) for n in range(N_INSTANCES_OF_SERVICE))
    clock = Clock(now=lambda: 0.0, wall=lambda: 0.0)
    links_in = dict.fromkeys((m.node for m in members), 0)
    most_out = 0
    for n in range(0, N_NODES, 4):
        data_centre = DATA_CENTRES[n % 3]
        name, rng = f"certs-{n}", random.Random(seed + n)
        router = Router(RoutingSettings(), data_centre, clock, rng, name)
        router.update(members)
        linked = router.linked(SERVICE_NAME)
        most_out = max(most_out, len(linked))
        for node in linked:
            links_in[node] += 4
    return {
        "links_out_max": most_out,
        "links_in_mean": statistics.mean(links_in.values()),
        "links_in_max": max(links_in.values()),
    }


def measure_balance(seed: int) -> Figures:
    """Compare the router with random choice at several utilisations."""
    figures: Figures = {}
    for utilisation in (0.5, 0.8, 0.9):
        rate = constant_rate(CAPACITY_PER_S * utilisation)
        for choose in ("random", "router"):
            cfg = replace(BASE, rate_per_s=rate, choose=choose)
            run = LoadRun(cfg, seed)
            run.run(20_000.0)
            figures[f"{choose}_{utilisation}"] = _summarize_latencies(run, 2_000.0)
    return figures


def _summarize_latencies(run: LoadRun, after: Milliseconds) -> Figures:
    values = sorted(latency for at, latency in run.latencies if at >= after)
    return {
        "p50_ms": round(values[len(values) // 2], 1),
        "p99_ms": round(values[int(len(values) * 0.99)], 1),
        "failed": sum(1 for at in run.failures if at >= after),
    }


def measure_spill(seed: int) -> Figures:
    """Overload one data centre for 10 s while the others have free capacity.

    Routers that send calls to other data centres are compared with routers that do not.
    """
    local_capacity = CAPACITY_PER_S / 3

    def rate(now: Milliseconds) -> float:
        return local_capacity * (1.8 if 10_000 <= now < 20_000 else 0.5)

    base = replace(BASE, rate_per_s=rate, caller_data_centres=("hall-a",))
    figures: Figures = {}
    for name, routing in (
        ("spill", RoutingSettings()),
        ("no_spill", RoutingSettings(spill_utilisation=1e9)),
    ):
        run = LoadRun(replace(base, routing=routing), seed)
        run.run(30_000.0)
        latencies = [latency for at, latency in run.latencies if 10_000 <= at < 20_000]
        n_failed = sum(1 for at in run.failures if 10_000 <= at < 20_000)
        figures[name] = {
            "elsewhere_before": _remote_share(run, 5_000, 10_000),
            "elsewhere_during": _remote_share(run, 11_000, 20_000),
            "elsewhere_after": _remote_share(run, 21_000, 30_000),
            "answered_during": round(len(latencies) / (len(latencies) + n_failed), 3),
            "p99_during_ms": round(sorted(latencies)[int(len(latencies) * 0.99)], 1),
        }
    return figures


def _remote_share(run: LoadRun, start: Milliseconds, end: Milliseconds) -> float:
    sent = [centre for at, _, centre in run.sent if start <= at < end]
    return round(sum(1 for centre in sent if centre != "hall-a") / len(sent), 3)


def measure_slow_start(seed: int) -> Figures:
    """Restart one of three backend servers and record its share of calls over time."""
    cfg = replace(
        BASE, caller_data_centres=("hall-a",), rate_per_s=constant_rate(800.0)
    )
    run = LoadRun(cfg, seed)

    def restart() -> None:
        run.servers["results-0"].instance = run.instance(0, incarnation=2)
        run.announce()

    run.schedule(10_000.0, restart)
    run.run(26_000.0)
    shares = {
        f"share_at_{start - 10}_s": _call_share(run, "results-0", start)
        for start in (8, 10, 12, 14, 16, 18, 20, 24)
    }
    return dict(shares)


def _call_share(run: LoadRun, node: str, start_s: int) -> float:
    start, end = start_s * 1000.0, start_s * 1000.0 + 1000.0
    sent = [name for at, name, _ in run.sent if start <= at < end]
    return round(sent.count(node) / len(sent), 3)


def measure_ejection(seed: int) -> Figures:
    """Make one backend server fail, then all, and measure the share of failed calls.

    For one failed server, routers with and without outlier ejection are compared.
    """
    figures: Figures = {}
    no_ejection = replace(BASE.routing, failures_to_eject=10**9)
    for fault in ("dead", "silent"):
        for name, routing in (
            ("ejecting", BASE.routing),
            ("not_ejecting", no_ejection),
        ):
            cfg = replace(BASE, routing=routing, timeout_ms=200.0)
            run = LoadRun(cfg, seed)
            setattr(run.servers["results-0"], f"is_{fault}", True)
            run.run(20_000.0)
            figures[f"{fault}_{name}_failed"] = _failed_share(run, 5_000.0)
    run = LoadRun(replace(BASE, timeout_ms=200.0), seed)
    for server in run.servers.values():
        server.is_dead = True
    run.run(5_000.0)
    n_ejected = max(len(c.router.ejected(SERVICE_NAME)) for c in run.callers)
    figures["all_dead_ejected_share_max"] = round(n_ejected / BASE.n_servers, 3)
    for server in run.servers.values():
        server.is_dead = False
    run.run(10_000.0)
    figures["all_back_failed_after_1_s"] = _failed_share(run, 6_000.0)
    return figures


def _failed_share(run: LoadRun, after: Milliseconds) -> float:
    n_failed = sum(1 for at in run.failures if at >= after)
    n_answered = sum(1 for at, _ in run.latencies if at >= after)
    return round(n_failed / (n_failed + n_answered), 4)


def measure_hedging(seed: int) -> Figures:
    """Measure latency and extra attempts with and without hedging at several loads."""
    figures: Figures = {}
    mean_ms = MEAN_SERVICE_MS * (0.98 + 0.02 * 10.0)
    for utilisation in (0.3, 0.6, 0.8, 0.95):
        rate = constant_rate(utilisation * N_SLOTS * 1000.0 / mean_ms)
        base = replace(BASE, service_ms=draw_long_tailed, rate_per_s=rate)
        for name, after, budget in HEDGING_VARIANTS:
            cfg = replace(base, hedge_after_ms=after, hedge_budget=budget)
            run = LoadRun(cfg, seed)
            run.run(20_000.0)
            figures[f"{name}_{utilisation}"] = {
                **_summarize_latencies(run, 2_000.0),
                "attempts_per_call": _attempts_per_call(run),
            }
    for name, after, budget in HEDGING_VARIANTS:
        figures[f"{name}_slow_spell"] = _measure_slowdown(seed, after, budget)
    return figures


def _measure_slowdown(
    seed: int, hedge_after: Milliseconds | None, hedge_budget: float
) -> Figures:
    """Slow all backend servers by a factor of 3 for 5 s at a utilisation of 0.3."""

    def service_ms(rng: random.Random, now: Milliseconds) -> Milliseconds:
        factor = 3.0 if 5_000 <= now < 10_000 else 1.0
        return rng.uniform(10.0, 30.0) * factor

    rate = constant_rate(0.3 * CAPACITY_PER_S)
    cfg = replace(
        BASE,
        service_ms=service_ms,
        rate_per_s=rate,
        hedge_after_ms=hedge_after,
        hedge_budget=hedge_budget,
    )
    run = LoadRun(cfg, seed)
    run.run(15_000.0)
    latencies = sorted(latency for at, latency in run.latencies if 5_000 <= at < 10_000)
    n_failed = sum(1 for at in run.failures if 5_000 <= at < 10_000)
    return {
        "p50_ms": round(latencies[len(latencies) // 2], 1),
        "p99_ms": round(latencies[int(len(latencies) * 0.99)], 1),
        "answered": round(len(latencies) / (len(latencies) + n_failed), 3),
        "attempts_per_call": _attempts_per_call(run),
    }


def _attempts_per_call(run: LoadRun) -> float:
    return round(len(run.sent) / (len(run.latencies) + len(run.failures)), 3)


MEASUREMENTS: dict[str, Callable[[int], Figures]] = {
    "choose": measure_choose,
    "links": measure_links,
    "balance": measure_balance,
    "spill": measure_spill,
    "slow_start": measure_slow_start,
    "ejection": measure_ejection,
    "hedging": measure_hedging,
}


def main(argv: Sequence[str]) -> int:
    """Run the selected measurements and print their results.

    Parameters
    ----------
    argv : sequence of str
        Flags ``--json``, ``--seed N`` and ``--only NAME,NAME``.

    Returns
    -------
    int
        Exit status; 2 for invalid arguments.
    """
    values = _define_flags()
    try:
        rest = values(["routing", *argv])
    except flags.Error as exc:
        print(f"{exc}\n{values.get_help()}", file=sys.stderr)
        return _USAGE_STATUS
    unknown = [*rest[1:], *(set(values.only) - set(MEASUREMENTS))]
    if unknown:
        expected = f"expected --only with names from {', '.join(MEASUREMENTS)}"
        print(
            f"unknown argument or measurement {', '.join(unknown)}: {expected}",
            file=sys.stderr,
        )
        return _USAGE_STATUS
    names = values.only or list(MEASUREMENTS)
    figures = {name: MEASUREMENTS[name](values.seed) for name in names}
    if values.json:
        print(json.dumps({"seed": values.seed, **figures}))
        return 0
    for name, result in figures.items():
        print(name)
        for key, value in result.items():
            print(f"  {key}: {value}")
    return 0


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_integer("seed", 1, "Random seed.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print one line of JSON.", flag_values=values)
    flags.DEFINE_list(
        "only", [], "Measurements to run; all by default.", flag_values=values
    )
    return values


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
