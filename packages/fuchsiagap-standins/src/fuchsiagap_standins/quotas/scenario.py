"""Defines the load of workspaces on many nodes, and the faults of the nodes."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.workspaces.model import Workspace

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

# Number of data centres, over which the nodes are spread in turn.
N_DATA_CENTRES = 3


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of a simulation.

    Parameters
    ----------
    name : str
        Name of the scenario in the printed table.
    n_nodes : int
        Number of nodes.
    n_workspaces : int
        Number of workspaces. Their request rates follow a power law, so that a few of
        them are large.
    rate : float
        Requests per second of all workspaces together.
    quota_factor : float
        Ratio of the rate limit of a workspace to its mean request rate.
    hot_factor : float
        Factor of the request rate of the largest workspace in the middle third of the
        simulation.
    moves : bool
        Whether half of the requests are sent to nodes of another data centre in the
        middle third.
    kills : bool
        Whether a node is killed each second and restarted a second later.
    partitions : bool
        Whether one data centre is partitioned from the others in the middle third.
    length : float
        Duration in milliseconds.
    """

    name: str
    n_nodes: int
    n_workspaces: int = 71
    rate: float = 2_000.0
    quota_factor: float = 1.6
    hot_factor: float = 1.0
    moves: bool = False
    kills: bool = False
    partitions: bool = False
    length: Milliseconds = 18_000.0

    def is_middle_third(self, now: Milliseconds) -> bool:
        """Whether a time is in the middle third of the simulation."""
        return self.length / 3 <= now < self.length * 2 / 3

    def mean_rates(self) -> list[float]:
        """Return the mean number of requests per second of each workspace."""
        weights = [1.0 / (number + 1) ** 0.8 for number in range(self.n_workspaces)]
        total = sum(weights)
        return [self.rate * weight / total for weight in weights]

    def workspaces(self) -> list[Workspace]:
        """Return the workspaces with their rate limits."""
        limits = [
            max(round(self.quota_factor * mean_rate), 1)
            for mean_rate in self.mean_rates()
        ]
        return [
            Workspace(f"w{number}", rate=float(limit), burst=float(limit))
            for number, limit in enumerate(limits)
        ]


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A request of a workspace.

    Parameters
    ----------
    at : float
        Arrival time in milliseconds.
    workspace, node : int
        Index of the workspace, and of the node that receives the request.
    """

    at: Milliseconds
    workspace: int
    node: int


def generate_requests(scenario: Scenario, seed: int) -> list[QuotaRequest]:
    """Return the requests of a scenario in order of arrival."""
    rng = random.Random(seed)
    arrivals = []
    for workspace, mean_rate in enumerate(scenario.mean_rates()):
        # Callers of a small workspace use few nodes, those of a large one use all.
        n_caller_nodes = min(max(round(mean_rate), 2), scenario.n_nodes)
        caller_nodes = rng.sample(range(scenario.n_nodes), n_caller_nodes)
        for at in _arrival_times(scenario, workspace, mean_rate, rng):
            node = rng.choice(caller_nodes)
            if scenario.moves and scenario.is_middle_third(at) and rng.random() < 0.5:
                node = (node + 1) % scenario.n_nodes
            arrivals.append(QuotaRequest(at, workspace, node))
    return sorted(arrivals, key=lambda request: request.at)


def _arrival_times(
    scenario: Scenario, workspace: int, mean_rate: float, rng: random.Random
) -> Iterator[Milliseconds]:
    at = 0.0
    while True:
        hot = workspace == 0 and scenario.is_middle_third(at)
        rate = mean_rate * (scenario.hot_factor if hot else 1.0)
        at += MS_PER_S * rng.expovariate(rate)
        if at >= scenario.length:
            return
        yield at
