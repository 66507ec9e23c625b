"""Builders of routers, instances and outcomes, and a manual clock, for tests."""

from __future__ import annotations

import random

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.calls.outcome import (
    Answered,
    LoadReport,
    Reason,
    Refused,
    Unknown,
)
from fuchsiagap.core.clock import Clock
from fuchsiagap.core.routing.router import Instance, Router, RoutingSettings

CERTS = ServiceName("salt-fog", "certs")
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")


class ManualClock:
    """Clock that advances only on request."""

    def __init__(self):
        self.time = 0.0
        self.clock = Clock(now=lambda: self.time, wall=lambda: 0.0)

    def advance(self, duration):
        self.time += duration


def an_instance(number, data_centre="hall-a", incarnation=1, leaving=False):
    address = f"127.0.0.1:{number}"
    return Instance(
        f"certs-{number}", incarnation, address, data_centre, CERTS, leaving
    )


def instances(n_local, n_remote=0):
    local = [an_instance(number) for number in range(n_local)]
    remote = [
        an_instance(n_local + number, DATA_CENTRES[1 + number % 2])
        for number in range(n_remote)
    ]
    return (*local, *remote)


def a_router(time, node="results-1", **changes):
    cfg = RoutingSettings(**changes)
    return Router(cfg, "hall-a", time.clock, random.Random(7), node)


def a_load(in_flight=0, limit=10, queued=0):
    return LoadReport(9, 127, in_flight, limit, queued)


def an_answer(**load):
    return Answered(200, (), b"", load=a_load(**load))


def a_lost_link():
    return Unknown(Reason.CONNECTION_LOST)


def a_passed_deadline():
    return Unknown(Reason.DEADLINE)


def a_refusal(reason, **load):
    return Refused(reason, load=a_load(**load))


def run_calls(router, n_calls, outcome_of, hold=False):
    """Run calls one after the other, and return the number of calls by node.

    With `hold`, the calls stay in flight.
    """
    counts = {}
    for _ in range(n_calls):
        chosen = router.choose(CERTS)
        counts[chosen.node] = counts.get(chosen.node, 0) + 1
        router.begin(chosen)
        if not hold:
            router.end(chosen, outcome_of(chosen), 5.0)
    return counts
