"""Stand-in for callers: an open-loop load generator with retries.

In an open loop, requests arrive at a fixed mean rate, however many earlier requests
are still in flight. A system that slows down therefore gets no relief from its callers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio
from hdrh.histogram import HdrHistogram

from fuchsiagap.core.clock import MS_PER_S, Clock, Milliseconds, trio_clock
from fuchsiagap_standins.answers import CallMark
from fuchsiagap_standins.graphs.analysis import draw_root
from fuchsiagap_standins.request_senders import Attempt, ClientRequest, RequestOutcome

if TYPE_CHECKING:
    import random

    from fuchsiagap_standins.graphs.model import Graph, GraphRoute
    from fuchsiagap_standins.request_senders import SendAttempt, TakeTicket

# Range and precision of the latency histogram.
_MAX_LATENCY_US = 600_000_000
_US_PER_MS = 1000
_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Request rate and retry behaviour of callers.

    Parameters
    ----------
    graph : Graph
        Call graph, which holds the routes and their shares of the requests.
    rate : float
        Mean number of requests per second; arrivals form a Poisson process.
    duration : float
        Milliseconds during which requests are sent.
    retries : int
        Maximum number of retries per request; refused and unknown attempts are
        retried.
    pause : float
        Milliseconds before each retry; by default retries are immediate.
    """

    graph: Graph
    rate: float
    duration: Milliseconds
    retries: int = 0
    pause: Milliseconds = 0.0


@dataclass(slots=True)
class RouteReport:
    """Counts and latency of the requests of one route.

    Parameters
    ----------
    sent : int
        Number of requests sent.
    attempts : int
        Number of attempts, retries included.
    outcomes : dict
        Number of requests by final outcome.
    latency : HdrHistogram
        Microseconds from arrival to the answer, for answered requests.
    """

    sent: int = 0
    attempts: int = 0
    outcomes: dict[RequestOutcome, int] = field(
        default_factory=lambda: dict.fromkeys(RequestOutcome, 0)
    )
    latency: Any = field(
        default_factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    )

    def percentile(self, percent: float) -> Milliseconds:
        """Return a percentile of the latency; 0 if no request was answered."""
        if self.latency.get_total_count() == 0:
            return 0.0
        value: float = self.latency.get_value_at_percentile(percent)
        return value / _US_PER_MS


@dataclass(slots=True)
class CallerReport:
    """Outcomes of all requests.

    Parameters
    ----------
    routes : dict
        Report of each route, by name.
    refused : list of str
        Nonces of the requests whose attempts were all refused.
    reasons : dict
        Number of refused and unknown attempts, by reason.
    """

    routes: dict[str, RouteReport] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)
    reasons: dict[str, int] = field(default_factory=dict)

    def total(self, outcome: RequestOutcome) -> int:
        """Return the number of requests with this final outcome."""
        return sum(report.outcomes[outcome] for report in self.routes.values())

    @property
    def sent(self) -> int:
        """Number of requests sent."""
        return sum(report.sent for report in self.routes.values())

    @property
    def ended(self) -> int:
        """Number of requests that have a final outcome."""
        return sum(self.total(outcome) for outcome in RequestOutcome)


async def run_callers(
    cfg: CallerSettings,
    send: SendAttempt,
    take_ticket: TakeTicket,
    rng: random.Random,
    report: CallerReport,
    clock: Clock | None = None,
) -> None:
    """Send requests for `cfg.duration` and wait until every request has ended.

    Parameters
    ----------
    cfg : CallerSettings
        Rate, duration and retries.
    send : callable
        Sends one attempt.
    take_ticket : callable
        Returns a new ticket, or "" if no ticket is available.
    rng : random.Random
        Draws arrivals and routes.
    report : CallerReport
        Updated during the run, so that progress can be shown.
    clock : Clock, optional
        Defaults to the clock of the running event loop.
    """
    clock = clock or trio_clock()
    end_time = trio.current_time() + cfg.duration / MS_PER_S
    arrival = trio.current_time()
    async with trio.open_nursery() as nursery:
        while (arrival := arrival + rng.expovariate(cfg.rate)) < end_time:
            await trio.sleep_until(arrival)
            route = draw_root(cfg.graph, rng)
            nonce = f"{rng.getrandbits(64):016x}"
            nursery.start_soon(
                _one_request, cfg, send, take_ticket, route, nonce, report, clock
            )


async def _one_request(
    cfg: CallerSettings,
    send: SendAttempt,
    take_ticket: TakeTicket,
    route: GraphRoute,
    nonce: str,
    report: CallerReport,
    clock: Clock,
) -> None:
    route_report = report.routes.setdefault(route.name, RouteReport())
    route_report.sent += 1
    started = clock.now()
    ticket = await take_ticket()
    target = route.target(int(nonce[:4], 16))
    request = ClientRequest(route, CallMark(nonce), target, ticket)
    attempts: list[Attempt] = []
    for attempt in range(1 + cfg.retries):
        if attempt > 0:
            await trio.sleep(cfg.pause / MS_PER_S)
        route_report.attempts += 1
        attempts.append(await send(request))
        if attempts[-1].outcome in (RequestOutcome.ANSWERED, RequestOutcome.WRONG):
            break
        reason = attempts[-1].reason
        report.reasons[reason] = report.reasons.get(reason, 0) + 1
    outcome = final_outcome(attempts)
    route_report.outcomes[outcome] += 1
    if outcome is RequestOutcome.ANSWERED:
        latency_us = round((clock.now() - started) * _US_PER_MS)
        route_report.latency.record_value(min(max(latency_us, 1), _MAX_LATENCY_US))
    elif outcome is RequestOutcome.REFUSED:
        report.refused.append(nonce)


def final_outcome(attempts: list[Attempt]) -> RequestOutcome:
    """Return the outcome of a request from those of its attempts.

    A request is refused only if all its attempts were refused.
    """
    outcomes = {attempt.outcome for attempt in attempts}
    if RequestOutcome.WRONG in outcomes:
        return RequestOutcome.WRONG
    if RequestOutcome.ANSWERED in outcomes:
        return RequestOutcome.ANSWERED
    if outcomes == {RequestOutcome.REFUSED}:
        return RequestOutcome.REFUSED
    return RequestOutcome.UNKNOWN
