"""Health of one backend server: failure rate, liveness and reachability."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Weight of one request in the moving failure rate: about the last 30 requests count.
_FAILURE_WEIGHT = 0.03
# Time constant (to 1/e), in milliseconds, by which the failure rate of an unused server
# decays, so that the server is tried again.
_FAILURE_DECAY_MS = 4_000.0
# Milliseconds for which a server that refused a connection gets no requests.
_UNREACHABLE_MS = 400.0
# Heartbeat intervals without a heartbeat after which a server that answers no requests
# counts as dead.
_MISSED_HEARTBEATS = 3.0
# The same after the first heartbeat, whether the server answers or not: it may have
# been sent before the server announced its departure to an earlier process.
_MISSED_AFTER_FIRST_HEARTBEAT = 2.0
# Milliseconds after an answer for which a server counts as alive without heartbeats.
_ALIVE_AFTER_ANSWER_MS = 1_500.0


class _DecayingShare:
    """Share of recent requests with an outcome, which decays without requests.

    Parameters
    ----------
    now : float
        Time in milliseconds.
    """

    def __init__(self, now: Milliseconds) -> None:
        self._share = 0.0
        self._at = now

    def record(self, matches: bool, now: Milliseconds) -> None:
        """Add a request, and whether it had the outcome."""
        known = self.at(now)
        self._share = known + (float(matches) - known) * _FAILURE_WEIGHT

    def reset(self) -> None:
        """Forget all requests."""
        self._share = 0.0

    def at(self, now: Milliseconds) -> float:
        """Return the share at a time in milliseconds."""
        self._share *= math.exp((self._at - now) / _FAILURE_DECAY_MS)
        self._at = now
        return self._share


class ServerHealth:
    """Tracks the failure rate and the liveness of one backend server.

    Parameters
    ----------
    now : float
        Time of creation in milliseconds; it counts as a heartbeat.
    """

    def __init__(self, now: Milliseconds) -> None:
        self._failing = _DecayingShare(now)
        self._refusing = _DecayingShare(now)
        self._unreachable_until = 0.0
        self._heartbeat_at = now
        self._n_heartbeats = 0
        self._answered_at = float("-inf")

    def record_heartbeat(self, now: Milliseconds) -> None:
        """Record a heartbeat, which also makes an unreachable server usable again."""
        self._heartbeat_at = now
        self._n_heartbeats += 1
        self._unreachable_until = 0.0

    def record_answer(self, now: Milliseconds) -> None:
        """Record that the server answered a request, whatever the status."""
        self._answered_at = now

    def record_unreachable(self, now: Milliseconds) -> None:
        """Record that the server refused a connection."""
        self._unreachable_until = now + _UNREACHABLE_MS

    def record_outcome(self, failed: bool, now: Milliseconds) -> None:
        """Add the outcome of a request to the failure rate."""
        self._failing.record(failed, now)

    def record_response(self, refused_with_free_slot: bool, now: Milliseconds) -> None:
        """Record whether a response refused a request although it stated free slots."""
        self._refusing.record(refused_with_free_slot, now)

    def forget_failures(self) -> None:
        """Reset the failure rates, as for a new incarnation."""
        self._failing.reset()
        self._refusing.reset()

    def failing(self, now: Milliseconds) -> float:
        """Return the share of recent requests that were refused or failed."""
        return self._failing.at(now)

    def refusing(self, now: Milliseconds) -> float:
        """Return the share of recent responses that refused despite free slots."""
        return self._refusing.at(now)

    def heartbeat_age(self, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds since the last heartbeat, or since creation."""
        return now - self._heartbeat_at

    def is_usable(self, now: Milliseconds, heartbeat: Milliseconds) -> bool:
        """Whether the server is alive and accepts connections.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        heartbeat : float
            Heartbeat interval of the server in milliseconds.
        """
        return now >= self._unreachable_until and self.is_alive(now, heartbeat)

    def is_alive(self, now: Milliseconds, heartbeat: Milliseconds) -> bool:
        """Whether the server recently sent a heartbeat or answered a request.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        heartbeat : float
            Heartbeat interval of the server in milliseconds.
        """
        age = self.heartbeat_age(now)
        if self._n_heartbeats == 1:
            return age < _MISSED_AFTER_FIRST_HEARTBEAT * heartbeat
        if age < _MISSED_HEARTBEATS * heartbeat:
            return True
        return now - self._answered_at < _ALIVE_AFTER_ANSWER_MS
