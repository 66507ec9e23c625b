"""Requests of workspaces on many nodes, and what becomes of the nodes."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.workspaces.model import Workspace

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

# Data centres that the nodes are spread over.
N_PLACES = 3


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played.

    Parameters
    ----------
    name : str
        Name, for the table.
    n_nodes : int
        Nodes.
    n_workspaces : int
        Workspaces; their rates fall with their number, so that a few are large.
    rate : float
        Requests a second of all of them together.
    quota_times : float
        Limit of a workspace by what it usually asks for.
    hot_times : float
        By what the largest asks for more in the middle third.
    moves : bool
        Whether half of the callers go to nodes of another place in the middle third.
    kills : bool
        Whether a node is killed, and starts again a second later, each second.
    cut : bool
        Whether one place is cut off in the middle third.
    length : float
        Milliseconds.
    """

    name: str
    n_nodes: int
    n_workspaces: int = 71
    rate: float = 2_000.0
    quota_times: float = 1.6
    hot_times: float = 1.0
    moves: bool = False
    kills: bool = False
    cut: bool = False
    length: Milliseconds = 18_000.0

    def is_middle(self, now: Milliseconds) -> bool:
        """Whether a moment lies in the middle third."""
        return self.length / 3 <= now < self.length * 2 / 3

    def usual(self) -> list[float]:
        """Return the requests a second of each workspace."""
        weights = [1.0 / (number + 1) ** 0.8 for number in range(self.n_workspaces)]
        whole = sum(weights)
        return [self.rate * weight / whole for weight in weights]

    def workspaces(self) -> list[Workspace]:
        """Return the workspaces with their limits."""
        limits = [max(round(self.quota_times * usual), 1) for usual in self.usual()]
        return [
            Workspace(f"w{number}", rate=float(limit), burst=float(limit))
            for number, limit in enumerate(limits)
        ]


@dataclass(frozen=True, slots=True)
class Asked:
    """One request.

    Parameters
    ----------
    at : float
        When it comes.
    workspace, node : int
        Whose it is, and where.
    """

    at: Milliseconds
    workspace: int
    node: int


def requests(scenario: Scenario, seed: int) -> list[Asked]:
    """Return the requests of a scenario in the order of time."""
    rng = random.Random(seed)
    asked = []
    for workspace, usual in enumerate(scenario.usual()):
        # Callers of a small workspace stand on few nodes, of a large one on all.
        n_homes = min(max(round(usual), 2), scenario.n_nodes)
        homes = rng.sample(range(scenario.n_nodes), n_homes)
        for at in _times(scenario, workspace, usual, rng):
            node = rng.choice(homes)
            if scenario.moves and scenario.is_middle(at) and rng.random() < 0.5:
                node = (node + 1) % scenario.n_nodes
            asked.append(Asked(at, workspace, node))
    return sorted(asked, key=lambda request: request.at)


def _times(
    scenario: Scenario, workspace: int, usual: float, rng: random.Random
) -> Iterator[Milliseconds]:
    at = 0.0
    while True:
        hot = workspace == 0 and scenario.is_middle(at)
        rate = usual * (scenario.hot_times if hot else 1.0)
        at += MS_PER_S * rng.expovariate(rate)
        if at >= scenario.length:
            return
        yield at
