"""Placement of a request at one backend server after the other, by the entry node."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import count
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.placement.choice import choose
from fuchsiagap.core.retries.shares import BudgetShare
from fuchsiagap_node.core.mesh.final import PROMISES, RETRY_AFTER_MS, Final
from fuchsiagap_node.core.mesh.frames import Call
from fuchsiagap_node.core.mesh.outcome import (
    EXPIRED,
    NO_BACKEND,
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
)
from fuchsiagap_node.core.mesh.pressures import NO_CALLS
from fuchsiagap_node.core.mesh.telling import SAMPLE_ANSWERED

if TYPE_CHECKING:
    import random

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.peers import Peer, Peers
    from fuchsiagap_node.core.mesh.pressures import Pressures
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds past the caller's deadline for which an answer that is on its way is
# still awaited.
_LAST_WORD_MS = 120.0
# Milliseconds between two looks for overdue replies. One look at all of them costs less
# than a timeout for each, which takes 14 us (`move_on_after`, timed alone).
_SWEEP_MS = 40.0
# Milliseconds between two looks for a backend server while there is none.
_LOOK_MS = 40.0
# Share of the latency objective for which a request may wait for a backend server
# before it is refused; a later refusal is no help to its caller.
_LOOK_SHARE = 0.2
# Placements that ended before the request was offered to a backend server, at most.
_MAX_PLACEMENTS = 6


@dataclass(slots=True)
class _Attempts:
    """What has become of one request so far."""

    arrivals: int = 0
    placements: int = 0
    may_have_run: bool = False
    tried: list[str] = field(default_factory=list)
    last: Outcome = field(default_factory=lambda: NotRun(NO_BACKEND))


class _Reply:
    """The place where a link leaves the outcome of a call."""

    __slots__ = ("below", "event", "outcome", "until")

    def __init__(self, until: Milliseconds) -> None:
        self.until = until
        self.event = trio.Event()
        self.outcome: Outcome | None = None
        self.below = NO_CALLS

    def take(self, outcome: Outcome, below: float) -> None:
        self.outcome = outcome
        self.below = below
        self.event.set()


class Placing:
    """Chooses backend servers, sends requests to them, and repeats where that is right.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    peers : Peers
        Doors of the backend servers.
    pressures : Pressures
        Told the fullness that replies carry.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Breaks ties.
    teller : Teller
        Logs and counters.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        peers: Peers,
        pressures: Pressures,
        clock: Clock,
        rng: random.Random,
        teller: Teller,
    ) -> None:
        self._cfg = cfg
        self._peers = peers
        self._pressures = pressures
        self._clock = clock
        self._rng = rng
        self._tell = teller
        self._budgets: dict[str, BudgetShare] = {}
        self._ids = count(1)
        self._awaited: dict[_Reply, None] = {}
        self._caller_line = b"%s: %s\r\n" % (cfg.names.caller, cfg.service.encode())

    def adopt(self, cfg: MeshSettings) -> None:
        """Go on under changed settings."""
        self._cfg = cfg
        for budget in self._budgets.values():
            budget.adopt(cfg.budget)

    async def run(self) -> None:
        """Give up replies that are overdue until cancelled."""
        while True:
            await trio.sleep(_SWEEP_MS / MS_PER_S)
            now = self._clock.now()
            for reply in self._awaited:
                if reply.until <= now:
                    reply.event.set()

    async def place(
        self,
        req: Request,
        route: Route,
        service: str,
        parent: Call | None,
        started: Milliseconds,
    ) -> Final:
        """Hand a request to one backend server after the other.

        Parameters
        ----------
        req : Request
            The request.
        route : Route
            Its route.
        service : str
            Service that is to answer it.
        parent : Call or None
            The request for which the backend server on this host makes it.
        started : float
            When it came.

        Returns
        -------
        Final
            The backend server's answer, or a truthful word that there is none.
        """
        wait = route.timeout if req.wait is None else min(route.timeout, req.wait)
        deadline = started + wait
        budget = self._budget(service)
        budget.earn()
        if parent is not None and parent.repeated:
            budget.charge()
        so_far = _Attempts()
        while True:
            peer = await self._pick(service, so_far, route, started, deadline)
            if peer is None:
                break
            call = self._call(req, route, peer, parent, deadline)
            call = replace(call, repeated=True) if so_far.arrivals else call
            so_far.placements += 1
            so_far.last = outcome = await self._send(peer, call, deadline)
            if isinstance(outcome, Answered) and not self._wants_repeat(outcome, route):
                return self._whole(outcome, req, route, started, so_far)
            self._count(outcome, peer, so_far)
            if not self._may_repeat(outcome, route, so_far, deadline):
                break
            if self._is_arrival(outcome) and not budget.spend(
                self._peers.count(), self._pressures.makes_calls(service, route.name)
            ):
                self._tell.event("no-retry-budget", request=req.request_id)
                break
        return self._given_up(req, route, so_far, started)

    async def _pick(
        self,
        service: str,
        so_far: _Attempts,
        route: Route,
        started: Milliseconds,
        deadline: Milliseconds,
    ) -> Peer | None:
        """Return the next door; wait a little while there is none."""
        patience = min(deadline, started + _LOOK_SHARE * route.objective)
        tried = so_far.tried
        while True:
            targets = self._peers.targets(service)
            target = choose(targets, tried, self._rng)
            if target is None and tried:
                target = choose(targets, tried[-1:], self._rng)
            if target is not None:
                return self._peers.get(target.node)
            if self._clock.now() >= patience:
                return None
            await trio.sleep(_LOOK_MS / MS_PER_S)

    def _call(
        self,
        req: Request,
        route: Route,
        peer: Peer,
        parent: Call | None,
        deadline: Milliseconds,
    ) -> Call:
        instance = peer.target.instance
        head = b"%s %s HTTP/1.1\r\n%s%s%s: %s\r\n" % (
            req.method,
            req.target,
            req.headers,
            self._caller_line,
            self._cfg.names.target,
            instance.encode(),
        )
        return Call(
            next(self._ids),
            instance,
            head,
            req.body,
            round(deadline - self._clock.now(), 1),
            route.priority if parent is None else parent.rank,
            parent is not None,
            parent is not None and parent.repeated,
            route.idempotent,
            req.request_id,
            route.name,
        )

    async def _send(self, peer: Peer, call: Call, deadline: Milliseconds) -> Outcome:
        """Send a call and wait for its outcome until the deadline."""
        reply = _Reply(deadline + _LAST_WORD_MS)
        peer.send(call, reply.take)
        if reply.outcome is None:
            self._awaited[reply] = None
            try:
                await reply.event.wait()
            finally:
                del self._awaited[reply]
                if reply.outcome is None:
                    peer.cancel(call.call_id)
        if reply.outcome is None:
            return MayHaveRun(EXPIRED)
        if isinstance(reply.outcome, Answered):
            self._pressures.note_reply(peer.target.service, call.route, reply.below)
        return reply.outcome

    @staticmethod
    def _wants_repeat(outcome: Answered, route: Route) -> bool:
        """Whether another backend server may do better than this answer."""
        return route.idempotent and outcome.status in (500, 502)

    @staticmethod
    def _is_arrival(outcome: Outcome) -> bool:
        """Whether the request has been at a backend server, so a repeat is one more."""
        return not isinstance(outcome, NotRun) or outcome.offered

    def _count(self, outcome: Outcome, peer: Peer, so_far: _Attempts) -> None:
        so_far.tried.append(peer.target.instance)
        if self._is_arrival(outcome):
            so_far.arrivals += 1
        if not isinstance(outcome, NotRun):
            so_far.may_have_run = True

    def _may_repeat(
        self, outcome: Outcome, route: Route, so_far: _Attempts, deadline: Milliseconds
    ) -> bool:
        """Whether the request may go to one more backend server."""
        if self._clock.now() >= deadline or so_far.placements >= _MAX_PLACEMENTS:
            return False
        if so_far.arrivals >= route.max_attempts:
            return False
        return route.idempotent or isinstance(outcome, NotRun)

    def _whole(
        self,
        outcome: Answered,
        req: Request,
        route: Route,
        started: Milliseconds,
        so_far: _Attempts,
    ) -> Final:
        """Return the caller's answer from the backend server's."""
        self._tell.counts["answered", ""] += 1
        n_answered = self._tell.counts["answered", ""]
        if so_far.arrivals or n_answered % SAMPLE_ANSWERED == 0:
            self._tell.event(
                "answered",
                request=req.request_id,
                route=route.name,
                status=outcome.status,
                arrivals=so_far.arrivals + 1,
                took=round(self._clock.now() - started, 1),
            )
        if outcome.status in PROMISES:
            return Final(502)
        return Final(outcome.status, outcome.reason, outcome.headers, outcome.body)

    def _given_up(
        self, req: Request, route: Route, so_far: _Attempts, started: Milliseconds
    ) -> Final:
        """Return the word that there is no answer."""
        last = so_far.last
        took = round(self._clock.now() - started, 1)
        self._tell.event(
            "given-up",
            request=req.request_id,
            route=route.name,
            ran=so_far.may_have_run,
            cause=last.reason if not isinstance(last, Answered) else last.status,
            arrivals=so_far.arrivals,
            placements=so_far.placements,
            took=took,
        )
        if isinstance(last, Answered):
            return Final(last.status, last.reason, last.headers, last.body)
        if not so_far.may_have_run:
            return Final(503, retry_after=RETRY_AFTER_MS)
        expired = isinstance(last, MayHaveRun) and last.reason == EXPIRED
        return Final(504 if expired else 502)

    def _budget(self, service: str) -> BudgetShare:
        budget = self._budgets.get(service)
        if budget is None:
            budget = BudgetShare(self._cfg.budget, self._clock)
            self._budgets[service] = budget
        return budget
