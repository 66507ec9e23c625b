"""Confirmation that a backend server is alive after a start of its node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.incarnation import MAX_REPORT_DELAY_MS

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Share of the interval between heartbeats by which two of them have to be apart to
# show that a server is alive. Delayed heartbeats may arrive together.
_MIN_SPACING = 0.5


class Confirmation:
    """Whether heartbeats show that a server is alive since the process runs.

    One heartbeat may have been sent before a departure that an earlier process of the
    node acknowledged. Neither other nodes nor the store have that departure for
    certain, as all may have been down together.

    Parameters
    ----------
    started_at : float
        Time at which the process was started, in milliseconds. No earlier process has
        acknowledged a departure since.

    Attributes
    ----------
    is_first_process : bool
        Whether no earlier process of the node can have acknowledged a departure.
    knows_departures : bool
        Whether the departures that an earlier process stored are known.
    is_confirmed : bool
        Whether a server is known to be alive. Holds for all later servers as well.
    """

    def __init__(self, started_at: Milliseconds) -> None:
        self._started_at = started_at
        self._first_report_at = started_at
        self.is_first_process = True
        self.knows_departures = True
        self.is_confirmed = False

    def begin(self, now: Milliseconds) -> None:
        """Record the first report of an incarnation."""
        self._first_report_at = now

    def allows_use(
        self,
        now: Milliseconds,
        heartbeat_age: Milliseconds,
        heartbeat: Milliseconds,
        drain: Milliseconds,
    ) -> bool:
        """Whether the server may get requests.

        Without a second heartbeat it may only for as long as requests may follow the
        acknowledgement of a departure. Otherwise no server would be in use for a whole
        interval after a restart of all nodes.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        heartbeat_age : float
            Milliseconds since the last heartbeat.
        heartbeat : float
            Interval between heartbeats in milliseconds.
        drain : float
            Milliseconds from an acknowledgement until the last request.
        """
        uptime = now - self._started_at
        last_report_at = now - heartbeat_age
        spacing = last_report_at - self._first_report_at
        self.is_confirmed = (
            self.is_confirmed
            or self.is_first_process
            or last_report_at - self._started_at > MAX_REPORT_DELAY_MS
            or spacing >= _MIN_SPACING * heartbeat
        )
        return self.is_confirmed or (self.knows_departures and uptime < drain)
