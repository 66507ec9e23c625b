"""Results of one run, computed from its records."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_standins.bench.overload.throughput_bounds import (
    prioritized_rates,
    sum_important_rates,
    unprioritized_throughput,
)
from fuchsiagap_standins.graphs import capacity_per_s
from fuchsiagap_standins.graphs.analysis import count_calls

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_standins.bench.overload.records import Records, RequestRecord
    from fuchsiagap_standins.bench.overload.scenario import Scenario
    from fuchsiagap_standins.graphs import Graph

RECOVERY_THRESHOLD = 0.95
_STABLE_MS = 5_000.0
_WINDOW_MS = 1_000.0
_STRIDE_MS = 100.0
_BASELINE_MS = 4_000.0


def figures(graph: Graph, scenario: Scenario, records: Records) -> dict[str, Any]:
    """Return the results of a run by JSON key."""
    surge = [r for r in records.requests if scenario.is_surge(r.sent_at)]
    answered_requests = [r for r in surge if _is_answered_in_surge(r, scenario)]
    offered = _rates_by_route(graph, surge, scenario.surge)
    answered = _rates_by_route(graph, answered_requests, scenario.surge)
    slowdowns = {scenario.slow_service: scenario.slowness}
    prioritized = prioritized_rates(graph, offered, slowdowns)
    unprioritized = unprioritized_throughput(
        graph, offered, slowdowns, scenario.slow_service
    )
    important = sum_important_rates(graph.roots, prioritized)
    bounds = {r.name: attempts_bound(graph, scenario, r.name) for r in graph.roots}
    n_over_bound = sum(r.calls > bounds[r.route.name] for r in records.requests)
    worst = max(records.requests, key=lambda r: r.calls / bounds[r.route.name])
    violations = records.violations + Counter({"attempts_over_bound": n_over_bound})
    return {
        "capacity_per_s": round(capacity_per_s(graph), 2),
        "possible_per_s": round(sum(prioritized.values()), 2),
        "possible_important_per_s": round(important, 2),
        "possible_any_order_per_s": round(unprioritized, 2),
        "offered_per_s": round(sum(offered.values()), 2),
        "answered_per_s": round(sum(answered.values()), 2),
        "goodput_ratio": _ratio(sum_important_rates(graph.roots, answered), important),
        "goodput_all_ratio": _ratio(sum(answered.values()), sum(prioritized.values())),
        "recovery_ms": recovery_time(scenario, records.requests),
        "attempts_per_request_max": worst.calls,
        "attempts_bound": bounds[worst.route.name],
        "refused_by_priority": _failed_share_by_priority(surge),
        "failed_by_reason": dict(sorted(_count_failure_reasons(surge).items())),
        "answered_by_route_per_s": {k: round(v, 2) for k, v in answered.items()},
        "possible_by_route_per_s": {k: round(v, 2) for k, v in prioritized.items()},
        "priority_inversions": records.inversions,
        "wasted_work_ratio": wasted_work(surge),
        "violations": sum(violations.values()),
        "violations_by_kind": {k: n for k, n in violations.items() if n},
    }


def attempts_bound(graph: Graph, scenario: Scenario, route_name: str) -> int:
    """Return the maximum number of calls that one client request may cause."""
    route = graph.route(route_name)
    attempts = scenario.caller_retries + 1
    return attempts * count_calls(graph, route) + route.attempts


def recovery_time(
    scenario: Scenario, requests: Sequence[RequestRecord]
) -> float | None:
    """Return the time from the end of the surge until goodput has recovered.

    Goodput is the share of the requests sent in a window of 1 s that were answered
    in time. It has recovered when it stays at or above 0.95 of its value before the
    surge for 5 s.

    Parameters
    ----------
    scenario : Scenario
        Scenario of the run, with the time of the surge.
    requests : sequence of RequestRecord
        All requests of the run.

    Returns
    -------
    float or None
        Milliseconds; None if goodput did not recover within the run.
    """
    before = _answered_share(
        requests, scenario.surge_start - _BASELINE_MS, scenario.surge_start - _WINDOW_MS
    )
    threshold = RECOVERY_THRESHOLD * before
    requests_after = [r for r in requests if r.sent_at >= scenario.surge_end]
    begin = scenario.surge_end
    at = begin
    while at + _WINDOW_MS <= scenario.end:
        if _answered_share(requests_after, at, at + _WINDOW_MS) < threshold:
            begin = at + _STRIDE_MS
        elif at + _WINDOW_MS - begin >= _STABLE_MS:
            return round(begin - scenario.surge_end, 1)
        at += _STRIDE_MS
    return None


def goodput_over_time(
    requests: Sequence[RequestRecord], end: Milliseconds, bin_ms: Milliseconds
) -> list[float]:
    """Return the requests answered in time per second, binned by time of sending."""
    bins = [0] * int(end / bin_ms)
    for record in requests:
        index = int(record.sent_at / bin_ms)
        if record.answered_at is not None and index < len(bins):
            bins[index] += 1
    return [round(n * MS_PER_S / bin_ms, 1) for n in bins]


def wasted_work(requests: Sequence[RequestRecord]) -> float:
    """Return the share of backend work that did not contribute to an answer in time."""
    total = sum(sum(r.work) for r in requests)
    useful = sum(r.useful_work for r in requests)
    return round(1.0 - useful / total, 4) if total else 0.0


def _is_answered_in_surge(record: RequestRecord, scenario: Scenario) -> bool:
    """Whether a request was answered in time by an attempt sent during the surge."""
    if record.answered_at is None:
        return False
    return scenario.is_surge(record.attempt_starts[record.answered_by])


def _rates_by_route(
    graph: Graph, requests: Sequence[RequestRecord], duration: Milliseconds
) -> dict[str, float]:
    counts = Counter(record.route.name for record in requests)
    return {r.name: counts[r.name] * MS_PER_S / duration for r in graph.roots}


def _answered_share(
    requests: Sequence[RequestRecord], begin: Milliseconds, end: Milliseconds
) -> float:
    sent = [r for r in requests if begin <= r.sent_at < end]
    if not sent:
        return 1.0
    return sum(r.answered_at is not None for r in sent) / len(sent)


def _failed_share_by_priority(requests: Sequence[RequestRecord]) -> dict[str, float]:
    """Return the share of requests without an answer in time, by priority."""
    sent: Counter[int] = Counter()
    failed: Counter[int] = Counter()
    for record in requests:
        sent[record.route.priority] += 1
        failed[record.route.priority] += record.answered_at is None
    return {str(p): round(failed[p] / sent[p], 4) for p in sorted(sent)}


def _count_failure_reasons(requests: Sequence[RequestRecord]) -> Counter[str]:
    return Counter(r.last_reason for r in requests if r.answered_at is None)


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 1.0
