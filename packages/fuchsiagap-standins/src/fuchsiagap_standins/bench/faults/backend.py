"""The backend servers of a randomised run: they log each run and call onwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap.core.clock import sleep_ms
from fuchsiagap_node.core.callpath.entry import CallRequest, enter
from fuchsiagap_node.core.ports import BackendLoad
from fuchsiagap_standins.answers import CallMark, answer_body, is_own_answer, mark_from
from fuchsiagap_standins.bench.faults.shape import COPY, ROUTES, Route
from fuchsiagap_standins.run_log import Run, RunState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.bench.faults.evidence import Evidence

_OWN_TIME_MS = (5.0, 60.0)
# A few calls take so long that a planned stop has to wait for them.
_LONG_SHARE = 0.02
_LONG_MS = (2_500.0, 4_000.0)
_OK = 200
_FAILED_STATUS = 503
_NOT_RUN_SHARE = 0.03


class RecordingBackend:
    """A backend server in memory; implements `ports.BackendServer`.

    Parameters
    ----------
    node : str
        Name of the node on the same host.
    evidence : Evidence
        Where runs are logged.
    rng : random.Random
        Source of service times and of refusals.
    state : callable
        Returns the node, through which it makes its own calls.
    slots : int
        Calls it works on at once; it sheds what is more.
    """

    def __init__(
        self,
        node: str,
        evidence: Evidence,
        rng: random.Random,
        state: Callable[[], NodeState],
        slots: int,
    ) -> None:
        self.node = node
        self.slots = slots
        self.slowness = 1.0
        self.down = False
        self._evidence = evidence
        self._rng = rng
        self._state = state
        self._scopes: set[trio.CancelScope] = set()

    async def send(
        self, head: CallHead, body: bytes, remaining: Milliseconds
    ) -> Answered | Refused | Unknown:
        """Run one call and log it; see `ports.BackendServer.send`."""
        await trio.lowlevel.checkpoint()
        if self.down:
            return Refused(Reason.NO_BACKEND, detail="connection refused")
        full = len(self._scopes) >= self.slots
        if full or self._rng.random() < _NOT_RUN_SHARE:
            return Refused(Reason.BACKEND_REFUSED, detail="no slot is free")
        route = ROUTES[head.route]
        mark = mark_from(dict(head.headers))
        run = self._log(head, mark)
        answer: Answered | None = None
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                answer = await self._work(head, route, mark)
                run.state = RunState.DONE
            except trio.Cancelled:
                run.state = RunState.CANCELLED
                raise
            finally:
                self._scopes.discard(scope)
                self._evidence.run_ended(self.node, run)
        if answer is None:
            return Unknown(Reason.CONNECTION_LOST, detail="the connection was lost")
        return answer

    async def load(self) -> BackendLoad | None:
        """Ask for its health and load."""
        await trio.lowlevel.checkpoint()
        if self.down:
            return None
        return BackendLoad(True, self.slots, len(self._scopes), False)

    def crash(self) -> None:
        """Lose all that runs and take no connection until `restart`."""
        self.down = True
        for scope in tuple(self._scopes):
            scope.cancel()

    def restart(self) -> None:
        """Take connections again."""
        self.down = False

    def _log(self, head: CallHead, mark: CallMark) -> Run:
        run = Run(
            instance=self.node,
            route=head.route,
            idempotent=head.idempotent,
            nonce=mark.nonce,
            place=mark.place,
            call_id=head.call_id,
            started=trio.current_time(),
        )
        copy = dict(head.headers).get(COPY, "")
        self._evidence.run_started(self.node, run, copy)
        return run

    async def _work(self, head: CallHead, route: Route, mark: CallMark) -> Answered:
        is_long = self._rng.random() < _LONG_SHARE
        own_time = self._rng.uniform(*(_LONG_MS if is_long else _OWN_TIME_MS))
        await sleep_ms(own_time if is_long else own_time * self.slowness)
        for index, name in enumerate(route.calls):
            child = ROUTES[name]
            below = mark.child(index)
            outcome = await self._call(head, child, below)
            if not isinstance(outcome, Answered) or outcome.status != _OK:
                return Answered(_FAILED_STATUS, (), b"a call below failed")
            own = is_own_answer(outcome.body, below, name)
            self._evidence.answer_checked(below.nonce, own)
        return Answered(_OK, (), answer_body(mark, head.route))

    async def _call(self, head: CallHead, child: Route, mark: CallMark) -> Outcome:
        req = CallRequest(
            service=child.service,
            method=child.method,
            target=child.target,
            own_headers={
                call_headers.PARENT_CALL: head.call_id,
                call_headers.CHILD_KEY: mark.place,
            },
            headers=mark.headers(),
            body=mark.place.encode(),
        )
        outcome = await enter(self._state(), req)
        if not child.idempotent:
            self._evidence.child_told(mark, child, outcome)
        return outcome
