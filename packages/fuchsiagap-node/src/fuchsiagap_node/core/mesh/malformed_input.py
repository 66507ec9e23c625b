"""Words from outside that say nothing that can be believed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A report or an entry that is not as it must be.

    Parameters
    ----------
    place : str
        What it is: a target, or the name of an entry.
    reason : str
        Which part of it is wrong, and what was expected.
    """

    place: str
    reason: str
