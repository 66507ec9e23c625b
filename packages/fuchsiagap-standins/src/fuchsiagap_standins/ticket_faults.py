"""Check the guarantees of tickets in randomised runs under faults.

Home nodes, hand-over and settling are those of the real node. Links, membership and
backend servers are the fakes in `fuchsiagap_standins.ticket_nodes`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused
from fuchsiagap.core.tickets.settings import TicketSettings
from fuchsiagap_node.core.callpath.home_tickets import issue_batch, settle_ticket
from fuchsiagap_node.core.drain.handover import HandOverCompleted, hand_over
from fuchsiagap_standins.builders import a_refusal, an_issue_head, an_unknown
from fuchsiagap_standins.testing import run_virtual
from fuchsiagap_standins.ticket_nodes import FakeBackends, TicketNet

if TYPE_CHECKING:
    from fuchsiagap.core.tickets.ticket import Ticket

_NAMES = ("a", "b", "c", "d")
# Small limits, so that runs also evict answers, drop large bodies and hand over in
# several messages.
_CFG = TicketSettings(kept_answers=12, chunk_bytes=300, max_kept_body=64)
_RUN_DURATION_S = 4.0
_N_REQUESTS = 25
_N_FAULTS = 8
_REPLY_LOSS_PROBABILITIES = (0.0, 0.05, 0.3)


@dataclass(slots=True)
class TicketReport:
    """Result of a run.

    Parameters
    ----------
    outcomes : dict
        Number of attempts and settlements by type of outcome; ``left`` counts attempts
        that the caller abandoned.
    faults : dict
        Number of injected faults by kind; ``handed-over`` counts planned stops with a
        completed hand-over.
    violations : list of str
        Violations of the guarantees.
    """

    outcomes: dict[str, int] = field(default_factory=dict)
    faults: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Run:
    rng: random.Random
    report: TicketReport
    net: TicketNet
    incarnations: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(_NAMES, 1)
    )
    not_run: set[tuple[Ticket, str]] = field(default_factory=set)

    async def any_node(self) -> Any:
        """Return a random running node, after a wait if there is none."""
        while not self.net.nodes:
            await trio.sleep(0.01)
        return self.rng.choice(list(self.net.nodes.values()))


def run_tickets(seed: int) -> TicketReport:
    """Run requests, repeated attempts, settlements and faults drawn from a seed.

    Parameters
    ----------
    seed : int
        Seed of all randomness; the same seed gives the same run.

    Returns
    -------
    TicketReport
        Outcomes and faults, with all violations.
    """
    return run_virtual(_main, seed, seed=seed)


async def _main(seed: int) -> TicketReport:
    rng = random.Random(seed)
    report = TicketReport()
    async with trio.open_nursery() as nursery:
        net = TicketNet(FakeBackends(_no_runner), nursery, _CFG)
        run = _Run(rng, report, net)
        net.backends.runner = _make_runner(run)
        net.before_delivery = _make_delay(run)
        loss_probability = rng.choice(_REPLY_LOSS_PROBABILITIES)
        net.lose_reply = lambda _address, _msg: rng.random() < loss_probability
        for name in _NAMES:
            await net.start(name)
        async with trio.open_nursery() as workload:
            for _ in range(_N_REQUESTS):
                workload.start_soon(_request, run)
            for _ in range(_N_FAULTS):
                workload.start_soon(_fault, run)
        nursery.cancel_scope.cancel()
    for ticket, child_key in run.not_run:
        if net.backends.n_runs(ticket, child_key):
            report.violations.append(
                f"{ticket} {child_key} ran after being reported as not run"
            )
    for key, count in net.backends.runs.items():
        if count > 1:
            report.violations.append(f"{key} ran {count} times")
    return report


async def _no_runner(_head: object, _body: bytes) -> Outcome:
    raise AssertionError


def _make_runner(run: _Run) -> Any:
    async def runner(head: Any, body: bytes) -> Outcome:
        rng = run.rng
        await trio.sleep(rng.random() * 0.2)
        if rng.random() < 0.3:
            return a_refusal()
        run.net.backends.record_run(head)
        await trio.sleep(rng.random() * 0.3)
        if rng.random() < 0.1:
            return an_unknown()
        size = rng.choice((0, 20, 100))
        return Answered(200, (), _answer(head.ticket, head.child_key) + bytes(size))

    return runner


def _answer(ticket: Ticket, child_key: str) -> bytes:
    return f"{ticket} {child_key}.".encode()


def _make_delay(run: _Run) -> Any:
    async def delay(_address: str, _msg: object) -> None:
        if run.rng.random() < 0.3:
            await trio.sleep(run.rng.random() * 0.5)

    return delay


async def _request(run: _Run) -> None:
    """Send attempts of one request at random times through random nodes."""
    rng = run.rng
    await trio.sleep(rng.random() * _RUN_DURATION_S)
    issued = issue_batch(await run.any_node(), 1)
    if not isinstance(issued, tuple):
        return
    child_key = rng.choice(("", "", "k0"))
    async with trio.open_nursery() as attempts:
        for _ in range(rng.randint(1, 4)):
            attempts.start_soon(_send_attempt, run, issued[0], child_key)
        if rng.random() < 0.3 and not child_key:
            attempts.start_soon(_settle, run, issued[0])


async def _send_attempt(run: _Run, ticket: Ticket, child_key: str) -> None:
    rng = run.rng
    await trio.sleep(rng.random() * 1.5)
    deadline = trio.current_time() * 1000.0 + rng.choice((100.0, 1000.0, 3000.0))
    head = an_issue_head(ticket=ticket, child_key=child_key, deadline=deadline)
    outcome: Outcome | None = None
    with trio.move_on_after(rng.choice((0.1, 3.0))):
        outcome = await run.net.call(await run.any_node(), head)
    if outcome is None:
        _increment(run.report.outcomes, "left")
        return
    _check(run, ticket, child_key, outcome)


def _check(run: _Run, ticket: Ticket, child_key: str, outcome: Outcome) -> None:
    _increment(run.report.outcomes, type(outcome).__name__)
    n_runs = run.net.backends.n_runs(ticket, child_key)
    if isinstance(outcome, Refused) and n_runs:
        run.report.violations.append(f"{ticket} {child_key} refused after it ran")
    if isinstance(outcome, Refused) and outcome.reason is Reason.TICKET_BURNT:
        run.not_run.add((ticket, child_key))
    expected = _answer(ticket, child_key)
    if isinstance(outcome, Answered) and not outcome.body.startswith(expected):
        run.report.violations.append(
            f"{ticket} {child_key} received a wrong answer: {outcome.body!r}"
        )


async def _settle(run: _Run, ticket: Ticket) -> None:
    rng = run.rng
    await trio.sleep(rng.random() * 2.0)
    outcome = await settle_ticket(
        await run.any_node(), ticket, rng.choice((50.0, 2000.0))
    )
    _check(run, ticket, "", outcome)


async def _fault(run: _Run) -> None:
    rng = run.rng
    await trio.sleep(rng.random() * _RUN_DURATION_S)
    kind, fault = rng.choice(list(_FAULTS.items()))
    _increment(run.report.faults, kind)
    await fault(run)


async def _crash(run: _Run) -> None:
    state = await run.any_node()
    run.net.crash(state)
    await trio.sleep(run.rng.random())
    await _restart(run, state.node)


async def _restart(run: _Run, name: str) -> None:
    run.incarnations[name] = run.incarnations.get(name, 1) + 1
    await run.net.start(name, run.incarnations[name])


async def _isolate(run: _Run) -> None:
    address = (await run.any_node()).cfg.peer_address
    run.net.unreachable.add(address)
    await trio.sleep(run.rng.random())
    run.net.unreachable.discard(address)


async def _planned_stop(run: _Run) -> None:
    state = await run.any_node()
    if state.leaving:
        return
    state.leaving = True
    result = None
    for _ in range(2):
        peers = [node for node in run.net.nodes.values() if node is not state]
        if peers:
            peer = run.rng.choice(peers)
            with trio.move_on_after(run.rng.choice((0.2, 10.0))):
                result = await hand_over(state, peer.cfg.peer_address)
        if isinstance(result, HandOverCompleted):
            break
    if state.cfg.peer_address not in run.net.nodes:
        return
    if isinstance(result, HandOverCompleted):
        _increment(run.report.faults, "handed-over")
        run.net.announce_left(state, result.successor)
    await trio.sleep(run.rng.random() * 0.3)
    run.net.crash(state)
    await _restart_after(run, state)


async def _restart_after(run: _Run, state: Any) -> None:
    known = run.net.members[state.node]
    await _restart(run, state.node)
    if known.handed_incarnation == known.incarnation:
        run.net.announce_successor(known)


_FAULTS = {"crash": _crash, "cut": _isolate, "planned-stop": _planned_stop}


def _increment(counts: dict[str, int], name: str) -> None:
    counts[name] = counts.get(name, 0) + 1
