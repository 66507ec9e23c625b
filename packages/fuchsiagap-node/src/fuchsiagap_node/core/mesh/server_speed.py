"""Present speed of the local backend server, as stated in its responses."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.server_load import (
    NO_SPEED,
    USUAL_SPEED,
    InvalidLoadError,
    PresentSpeed,
    parse_server_load,
)
from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_response import Response

# Factor by which the speed must change for a status to be sent at once, and above the
# usual time of which a server counts as slow.
SPEED_CHANGE_FACTOR = 1.5
# Statuses that may be sent at once because the speed changed: a burst, and the rate at
# which it is replenished. A server that is slow in 15 of 100 intervals of 600 ms
# changes 0.43 times per second. The bound holds for figures that change more often.
_BURST = 4.0
_STATUSES_PER_S = 2.0
# Minimum milliseconds between two log lines.
_LOG_INTERVAL_MS = 1_000.0


def differs_in_speed(one: int, other: int) -> bool:
    """Whether two speeds differ by `SPEED_CHANGE_FACTOR`, or only one is stated."""
    low, high = sorted((one, other))
    return low != high and high >= SPEED_CHANGE_FACTOR * low


def is_slow(speed: int) -> bool:
    """Whether work takes longer than usual by `SPEED_CHANGE_FACTOR`."""
    return speed >= SPEED_CHANGE_FACTOR * USUAL_SPEED


class ServerSpeed:
    """Reads the present speed of the local backend server and publishes changes.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log and counters.

    Attributes
    ----------
    changed : callable
        Called when the speed has changed by `SPEED_CHANGE_FACTOR`.
    """

    def __init__(self, clock: Clock, event_log: EventLog) -> None:
        self._clock = clock
        self._event_log = event_log
        self._instance = ""
        self._present = PresentSpeed()
        self._published = NO_SPEED
        self._tokens = _BURST
        self._refilled_at = clock.now()
        self._logged_slow = False
        self._logged_at: Milliseconds = float("-inf")
        self._logged_kinds: set[str] = set()
        self.changed: Callable[[], None] = _ignore

    @property
    def speed(self) -> int:
        """Time that work takes now, in percent of the usual; `NO_SPEED` if unstated."""
        return self._present.speed(self._clock.now())

    @property
    def age(self) -> Milliseconds:
        """Milliseconds since the last figure; infinite without one."""
        return self._present.age(self._clock.now())

    @property
    def factor(self) -> float:
        """Time that work takes now, as a multiple of the usual."""
        return (self.speed or USUAL_SPEED) / USUAL_SPEED

    def begin(self, instance: str) -> None:
        """Begin with a new incarnation of the local server."""
        self._instance = instance
        self._present = PresentSpeed()
        self._logged_kinds.clear()

    def handle_response(self, instance: str, response: Response) -> None:
        """Apply the load in a response of an incarnation of the local server."""
        if instance != self._instance or not response.load:
            return
        try:
            load = parse_server_load(response.load)
        except InvalidLoadError as exc:
            self._log_malformed(exc)
            return
        self._present.record(load, self._clock.now())
        self.check()

    def check(self) -> None:
        """Publish and log the speed if it has changed by enough."""
        speed = self.speed
        if differs_in_speed(speed, self._published) and self._take_token():
            self._published = speed
            self.changed()
        now = self._clock.now()
        slow = is_slow(speed)
        if slow is not self._logged_slow and now - self._logged_at >= _LOG_INTERVAL_MS:
            self._logged_slow = slow
            self._logged_at = now
            self._event_log.event(
                "server-speed",
                instance=self._instance,
                speed=speed,
                slow=slow,
                age=round(self.age) if math.isfinite(self.age) else None,
                usual=self._present.usual,
            )

    def _take_token(self) -> bool:
        now = self._clock.now()
        refill = (now - self._refilled_at) * _STATUSES_PER_S / MS_PER_S
        self._tokens = min(self._tokens + refill, _BURST)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _log_malformed(self, error: InvalidLoadError) -> None:
        """Log a malformed load, each kind once for an incarnation."""
        self._event_log.counts["malformed_loads", ""] += 1
        if error.kind in self._logged_kinds:
            return
        self._logged_kinds.add(error.kind)
        self._event_log.event(
            "load-unreadable", instance=self._instance, reason=str(error)
        )


def _ignore() -> None:
    """Ignore a change."""
