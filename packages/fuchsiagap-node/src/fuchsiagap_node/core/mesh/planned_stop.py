"""Decides which work may still begin while the process stops as planned."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from fuchsiagap.core.clock import Clock, Milliseconds

# Milliseconds after SIGTERM for which the backend server, which may outlive the node,
# still gets requests. This shortens its outage; the last requests have the rest of the
# stop time to finish.
_BACKEND_QUEUE_OPEN_MS = 2_000.0
# Milliseconds after SIGTERM from which new requests are refused, so that those accepted
# before can finish: callers that find too few other nodes continue to send.
_REFUSE_AFTER_MS = 3_000.0
# Milliseconds before the end of the stop time at which the process exits by itself.
_STOP_MARGIN_MS = 700.0
# Factor on the longest recent time of a route, within which a request ends.
_RESERVE_FACTOR = 1.25
# Milliseconds by which a request of a caller may take longer than others of its route.
_END_RESERVE_MS = 100.0
# Number of requests of each route whose times are known.
_N_RECENT = 64
# Factor by which the longest time of a route shrinks with each request.
_DECAY = 0.99


class Work(Enum):
    """Kinds of work that begin at a node, with the last moment during a planned stop.

    Attributes
    ----------
    CALLER_REQUEST
        An idempotent request of a caller: as long as callers may not have noticed the
        stop, if half of the requests of its route finish in the time until the exit.
    NON_IDEMPOTENT_REQUEST
        The same for a request whose outcome would remain unknown if it were broken off:
        if nine in ten finish.
    BACKEND_CALL
        A call of any node to the local backend server, or one that waits for it: for
        the first part of the stop, if it can finish before the exit.
    NESTED_CALL
        A call that the local backend server makes for a request that it runs: if it can
        finish before the exit.
    RETRY
        Another attempt for a request in progress: if it can finish before the exit.
    """

    CALLER_REQUEST = "caller request"
    NON_IDEMPOTENT_REQUEST = "non-idempotent request"
    BACKEND_CALL = "backend call"
    NESTED_CALL = "nested call"
    RETRY = "retry"


# Share of the recent requests of a route that have to finish in the time until the exit
# for another one to begin.
_FINISHING_SHARES = {Work.CALLER_REQUEST: 0.5, Work.NON_IDEMPOTENT_REQUEST: 0.9}


class RouteTimes:
    """Recent times of the requests of each route, in milliseconds."""

    def __init__(self) -> None:
        self._longest: dict[str, Milliseconds] = {}
        self._recent: dict[str, deque[Milliseconds]] = {}

    def record(self, route: str, took: Milliseconds) -> None:
        """Record how long a request took from its start to its answer."""
        self._longest[route] = max(took, self._longest.get(route, 0.0) * _DECAY)
        recent = self._recent.get(route)
        if recent is None:
            recent = self._recent[route] = deque(maxlen=_N_RECENT)
        recent.append(took)

    def quantile(self, route: str, share: float) -> Milliseconds | None:
        """Return the time within which a share of the requests ended; None if unknown.

        Parameters
        ----------
        route : str
            Route of the requests.
        share : float
            Share of the recent requests, at least 0 and less than 1.
        """
        recent = self._recent.get(route)
        return None if not recent else sorted(recent)[int(share * len(recent))]

    def expected(self, route: str) -> Milliseconds | None:
        """Return the time within which a request should end; None if not known."""
        longest = self._longest.get(route)
        return None if longest is None else longest * _RESERVE_FACTOR

    def retain(self, routes: Collection[str]) -> None:
        """Forget the routes that no longer exist."""
        self._longest = {k: v for k, v in self._longest.items() if k in routes}
        self._recent = {k: v for k, v in self._recent.items() if k in routes}


class PlannedStop:
    """State of the planned stop of this process, if it has begun.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.

    Attributes
    ----------
    route_times : RouteTimes
        Times of requests that this node has placed.
    server_times : RouteTimes
        Times of calls at the local backend server, their nested calls included.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at: Milliseconds | None = None
        self._time_to_stop: Milliseconds = 0.0
        self.route_times = RouteTimes()
        self.server_times = RouteTimes()

    def begin(self, time_to_stop: Milliseconds) -> None:
        """Begin the stop; the process is killed after `time_to_stop` ms."""
        self._began_at = self._clock.now()
        self._time_to_stop = time_to_stop

    @property
    def elapsed(self) -> Milliseconds:
        """Milliseconds since the stop began; negative infinity if it has not."""
        began_at = self._began_at
        return float("-inf") if began_at is None else self._clock.now() - began_at

    @property
    def has_begun(self) -> bool:
        """Whether the process stops."""
        return self._began_at is not None

    @property
    def time_to_exit(self) -> Milliseconds:
        """Milliseconds until the process exits by itself; infinity without a stop."""
        return self._time_to_stop - _STOP_MARGIN_MS - self.elapsed

    @property
    def is_over(self) -> bool:
        """Whether the process has to exit now."""
        return self.time_to_exit <= 0.0

    def may_begin(
        self,
        work: Work,
        route: str = "",
        time_left: Milliseconds = float("inf"),
        longest_running: Milliseconds = 0.0,
    ) -> bool:
        """Whether work may begin now.

        Parameters
        ----------
        work : Work
            Kind of work.
        route : str, default=""
            Route of the request or call.
        time_left : float, default=inf
            Milliseconds until its deadline.
        longest_running : float, default=0
            Milliseconds for which the oldest unfinished work of this kind and route has
            been running.
        """
        if not self.has_begun:
            return True
        if work in _FINISHING_SHARES:
            expected = self.route_times.quantile(route, _FINISHING_SHARES[work])
            expected = longest_running if expected is None else expected
            return self._accepts_caller_requests and self._can_finish(
                expected + _END_RESERVE_MS, time_left
            )
        if work is Work.BACKEND_CALL and not self.accepts_backend_calls:
            return False
        is_at_server = work is Work.BACKEND_CALL
        times = self.server_times if is_at_server else self.route_times
        expected = times.expected(route)
        if longest_running > 0.0:
            expected = max(expected or 0.0, longest_running * _RESERVE_FACTOR)
        return self._can_finish(expected, time_left)

    @property
    def _accepts_caller_requests(self) -> bool:
        return self.elapsed < min(_REFUSE_AFTER_MS, self._time_to_stop / 2.0)

    @property
    def accepts_backend_calls(self) -> bool:
        """Whether calls to the local backend server may still begin."""
        limit = min(_BACKEND_QUEUE_OPEN_MS, self._time_to_stop / 3.0)
        return self._began_at is None or self.elapsed < limit

    def _can_finish(
        self,
        expected: Milliseconds | None,
        time_left: Milliseconds,
    ) -> bool:
        """Whether a request ends before the exit, by its deadline or its usual time."""
        if time_left <= self.time_to_exit:
            return True
        if expected is None:
            return self._accepts_caller_requests
        return expected <= self.time_to_exit
