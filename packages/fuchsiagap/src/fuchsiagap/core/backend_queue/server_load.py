"""The load that a backend server states in its responses, and its present speed.

Servers share their hosts with other programs. A server may state how long work takes on
its host at present, in percent of the usual time.
"""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass
from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Time that work takes at a server without a usable figure, in percent of the usual.
USUAL_SPEED = 100
# Speed of an incarnation that has stated none.
NO_SPEED = 0
# Milliseconds for which a figure is used; it changes many times per second.
MAX_AGE_MS = 500.0
# Milliseconds between two figures that are kept to find the usual one of a server, and
# their number: 6 s. A server that is slow in 15 of 100 intervals of 600 ms is usual in
# most of ten intervals, and a figure that is repeated for longer counts as usual.
_KEPT_EVERY_MS = 200.0
_N_KEPT = 30
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
    """Speed that one incarnation of a backend server states, relative to its usual one.

    Servers on slower hosts state a higher figure at all times. Their usual service time
    is measured, so that only changes of the figure count here: it is compared with the
    median of the figures of the last seconds.
    """

    def __init__(self) -> None:
        self._stated = NO_SPEED
        self._stated_at: Milliseconds = float("-inf")
        self._kept: deque[int] = deque(maxlen=_N_KEPT)
        self._kept_at: Milliseconds = float("-inf")
        self._usual = USUAL_SPEED

    def record(self, load: ServerLoad, now: Milliseconds) -> None:
        """Record the load in a response that arrived at `now`, in milliseconds."""
        if load.speed is None:
            return
        self._stated = load.speed
        self._stated_at = now
        if now - self._kept_at >= _KEPT_EVERY_MS:
            self._kept.append(load.speed)
            self._kept_at = now
            self._usual = median_low(self._kept)

    def age(self, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds since the last figure; infinite without one."""
        return now - self._stated_at

    @property
    def usual(self) -> int:
        """Figure that the server states usually; `USUAL_SPEED` before the first."""
        return self._usual

    def speed(self, now: Milliseconds) -> int:
        """Return the time that work takes, in percent of the usual at this server.

        Parameters
        ----------
        now : float
            Time in milliseconds.

        Returns
        -------
        int
            `NO_SPEED` if none was ever stated; `USUAL_SPEED` if the figure is outdated;
            otherwise the figure relative to the usual one, within bounds.
        """
        if self._stated == NO_SPEED:
            return NO_SPEED
        if self.age(now) > MAX_AGE_MS:
            return USUAL_SPEED
        relative = round(USUAL_SPEED * self._stated / self._usual)
        return min(max(relative, _MIN_USED), _MAX_USED)
