"""What backend servers state about themselves: limits of requests, and departures.

The node beside a server reads its statement in its responses and enforces it, since all
requests to the server pass through that node. Other nodes keep a copy, which they send
back to that node after its restart, before any request. The copy does not state which
start of the server it is from, so departures are restored by `ServerDepartures`, except
at nodes of earlier releases.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.backend_queue.named_limit import (
    NO_NOTICE,
    InvalidNoticeError,
    NoticeTracker,
    RateLimiter,
    ServerNotice,
    parse_leaving,
    parse_rate,
)
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.http_client import CallFailed, HttpClient
from fuchsiagap_node.core.mesh.messages import NO_RATE, NoticeReport

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.crash_reports import Post
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_response import Response
    from fuchsiagap_node.core.mesh.settings import MeshSettings

# Milliseconds without a response after which the health check of a server with a limit
# is requested: only a response shows that the limit is withdrawn.
_HEALTH_CHECK_AFTER_MS = 1_000.0
_HEALTH_CHECK_TIMEOUT_MS = 1_000.0
_CHECK_INTERVAL_MS = 250.0
# Requests per second to a server that names a limit of zero and whose service has no
# health check, since it could not be found again otherwise.
_TRICKLE_RATE = 0.2
# Maximum number of other servers whose statements are kept.
_MAX_REMEMBERED = 1_000
# Maximum number of distinct malformed statements of an incarnation that are logged.
_MAX_LOGGED = 8
# Span over which the use of a limit is measured.
_USE_SPAN_MS = 1_000.0


class ServerNotices:
    """Statement of the local backend server, and of others as far as nodes sent them.

    Parameters
    ----------
    cfg : MeshSettings
        Settings of the node.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log.

    Attributes
    ----------
    health_path : str
        Path of the server's health check; empty if there is none.
    posts : callable
        Returns the send function of each linked node, by node name.
    changed : callable
        Called when the statement of the local server has changed.
    on_health : callable
        Called with the incarnation and its response to a health check.
    """

    def __init__(self, cfg: MeshSettings, clock: Clock, event_log: EventLog) -> None:
        self._health_client = HttpClient(cfg.backend, cfg.names, keeps_connection=False)
        self._clock = clock
        self._event_log = event_log
        self._instance = ""
        self._tracker = NoticeTracker()
        self._limiter = RateLimiter(clock.now())
        self._responded_at = clock.now()
        self._logged: set[str] = set()
        self._is_publication_due = False
        self._starts: deque[Milliseconds] = deque()
        # Statements received from other nodes, by incarnation, with the node beside it;
        # those of the local server stem from the time before a restart of this node.
        self._remembered: dict[str, tuple[str, ServerNotice]] = {}
        self.health_path = ""
        self.posts: Callable[[], Mapping[str, Post]] = dict
        self.changed: Callable[[], None] = _ignore
        self.on_health: Callable[[str, Response], None] = _ignore_both

    @property
    def notice(self) -> ServerNotice:
        """Current statement of the local server."""
        return self._tracker.notice

    @property
    def accepts_requests(self) -> bool:
        """Whether the local server takes any requests."""
        notice = self.notice
        is_closed = notice.rate == 0.0 and bool(self.health_path)
        return not notice.is_leaving and not is_closed

    def rate(self) -> float | None:
        """Return the requests per second that may start now; None for no limit."""
        return self._limiter.rate(self._clock.now())

    def admits(self) -> bool:
        """Whether a request may be sent to the local server now."""
        return self._limiter.admits(self._clock.now())

    def record_start(self) -> None:
        """Record that a request is sent to the local server."""
        now = self._clock.now()
        self._limiter.record_start(now)
        if self._limiter.rate(now) is not None:
            self._starts.append(now)
            self._forget_starts()

    def _forget_starts(self) -> None:
        begin = self._clock.now() - _USE_SPAN_MS
        while self._starts and self._starts[0] < begin:
            self._starts.popleft()

    def starts_per_s(self) -> float:
        """Return the requests sent in the last second while there is a limit."""
        self._forget_starts()
        return len(self._starts) * MS_PER_S / _USE_SPAN_MS

    def begin(self, instance: str) -> None:
        """Begin with a new incarnation of the local server."""
        self._instance = instance
        self._tracker = NoticeTracker()
        self._limiter = RateLimiter(self._clock.now())
        self._logged.clear()
        self._is_publication_due = False
        _, remembered = self._remembered.pop(instance, ("", NO_NOTICE))
        self._restore(remembered)

    def _restore(self, notice: ServerNotice) -> None:
        """Apply the limit in a statement of the local server that a node returned."""
        self._apply(replace(notice, is_leaving=False), float("-inf"))

    def handle_response(
        self, instance: str, response: Response, sent_at: Milliseconds
    ) -> None:
        """Apply the statement in a response of the local server.

        Parameters
        ----------
        instance : str
            Incarnation that responded.
        response : Response
            The response.
        sent_at : float
            Time in milliseconds at which the request was sent.
        """
        if instance != self._instance:
            return
        self._responded_at = self._clock.now()
        self._apply(
            ServerNotice(self._read_rate(response), self._read_leaving(response)),
            sent_at,
        )

    def _read_rate(self, response: Response) -> float | None:
        """Return the limit in a response; the current one if it is malformed."""
        if response.rate_limit is None:
            return None
        try:
            return parse_rate(response.rate_limit)
        except InvalidNoticeError as exc:
            self._log_malformed(str(exc))
            return self.notice.rate

    def _read_leaving(self, response: Response) -> bool:
        """Whether a response announces a departure; False if that is malformed."""
        if response.leaving is None:
            return False
        try:
            return parse_leaving(response.leaving)
        except InvalidNoticeError as exc:
            self._log_malformed(str(exc))
            return False

    def _log_malformed(self, reason: str) -> None:
        """Log a malformed statement, each one once for an incarnation."""
        self._event_log.counts["malformed_notices", ""] += 1
        if reason in self._logged or len(self._logged) >= _MAX_LOGGED:
            return
        self._logged.add(reason)
        self._event_log.event(
            "notice-unreadable", instance=self._instance, reason=reason
        )

    def _apply(self, notice: ServerNotice, sent_at: Milliseconds) -> None:
        now = self._clock.now()
        before = self._tracker.notice
        if not self._tracker.record(notice, sent_at, now):
            return
        notice = self._tracker.notice
        rate = notice.rate
        if rate == 0.0 and not self.health_path:
            rate = _TRICKLE_RATE
        self._limiter.set_rate(rate, now)
        is_new_rate = bool(notice.rate) and bool(before.rate)
        if is_new_rate and notice.is_leaving is before.is_leaving:
            self._is_publication_due = True
        else:
            self._publish()

    def _publish(self) -> None:
        """Log the statement of the local server and send it to all linked nodes.

        A new rate waits for the next check, as it may change with each response.
        """
        self._is_publication_due = False
        notice = self.notice
        self._event_log.event(
            "server-notice",
            instance=self._instance,
            rate=notice.rate,
            leaving=notice.is_leaving,
        )
        for post in self.posts().values():
            post(self._report())
        self.changed()

    def _report(self) -> NoticeReport:
        return _encode(self._instance, self.notice)

    def send_own(self, post: Post) -> None:
        """Send a newly linked node the statement of the local server, if any."""
        if self.notice != NO_NOTICE:
            post(self._report())

    def send_remembered(self, node: str, post: Post) -> None:
        """Send a node the statement of its own server, which it may have forgotten."""
        for instance, (beside, notice) in self._remembered.items():
            if beside == node:
                post(_encode(instance, notice))

    def handle_report(self, report: NoticeReport, sender: str) -> None:
        """Keep the statement of the sender's server, or restore that of the local one.

        Parameters
        ----------
        report : NoticeReport
            The statement.
        sender : str
            Node that sent it.
        """
        rate = None if report.rate == NO_RATE else report.rate
        notice = ServerNotice(rate, report.is_leaving)
        if report.instance == self._instance:
            self._restore(notice)
            return
        self._remembered.pop(report.instance, None)
        if notice == NO_NOTICE:
            return
        self._remembered[report.instance] = (sender, notice)
        if len(self._remembered) > _MAX_REMEMBERED:
            del self._remembered[next(iter(self._remembered))]

    def forget_earlier(self, node: str, instance: str) -> None:
        """Forget the statements of earlier incarnations of the server of a node."""
        earlier = [
            other
            for other, (beside, _) in self._remembered.items()
            if beside == node and other != instance
        ]
        for other in earlier:
            del self._remembered[other]

    def remembered_rates(self) -> Mapping[str, float]:
        """Return the limits of other servers, by incarnation."""
        return {
            instance: notice.rate
            for instance, (_, notice) in self._remembered.items()
            if notice.rate is not None
        }

    def probe_rates(self) -> Mapping[str, float]:
        """Return the rates at which servers with a limit may be probed, by incarnation.

        Includes the local server. A server that names a limit of zero gets a trickle.
        """
        if self.notice.rate is None and not self._remembered:
            return {}
        rates = {**self.remembered_rates()}
        if self.notice.rate is not None:
            rates[self._instance] = self.notice.rate
        return {instance: rate or _TRICKLE_RATE for instance, rate in rates.items()}

    async def run(self) -> None:
        """Publish new rates, and check the health of servers without requests."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_MS / MS_PER_S)
            if self._is_publication_due:
                self._publish()
            silent = self._clock.now() - self._responded_at
            has_limit = self.notice.rate is not None
            if has_limit and self.health_path and silent >= _HEALTH_CHECK_AFTER_MS:
                await self._check_health()

    async def _check_health(self) -> None:
        instance = self._instance
        sent_at = self._responded_at = self._clock.now()
        try:
            response = await self._health_client.call(
                "GET", self.health_path, b"", _HEALTH_CHECK_TIMEOUT_MS
            )
        except CallFailed as exc:
            self._event_log.event("health-check-failed", cause=str(exc))
            return
        if response.instance in ("", instance):
            self.handle_response(instance, response, sent_at)
            self.on_health(instance, response)


def _encode(instance: str, notice: ServerNotice) -> NoticeReport:
    rate = NO_RATE if notice.rate is None else notice.rate
    return NoticeReport(instance, rate, notice.is_leaving)


def _ignore() -> None:
    """Ignore a change."""


def _ignore_both(_: str, __: Response) -> None:
    """Ignore a response."""
