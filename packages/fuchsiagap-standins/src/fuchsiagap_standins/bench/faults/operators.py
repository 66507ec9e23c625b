"""Operators of a randomised run, who change settings concurrently."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.settings.write import (
    Accepted,
    Unsettled,
    delete_settings,
    put_settings,
)
from fuchsiagap_standins.bench.faults.topology import (
    OPERATORS_TOKEN,
    OTHER_TEAM,
    TEAMS,
    team_text,
)

if TYPE_CHECKING:
    from fuchsiagap_node.core.settings.write import WriteResult
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.bench.faults.fleet import Fleet

_MEAN_PAUSE_S = 0.4
_CHANGE_TIMEOUT_S = 6.0
_DELETE_SHARE = 0.4


@dataclass(slots=True)
class Change:
    """A settings change and its result.

    Parameters
    ----------
    change_id : str
        Unique identifier of the change.
    at : float
        Virtual time in seconds at which the change was requested.
    result : WriteResult or None
        Result reported to the operator; None before the result and after a time-out.
    """

    change_id: str
    at: float
    result: WriteResult | None = None


@dataclass(slots=True)
class Changes:
    """All settings changes of a run.

    Parameters
    ----------
    made : list of Change
        The changes in the order of their requests.
    """

    made: list[Change] = field(default_factory=list)

    def accepted(self) -> list[Change]:
        """Return the changes that were reported as accepted."""
        return [change for change in self.made if isinstance(change.result, Accepted)]

    def denied(self) -> list[Change]:
        """Return the changes that were reported as not applied."""
        possibly_applied = (Accepted, Unsettled, type(None))
        return [c for c in self.made if not isinstance(c.result, possibly_applied)]


async def run_operator(fleet: Fleet, changes: Changes, name: str, until: float) -> None:
    """Change settings repeatedly, each time through a random node.

    Parameters
    ----------
    fleet : Fleet
        The nodes.
    changes : Changes
        Collects the changes.
    name : str
        Name of the operator.
    until : float
        Virtual time in seconds at which the operator stops.
    """
    rng = random.Random(fleet.rng.getrandbits(64))
    number = 0
    while trio.current_time() < until:
        await trio.sleep(rng.expovariate(1.0 / _MEAN_PAUSE_S))
        process = fleet.processes[rng.choice(sorted(fleet.processes))]
        if process.state is None or process.exited:
            continue
        number += 1
        change = Change(f"{name}-{number}", trio.current_time())
        changes.made.append(change)
        with trio.move_on_after(_CHANGE_TIMEOUT_S):
            change.result = await _change(process.state, change.change_id, rng)


async def _change(state: NodeState, change_id: str, rng: random.Random) -> WriteResult:
    """Put the settings of a random team, or delete those of `OTHER_TEAM`."""
    team = rng.choice(TEAMS)
    current_text = state.book.text(team)
    expected = rng.choice(
        (current_text.version if current_text is not None else None, None)
    )
    if team == OTHER_TEAM and rng.random() < _DELETE_SHARE:
        return await delete_settings(state, team, expected, change_id, OPERATORS_TOKEN)
    text = team_text(rng.randrange(500))
    return await put_settings(state, team, text, expected, change_id, OPERATORS_TOKEN)
