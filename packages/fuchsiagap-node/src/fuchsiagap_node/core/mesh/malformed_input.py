"""Description of malformed input from other systems."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MalformedInput:
    """A report or a store entry that does not have the expected form.

    Parameters
    ----------
    place : str
        Source of the input: a request target, or the name of an entry.
    reason : str
        Which part is wrong, and what was expected.
    """

    place: str
    reason: str
