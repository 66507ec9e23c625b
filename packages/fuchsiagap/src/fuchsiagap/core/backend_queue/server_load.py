"""Load that a backend server states in its responses."""

from __future__ import annotations

from dataclasses import dataclass

# Longest figure that is read, in digits.
_MAX_DIGITS = 9


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a backend server.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that run, requests that wait, and slots.
    speed : int or None
        Time that work takes at the moment, in percent of the usual; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    speed: int | None


def parse_server_load(value: bytes) -> ServerLoad | None:
    """Return the load in the value of a header; None if it is malformed."""
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) not in (3, 4):
        return None
    if not all(part.isdigit() and len(part) <= _MAX_DIGITS for part in parts):
        return None
    running, waiting, slots, *speed = map(int, parts)
    return ServerLoad(running, waiting, slots, speed[0] if speed else None)
