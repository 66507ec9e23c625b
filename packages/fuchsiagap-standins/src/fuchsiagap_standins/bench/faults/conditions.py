"""How tight things are in a randomised run, apart from faults."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Seconds of virtual time: load runs, then everything heals and comes to rest.
LOAD_S = 9.0


@dataclass(frozen=True, slots=True)
class Conditions:
    """How tight things are in a run, apart from faults.

    Parameters
    ----------
    slots : int
        Calls a backend server works on at once; it sheds what is more.
    kept_answers : int
        Outcomes that the home of a ticket keeps.
    mean_pause_s : float
        Seconds between two requests of a caller, on average.
    load_s : float
        Seconds at which callers send their last request.
    """

    slots: int = 20
    kept_answers: int = 50_000
    mean_pause_s: float = 0.35
    load_s: float = LOAD_S


def draw_conditions(rng: random.Random) -> Conditions:
    """Return the conditions of a run."""
    return Conditions(
        slots=rng.choice((2, 5, 20)),
        kept_answers=rng.choice((4, 50_000)),
        mean_pause_s=rng.choice((0.2, 0.35)),
    )
