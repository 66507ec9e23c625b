"""Measure the cost of recording telemetry and of reading it.

Examples
--------
``python -m fuchsiagap_standins.bench telemetry --json``
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
import tracemalloc
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import trio_clock
from fuchsiagap.core.telemetry.events import DEFAULT_RING_SIZE, EventKind
from fuchsiagap.core.telemetry.metrics import Counter, Measure
from fuchsiagap.core.telemetry.telemetry import (
    Telemetry,
    TelemetrySettings,
    make_telemetry,
)
from fuchsiagap_node.core.edges.metrics_text import metrics_text

if TYPE_CHECKING:
    from collections.abc import Callable

_N_ROUNDS = 9
_N_CALLS = 20_000
_N_ROUTES = 20
_OUTCOMES = ("answered", "refused", "unknown")
_US_PER_S = 1e6
_MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class TelemetryCosts:
    """Costs of recording and reading telemetry.

    Parameters
    ----------
    tick_us, record_us, count_us, observe_us : float
        Median time to take a hybrid logical clock stamp, record an event with two
        details, increment a counter and record a histogram value, without the cost
        of the loop.
    flush_us : float
        Time per value to move buffered values to a histogram.
    ring_size : int
        Number of events in a full ring buffer.
    ring_bytes, ring_bytes_per_event : float
        Memory of a full ring buffer, in total and per event.
    histogram_bytes : float
        Memory of one histogram with its buffered values.
    page_ms : float
        Median time to read a page of 1,000 events.
    select_ms : float
        Median time to find the events of one call in a full ring buffer.
    text_ms : float
        Time to render all metrics as text, with 20 routes and three outcomes.
    """

    tick_us: float
    record_us: float
    count_us: float
    observe_us: float
    flush_us: float
    ring_size: int
    ring_bytes: float
    ring_bytes_per_event: float
    histogram_bytes: float
    page_ms: float
    select_ms: float
    text_ms: float


def measure() -> TelemetryCosts:
    """Measure all costs within a trio run, as in a node."""
    return trio.run(_measure)


async def _measure() -> TelemetryCosts:
    ring_bytes = _allocated_bytes(_telemetry_with_full_ring)
    histogram_bytes = _allocated_bytes(_telemetry_with_histogram)
    telemetry = _telemetry_with_full_ring()
    costs = _measure_call_path(telemetry)
    flush_us = _measure_flush(telemetry)
    _fill_histograms(telemetry)
    started_s = time.perf_counter()
    await metrics_text(telemetry)
    text_ms = (time.perf_counter() - started_s) * _MS_PER_S
    ring = telemetry.ring
    return TelemetryCosts(
        **costs,
        flush_us=flush_us,
        ring_size=len(ring),
        ring_bytes=ring_bytes,
        ring_bytes_per_event=round(ring_bytes / len(ring), 1),
        histogram_bytes=histogram_bytes,
        page_ms=_median_ms(lambda: ring.since(limit=1_000)),
        select_ms=_median_ms(lambda: ring.since(call="call-7")),
        text_ms=round(text_ms, 3),
    )


def _new_telemetry() -> Telemetry:
    return make_telemetry(TelemetrySettings(), "bench", trio_clock())


def _telemetry_with_full_ring() -> Telemetry:
    telemetry = _new_telemetry()
    for number in range(DEFAULT_RING_SIZE):
        # A call records four events.
        call_id, root_id = f"call-{number // 4}", f"root-{number // 8}"
        telemetry.ring.record(
            EventKind.CALL_RECEIVED, call_id, root_id, route="certs/issue", priority=1
        )
    return telemetry


def _telemetry_with_histogram() -> Telemetry:
    telemetry = _new_telemetry()
    rng = random.Random(1)
    for _ in range(_N_CALLS):
        value = rng.lognormvariate(2.0, 1.0)
        telemetry.metrics.observe(Measure.LATENCY, "certs/issue", "answered", value)
    return telemetry


def _allocated_bytes(make: Callable[[], Telemetry]) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(after - before)


def _measure_call_path(telemetry: Telemetry) -> dict[str, float]:
    ring, metrics = telemetry.ring, telemetry.metrics
    rng = random.Random(2)
    values = [rng.lognormvariate(2.0, 1.0) for _ in range(_N_CALLS)]

    def tick(_: int) -> None:
        telemetry.hlc.tick()

    def record(_: int) -> None:
        ring.record(EventKind.CALL_RECEIVED, "c", "r", route="certs/issue", priority=1)

    def count(_: int) -> None:
        metrics.count(Counter.CALLS, "certs/issue")

    def observe(index: int) -> None:
        metrics.observe(Measure.LATENCY, "certs/issue", "answered", values[index])

    steps = {"tick": tick, "record": record, "count": count, "observe": observe}
    empty_us = _per_call_us(lambda _: None)
    return {
        f"{name}_us": round(_per_call_us(step) - empty_us, 3)
        for name, step in steps.items()
    }


def _per_call_us(step: Callable[[int], None]) -> float:
    rounds = []
    for _ in range(_N_ROUNDS):
        started_s = time.perf_counter()
        for index in range(_N_CALLS):
            step(index)
        rounds.append((time.perf_counter() - started_s) / _N_CALLS * _US_PER_S)
    return statistics.median(rounds)


def _measure_flush(telemetry: Telemetry) -> float:
    started_s = time.perf_counter()
    moved = telemetry.metrics.flush(_N_CALLS)
    return round((time.perf_counter() - started_s) / moved * _US_PER_S, 3)


def _fill_histograms(telemetry: Telemetry) -> None:
    rng = random.Random(3)
    for number in range(_N_ROUTES):
        for outcome in _OUTCOMES:
            for kind in Measure:
                for _ in range(100):
                    value = rng.lognormvariate(2.0, 1.0)
                    telemetry.metrics.observe(kind, f"route-{number}", outcome, value)


def _median_ms(step: Callable[[], object]) -> float:
    rounds = []
    for _ in range(_N_ROUNDS):
        started_s = time.perf_counter()
        step()
        rounds.append((time.perf_counter() - started_s) * _MS_PER_S)
    return round(statistics.median(rounds), 3)


def main(argv: list[str]) -> int:
    """Measure and print the costs; ``--json`` prints one JSON object.

    Parameters
    ----------
    argv : list of str
        Flag ``--json``, or none.

    Returns
    -------
    int
        Exit status; 2 for unknown flags.
    """
    unknown = [flag for flag in argv if flag != "--json"]
    if unknown:
        print(f"unknown flags {unknown}: expected --json or none", file=sys.stderr)
        return 2
    costs = asdict(measure())
    if argv:
        print(json.dumps(costs))
        return 0
    for name, value in costs.items():
        print(f"{name:22} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
