"""The load that a backend server states in its responses, and its present speed.

Servers share their hosts with other programs. A server may state how long work takes on
its host at present, in percent of the usual time.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Time that work takes at a server without a usable figure, in percent of the usual.
USUAL_SPEED = 100
# Speed of an incarnation that has stated none.
NO_SPEED = 0
# Milliseconds for which a figure is used; it changes many times per second.
MAX_AGE_MS = 500.0
# A figure above the usual one that has been repeated in each report for this long is
# taken for a fault of the server. A server that is slow in 15 of 100 intervals of
# 600 ms is slow for eight intervals in a row once in 4 million intervals.
STUCK_AFTER_MS = 5_000.0
_MAX_STATED = 10_000
# Bounds of the figure that is used, so that one absurd figure does not make a whole
# service look overloaded or a server look idle.
_MIN_USED = 25
_MAX_USED = 1_000
_NUMBER = re.compile(rb"\d{1,9}", re.ASCII)
# Maximum number of characters shown of a value that is malformed.
_SHOWN_CHARS = 60


class InvalidLoadError(Exception):
    """A response states a malformed load; the message has the value.

    Parameters
    ----------
    kind : str
        What is malformed: ``count``, ``number`` or ``speed``.
    value : bytes
        The value.
    expected : str
        What was expected.
    """

    def __init__(self, kind: str, value: bytes, expected: str) -> None:
        text = value[: _SHOWN_CHARS + 1].decode("latin-1")
        if len(text) > _SHOWN_CHARS:
            text = text[:_SHOWN_CHARS] + "..."
        super().__init__(f"load: got {text!r}, expected {expected}")
        self.kind = kind


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a server states in a response.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that run and that wait at the server, and its slots.
    speed : int or None, default=None
        Time that work takes now, in percent of the usual; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    speed: int | None = None


def parse_server_load(value: bytes) -> ServerLoad:
    """Parse the header that states the load.

    Parameters
    ----------
    value : bytes
        Three or four numbers, separated by commas.

    Raises
    ------
    InvalidLoadError
        If the value is malformed, or the speed is not between 1 and 10,000 percent.
    """
    figures = [figure.strip(b" \t") for figure in value.split(b",", 4)]
    if len(figures) not in (3, 4):
        raise InvalidLoadError("count", value, "three or four numbers")
    if not all(_NUMBER.fullmatch(figure) for figure in figures):
        raise InvalidLoadError("number", value, "ASCII digits")
    running, waiting, slots, *rest = map(int, figures)
    speed = rest[0] if rest else None
    if speed is not None and not 1 <= speed <= _MAX_STATED:
        raise InvalidLoadError("speed", value, f"a speed from 1 to {_MAX_STATED}")
    return ServerLoad(running, waiting, slots, speed)


class PresentSpeed:
    """Speed that one incarnation of a backend server states."""

    def __init__(self) -> None:
        self._stated = NO_SPEED
        self._stated_at: Milliseconds = float("-inf")
        self._unchanged_since: Milliseconds = float("-inf")

    def record(self, load: ServerLoad, now: Milliseconds) -> None:
        """Record the load in a response that arrived at `now`, in milliseconds."""
        if load.speed is None:
            return
        if load.speed != self._stated or self.age(now) > MAX_AGE_MS:
            self._unchanged_since = now
        self._stated = load.speed
        self._stated_at = now

    def age(self, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds since the last figure; infinite without one."""
        return now - self._stated_at

    def is_stuck(self) -> bool:
        """Whether the figure is not used because it has not changed for too long."""
        return self._stated_at - self._unchanged_since >= STUCK_AFTER_MS

    def speed(self, now: Milliseconds) -> int:
        """Return the time that work takes, in percent of the usual.

        Parameters
        ----------
        now : float
            Time in milliseconds.

        Returns
        -------
        int
            `NO_SPEED` if none was ever stated; `USUAL_SPEED` if the figure is outdated
            or stuck; otherwise the figure, within bounds.
        """
        if self._stated == NO_SPEED:
            return NO_SPEED
        if self.age(now) > MAX_AGE_MS or self.is_stuck():
            return USUAL_SPEED
        return min(max(self._stated, _MIN_USED), _MAX_USED)
