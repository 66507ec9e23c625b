"""Nodes with the real `dispatch` and `serve` over fake links, gates and backends."""

from __future__ import annotations

import random
from dataclasses import replace
from types import SimpleNamespace

import trio

from fuchsiagap.core.admission.gate import Admitted
from fuchsiagap.core.admission.reported_levels import ReportedLevels
from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.calls.outcome import Answered, Reason, Refused
from fuchsiagap.core.clock import trio_clock
from fuchsiagap.core.retries.budget import RetryBudget, RetrySettings
from fuchsiagap.core.routing.router import Instance, Router, RoutingSettings
from fuchsiagap.core.telemetry.telemetry import TelemetrySettings, make_telemetry
from fuchsiagap_node.core.callpath.calls import CallTable
from fuchsiagap_node.core.callpath.dispatch import dispatch
from fuchsiagap_node.core.callpath.serve import serve
from fuchsiagap_node.core.ports import LinkLost
from fuchsiagap_node.core.wire.messages_call import head_from_wire
from fuchsiagap_standins.builders import TEAM, a_load

LATENCY_S = 0.001
AMPLE_RETRIES = RetrySettings(ratio=100.0)


class FakeGate:
    """Admits every call for which the fleet's `refuse` returns None."""

    def __init__(self, fleet, node):
        self.fleet, self.node = fleet, node
        self.downstream_loads = []

    async def enter(self, head):
        reason = self.fleet.refuse(self.node, head)
        if reason is None:
            return Admitted(head, 0.0, 0.0, 1)
        return Refused(reason, allowance=head.allowance)

    def leave(self, admitted, outcome):
        pass

    def report(self, route):
        return self.fleet.load

    def record_downstream_load(self, route, service, load):
        self.downstream_loads.append((route, str(service)))


class FakeBackend:
    """Records each attempt it receives, and runs the fleet's `program`."""

    def __init__(self, fleet, node):
        self.fleet, self.node = fleet, node

    async def send(self, head, body, remaining):
        self.fleet.runs.append((self.node, head))
        return await self.fleet.program(self.fleet.states[self.node], head)


class Fleet:
    """Nodes by name, with injected failures.

    Tests set `refuse`, which returns the reason of a refusal or None; `lose`, which
    returns "before" to lose the message and "after" to lose the reply; and
    `program`, which backend servers run.
    """

    def __init__(self, services, n_instances=3, seed=0, retries=AMPLE_RETRIES):
        self.states, self.runs, self.asked, self.cancelled = {}, [], [], []
        self.load = a_load()
        self.refuse = lambda node, head: None
        self.lose = lambda node, head: None
        self.program = answer_ok
        self.rng = random.Random(seed)
        self.retries = retries
        clock = trio_clock()
        members = [
            Instance(name, 1, f"at:{name}", "hall-a", ServiceName(TEAM, service))
            for service in services
            for name in (f"{service}-{n}" for n in range(n_instances))
        ]
        for member in members:
            self.states[member.node] = self._state(member, clock, members)

    def _state(self, member, clock, members):
        rng = random.Random(self.rng.random())
        routing = RoutingSettings(own_utilisation=0.0)
        router = Router(routing, "hall-a", clock, rng, member.node)
        router.update(tuple(members))
        state = SimpleNamespace(
            cfg=SimpleNamespace(service=member.service),
            node=member.node,
            clock=clock,
            rng=rng,
            router=router,
            budget=RetryBudget(self.retries, clock),
            levels=ReportedLevels(clock),
            book=SimpleNamespace(route_for=lambda *_: None),
            gate=FakeGate(self, member.node),
            backend=FakeBackend(self, member.node),
            calls=CallTable(),
            leaving=False,
            peers=SimpleNamespace(ask=self.ask),
            telemetry=make_telemetry(
                TelemetrySettings(stop_on_violation=True), member.node, clock
            ),
        )
        state.serve = lambda head, body: serve(state, head, body)
        return state

    async def ask(self, address, msg):
        node = address.removeprefix("at:")
        self.asked.append((node, msg.head))
        lost = self.lose(node, msg.head)
        try:
            await trio.sleep(LATENCY_S)
            if lost == "before":
                return LinkLost(sent=False)
            state = self.states[node]
            head = head_from_wire(msg.head, state.clock.now())
            outcome = await serve(state, head, msg.body)
            await trio.sleep(LATENCY_S)
        except trio.Cancelled:
            self.cancelled.append(node)
            raise
        return LinkLost(sent=True) if lost == "after" else outcome

    async def call(self, head, entry=None):
        """Dispatch a root call at an entry node, by default the first."""
        state = self.states[entry or next(iter(self.states))]
        return await dispatch(state, head, b"")


async def answer_ok(state, head):
    return Answered(200, (), b"ok")


async def call_child(state, head, service, **changes):
    """Make a nested call of a backend server, as `entry` does."""
    child = replace(
        head,
        call_id=f"{head.call_id}>{service}-{state.rng.getrandbits(32):x}",
        parent_id=head.call_id,
        service=ServiceName(TEAM, service),
        route=f"{service}/read",
        allowance=0,
        depth=head.depth + 1,
        **changes,
    )
    outcome = await dispatch(state, child, b"")
    if isinstance(outcome, Refused):
        state.calls.serving[head.call_id].has_refused_child = True
    return outcome


async def refuse_not_run(state, head):
    return Refused(Reason.BACKEND_REFUSED)
