"""Capacity and load of a randomised run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Seconds of virtual time after which the callers send no more requests.
LOAD_S = 9.0


@dataclass(frozen=True, slots=True)
class Conditions:
    """Capacity and load of a run.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent calls of a backend server.
    kept_answers : int
        Maximum number of outcomes that the home node of a ticket keeps.
    mean_pause_s : float
        Mean time between two requests of a caller, in seconds.
    load_s : float
        Virtual time in seconds after which callers send no more requests.
    """

    slots: int = 20
    kept_answers: int = 50_000
    mean_pause_s: float = 0.35
    load_s: float = LOAD_S


def draw_conditions(rng: random.Random) -> Conditions:
    """Draw the conditions of a run."""
    return Conditions(
        slots=rng.choice((2, 5, 20)),
        kept_answers=rng.choice((4, 50_000)),
        mean_pause_s=rng.choice((0.2, 0.35)),
    )
