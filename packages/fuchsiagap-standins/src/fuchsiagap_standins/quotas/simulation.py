"""Compares quota algorithms with an exact token bucket in a simulation.

Run as ``python -m fuchsiagap_standins.quotas.simulation [SEED]``; prints a table.
"""

from __future__ import annotations

import sys
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.workspaces.token_bucket import TokenBucket
from fuchsiagap_standins.quotas.algorithms import ALGORITHMS, Fleet
from fuchsiagap_standins.quotas.scenario import Scenario, generate_requests

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_standins.quotas.algorithms import QuotaAlgorithm

# Length of the sliding window in which admitted requests are counted, and the tolerance
# above the quota: a share of it, and a number of requests.
WINDOW_MS = 5_000.0
RELATIVE_TOLERANCE = 0.1
ABSOLUTE_TOLERANCE = 20.0
# Milliseconds between two killed nodes; each is down until the next one is killed.
_KILL_MS = 1_000.0

SCENARIOS = (
    Scenario("calm, 10 nodes", 10),
    Scenario("calm, 60 nodes", 60),
    Scenario("calm, 300 nodes", 300),
    Scenario("calm, 3,200 nodes", 3_200),
    Scenario("one workspace at 7.5 times its rate, 60 nodes", 60, hot_factor=7.5),
    Scenario("one workspace at 7.5 times its rate, 300 nodes", 300, hot_factor=7.5),
    Scenario("half of the callers move, 60 nodes", 60, moves=True),
    Scenario("a node a second is killed, 60 nodes", 60, kills=True),
    Scenario(
        "a node a second is killed, and 7.5 times the rate",
        60,
        kills=True,
        hot_factor=7.5,
    ),
    Scenario("a data centre is partitioned, 60 nodes", 60, partitions=True),
    Scenario(
        "a data centre is partitioned, and 7.5 times the rate",
        60,
        partitions=True,
        hot_factor=7.5,
    ),
)


@dataclass(frozen=True, slots=True)
class Figures:
    """Result of a simulation.

    Parameters
    ----------
    overrun : float
        Maximum over all workspaces and windows of the number of admitted requests,
        relative to the quota with its tolerance. Above 1, the quota is exceeded.
    refused : float
        Share of the requests within the quota that were refused.
    messages, n_bytes : float
        Messages and bytes sent per second and node.
    """

    overrun: float
    refused: float
    messages: float
    n_bytes: float


class _Window:
    """Sliding window over the admitted requests of one workspace.

    Parameters
    ----------
    workspace : Workspace
        Workspace with its rate and burst.

    Attributes
    ----------
    worst : float
        Maximum number of admitted requests in a window, relative to the limit.
    """

    def __init__(self, workspace: Workspace) -> None:
        exact_limit = workspace.rate * WINDOW_MS / MS_PER_S + workspace.burst
        self._max_admitted = (
            exact_limit * (1.0 + RELATIVE_TOLERANCE) + ABSOLUTE_TOLERANCE
        )
        self._at: deque[Milliseconds] = deque()
        self.worst = 0.0

    def add(self, now: Milliseconds) -> None:
        """Count a request that is admitted now."""
        while self._at and self._at[0] <= now - WINDOW_MS:
            self._at.popleft()
        self._at.append(now)
        self.worst = max(self.worst, len(self._at) / self._max_admitted)


def simulate(
    scenario: Scenario,
    make: Callable[[Fleet, Sequence[Workspace]], QuotaAlgorithm],
    seed: int,
) -> Figures:
    """Simulate a scenario with one algorithm.

    Parameters
    ----------
    scenario : Scenario
        Load and faults.
    make : callable
        Returns the algorithm for a fleet and its workspaces.
    seed : int
        Random seed of the generated requests.

    Returns
    -------
    Figures
        Result of the simulation.
    """
    workspaces = scenario.workspaces()
    fleet = Fleet(scenario, [0.0] * scenario.n_nodes)
    algorithm = make(fleet, workspaces)
    oracle = [TokenBucket(0.0, is_full=True) for _ in workspaces]
    windows = [_Window(workspace) for workspace in workspaces]
    admissible = refused = 0
    for request in generate_requests(scenario, seed):
        now = request.at
        _inject_faults(scenario, fleet, algorithm, now)
        algorithm.tick(now)
        if request.node in fleet.down:
            continue
        quota = workspaces[request.workspace]
        exact = oracle[request.workspace]
        exact.fill(quota.rate, quota.burst, now)
        is_admissible = exact.take(1) == 1
        admissible += is_admissible
        if algorithm.admits(request.node, request.workspace, now):
            windows[request.workspace].add(now)
        else:
            refused += is_admissible
    seconds = scenario.length / MS_PER_S * scenario.n_nodes
    return Figures(
        max(window.worst for window in windows),
        refused / max(admissible, 1),
        algorithm.messages / seconds,
        algorithm.n_bytes / seconds,
    )


def _inject_faults(
    scenario: Scenario, fleet: Fleet, algorithm: QuotaAlgorithm, now: Milliseconds
) -> None:
    """Apply the kills, restarts and the partition that are due now."""
    if scenario.kills:
        victim = int(now // _KILL_MS) * 7 % scenario.n_nodes
        if victim not in fleet.down:
            for node in fleet.down:
                fleet.started[node] = now
            fleet.down = {victim}
            algorithm.restart(victim)
    is_partitioned = scenario.partitions and scenario.is_middle_third(now)
    if is_partitioned and not fleet.is_partitioned:
        fleet.partitioned_at = now
    fleet.is_partitioned = is_partitioned


def main() -> None:
    """Simulate all scenarios with all algorithms and print a table."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    head = (
        "| scenario | algorithm | max overrun | refused in quota | messages | bytes |"
    )
    print(head, "|---|---|---|---|---|---|", sep="\n")
    for scenario in SCENARIOS:
        for name, make in ALGORITHMS.items():
            found = simulate(scenario, make, seed)
            print(
                f"| {scenario.name} | {name} | {found.overrun:.2f}"
                f" | {100 * found.refused:.2f}% | {found.messages:.1f}"
                f" | {found.n_bytes:.0f} |"
            )


if __name__ == "__main__":
    main()
