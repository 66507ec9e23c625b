"""Random selection of the one to three faults of a run, which often overlap."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from fuchsiagap_standins.bench.faults.topology import DATA_CENTRES, NODES

if TYPE_CHECKING:
    import random

# Bounds of the start of a fault in seconds of virtual time, while the load runs.
FIRST_FAULT_S = 2.3
LAST_FAULT_S = 7.0


class FaultKind(StrEnum):
    """Kinds of faults that can be injected."""

    PLATFORM_DOWN = "platform-down"
    PLATFORM_SLOW = "platform-slow"
    PLATFORM_ANSWERS_LOST = "platform-answers-lost"
    PARTITION = "partition"
    PAUSE = "pause"
    LAPSED_WHILE_PAUSED = "lapsed-while-paused"
    CRASH = "crash"
    RESTART = "restart"
    DATA_CENTRE_CRASH = "data-centre-crash"
    PLANNED_STOP = "planned-stop"
    ROLLING_RESTART = "rolling-restart"
    LINKS_LOST = "links-lost"
    FRAMES_DELAYED = "frames-delayed"
    ANSWERS_DELAYED = "answers-delayed"
    REQUESTS_DELAYED = "requests-delayed"
    SERVICE_SLOW = "service-slow"
    BACKEND_CRASH = "backend-crash"
    HARD_RETRIES = "hard-retries"
    RACING_OPERATORS = "racing-operators"


# Bounds of the duration of a fault in seconds, for kinds with bounds of their own. A
# `PAUSE` is shorter than the heartbeat interval, whereas a node that is paused by
# `LAPSED_WHILE_PAUSED` misses heartbeats.
_MIN_DURATION_S = {
    FaultKind.LAPSED_WHILE_PAUSED: 2.5,
    FaultKind.PARTITION: 1.0,
}
_MAX_DURATION_S = {
    FaultKind.PAUSE: 0.6,
    FaultKind.FRAMES_DELAYED: 0.4,
}


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a run.

    Parameters
    ----------
    kind : FaultKind
        Kind of the fault.
    at, duration : float
        Start and duration in seconds of virtual time.
    node : str
        Affected node, used by kinds that affect one node or service.
    data_centre : str
        Affected data centre, used by kinds that affect one data centre.
    """

    kind: FaultKind
    at: float
    duration: float
    node: str
    data_centre: str


def draw_faults(rng: random.Random) -> tuple[Fault, ...]:
    """Draw the faults of a run; about half of the runs have an overlapping pair.

    Parameters
    ----------
    rng : random.Random
        Random numbers of the run.

    Returns
    -------
    tuple of Fault
        One to three faults, ordered by start.
    """
    first = _draw(rng, rng.uniform(FIRST_FAULT_S, LAST_FAULT_S))
    faults = [first]
    if rng.random() < 0.5:
        overlap_at = first.at + rng.random() * first.duration
        faults.append(_draw(rng, min(overlap_at, LAST_FAULT_S)))
    if rng.random() < 0.3:
        faults.append(_draw(rng, rng.uniform(FIRST_FAULT_S, LAST_FAULT_S)))
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw(rng: random.Random, at: float) -> Fault:
    kind = rng.choice(tuple(FaultKind))
    min_duration = _MIN_DURATION_S.get(kind, 0.2)
    max_duration = _MAX_DURATION_S.get(kind, 4.0)
    return Fault(
        kind=kind,
        at=at,
        duration=rng.uniform(min_duration, max_duration),
        node=rng.choice(NODES)[0],
        data_centre=rng.choice(DATA_CENTRES),
    )
