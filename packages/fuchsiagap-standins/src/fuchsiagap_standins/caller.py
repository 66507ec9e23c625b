"""Stand-in of callers: an open loop at a rate, with hard retries.

An open loop sends when it is time, however many requests are still waiting; so a
system that slows down gets no relief from its callers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio
from hdrh.histogram import HdrHistogram

from fuchsiagap.core.clock import MS_PER_S, Clock, Milliseconds, trio_clock
from fuchsiagap_standins.answers import CallMark
from fuchsiagap_standins.calling import Attempt, ClientRequest, Ending
from fuchsiagap_standins.graphs.analysis import draw_root

if TYPE_CHECKING:
    import random

    from fuchsiagap_standins.calling import SendAttempt, TakeTicket
    from fuchsiagap_standins.graphs.model import Graph, GraphRoute

_LONGEST_US = 600_000_000
_US_PER_MS = 1000
_DIGITS = 3


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """How callers behave.

    Parameters
    ----------
    graph : Graph
        Gives the routes and their shares.
    rate : float
        Requests a second; arrivals are random (a Poisson process).
    duration : float
        Milliseconds for which requests are sent.
    retries : int
        Attempts more after one that was refused or is unknown.
    pause : float
        Milliseconds before an attempt more; hard callers wait not at all.
    """

    graph: Graph
    rate: float
    duration: Milliseconds
    retries: int = 0
    pause: Milliseconds = 0.0


@dataclass(slots=True)
class RouteReport:
    """What became of the requests of one route.

    Parameters
    ----------
    sent : int
        Requests.
    attempts : int
        Attempts of all of them.
    endings : dict
        Requests by what their callers held in the end.
    latency : HdrHistogram
        Microseconds from the first attempt to the answer, of those answered.
    """

    sent: int = 0
    attempts: int = 0
    endings: dict[Ending, int] = field(default_factory=lambda: dict.fromkeys(Ending, 0))
    latency: Any = field(default_factory=lambda: HdrHistogram(1, _LONGEST_US, _DIGITS))

    def percentile(self, percent: float) -> Milliseconds:
        """Return a percentile of the latency; 0 if nothing was answered."""
        if self.latency.get_total_count() == 0:
            return 0.0
        value: float = self.latency.get_value_at_percentile(percent)
        return value / _US_PER_MS


@dataclass(slots=True)
class CallerReport:
    """What became of all requests.

    Parameters
    ----------
    routes : dict
        Report by name of route.
    refused : list of str
        Nonces of requests of which every attempt was refused.
    reasons : dict
        Attempts that were not answered, by reason.
    """

    routes: dict[str, RouteReport] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)
    reasons: dict[str, int] = field(default_factory=dict)

    def total(self, ending: Ending) -> int:
        """Return how many requests ended so."""
        return sum(report.endings[ending] for report in self.routes.values())

    @property
    def sent(self) -> int:
        """Requests sent."""
        return sum(report.sent for report in self.routes.values())

    @property
    def ended(self) -> int:
        """Requests whose callers hold something."""
        return sum(self.total(ending) for ending in Ending)


async def run_callers(
    cfg: CallerSettings,
    send: SendAttempt,
    take_ticket: TakeTicket,
    rng: random.Random,
    report: CallerReport,
    clock: Clock | None = None,
) -> None:
    """Send requests for a while, and wait until the last has ended.

    Parameters
    ----------
    cfg : CallerSettings
        Rate, duration, retries.
    send : callable
        Sends one attempt.
    take_ticket : callable
        Returns a fresh ticket, or "" if there is none to be had.
    rng : random.Random
        Draws arrivals and routes.
    report : CallerReport
        Filled on the way, so that progress can be shown.
    clock : Clock, optional
        By default that of the running loop.
    """
    clock = clock or trio_clock()
    ends = trio.current_time() + cfg.duration / MS_PER_S
    arrival = trio.current_time()
    async with trio.open_nursery() as nursery:
        while (arrival := arrival + rng.expovariate(cfg.rate)) < ends:
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
    row = report.routes.setdefault(route.name, RouteReport())
    row.sent += 1
    started = clock.now()
    ticket = await take_ticket()
    target = route.target(int(nonce[:4], 16))
    request = ClientRequest(route, CallMark(nonce), target, ticket)
    seen: list[Attempt] = []
    for attempt in range(1 + cfg.retries):
        if attempt > 0:
            await trio.sleep(cfg.pause / MS_PER_S)
        row.attempts += 1
        seen.append(await send(request))
        if seen[-1].ending in (Ending.ANSWERED, Ending.WRONG):
            break
        reason = seen[-1].reason
        report.reasons[reason] = report.reasons.get(reason, 0) + 1
    ending = ending_of(seen)
    row.endings[ending] += 1
    if ending is Ending.ANSWERED:
        taken_us = round((clock.now() - started) * _US_PER_MS)
        row.latency.record_value(min(max(taken_us, 1), _LONGEST_US))
    elif ending is Ending.REFUSED:
        report.refused.append(nonce)


def ending_of(attempts: list[Attempt]) -> Ending:
    """Return what a caller holds after some attempts of one request."""
    endings = {attempt.ending for attempt in attempts}
    if Ending.WRONG in endings:
        return Ending.WRONG
    if Ending.ANSWERED in endings:
        return Ending.ANSWERED
    if endings == {Ending.REFUSED}:
        return Ending.REFUSED
    return Ending.UNKNOWN
