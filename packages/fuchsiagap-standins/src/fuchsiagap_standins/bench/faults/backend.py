"""In-memory backend servers that log each run and call downstream services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap.core.clock import sleep_ms
from fuchsiagap_node.core.callpath.entry import CallRequest, enter
from fuchsiagap_node.core.ports import BackendLoad
from fuchsiagap_standins.answers import CallMark, answer_body, is_own_answer, mark_from
from fuchsiagap_standins.bench.faults.topology import COPY_HEADER, ROUTES, Route
from fuchsiagap_standins.run_log import Run, RunState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.bench.faults.evidence import Evidence

_SERVICE_TIME_MS = (5.0, 60.0)
# Some calls take long enough that a planned stop has to wait for them.
_SLOW_CALL_SHARE = 0.02
_SLOW_SERVICE_TIME_MS = (2_500.0, 4_000.0)
_OK = 200
_FAILED_STATUS = 503
_REFUSAL_SHARE = 0.03


class RecordingBackend:
    """In-memory backend server that implements `ports.BackendServer`.

    Parameters
    ----------
    node : str
        Name of the node on the same host.
    evidence : Evidence
        Collects the runs for the checks.
    rng : random.Random
        Source of the random service times and refusals.
    state : callable
        Returns the state of the node through which downstream calls are made.
    slots : int
        Maximum number of concurrent calls; further calls are refused.

    Attributes
    ----------
    service_time_factor : float
        Factor of the service time of all calls but the random share of slow ones.
    down : bool
        Whether connections are refused.
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
        self.service_time_factor = 1.0
        self.down = False
        self._evidence = evidence
        self._rng = rng
        self._state = state
        self._scopes: set[trio.CancelScope] = set()

    async def send(
        self, head: CallHead, body: bytes, remaining: Milliseconds
    ) -> Answered | Refused | Unknown:
        """Run a call and log the run; see `ports.BackendServer.send`."""
        await trio.lowlevel.checkpoint()
        if self.down:
            return Refused(Reason.NO_BACKEND, detail="connection refused")
        full = len(self._scopes) >= self.slots
        if full or self._rng.random() < _REFUSAL_SHARE:
            return Refused(Reason.BACKEND_REFUSED, detail="no free slot")
        route = ROUTES[head.route]
        mark = mark_from(dict(head.headers))
        run = self._start_run(head, mark)
        answer: Answered | None = None
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                answer = await self._run(head, route, mark)
                run.state = RunState.DONE
            except trio.Cancelled:
                run.state = RunState.CANCELLED
                raise
            finally:
                self._scopes.discard(scope)
                self._evidence.record_run_end(self.node, run)
        if answer is None:
            return Unknown(Reason.CONNECTION_LOST, detail="connection lost")
        return answer

    async def load(self) -> BackendLoad | None:
        """Return health and load, or None while the server is down."""
        await trio.lowlevel.checkpoint()
        if self.down:
            return None
        return BackendLoad(True, self.slots, len(self._scopes), False)

    def crash(self) -> None:
        """Cancel all runs and refuse connections until `restart`."""
        self.down = True
        for scope in tuple(self._scopes):
            scope.cancel()

    def restart(self) -> None:
        """Accept connections again."""
        self.down = False

    def _start_run(self, head: CallHead, mark: CallMark) -> Run:
        run = Run(
            instance=self.node,
            route=head.route,
            idempotent=head.idempotent,
            nonce=mark.nonce,
            place=mark.place,
            call_id=head.call_id,
            started=trio.current_time(),
        )
        copy = dict(head.headers).get(COPY_HEADER, "")
        self._evidence.record_run_start(self.node, run, copy)
        return run

    async def _run(self, head: CallHead, route: Route, mark: CallMark) -> Answered:
        is_slow = self._rng.random() < _SLOW_CALL_SHARE
        service_time = self._rng.uniform(
            *(_SLOW_SERVICE_TIME_MS if is_slow else _SERVICE_TIME_MS)
        )
        await sleep_ms(
            service_time if is_slow else service_time * self.service_time_factor
        )
        for index, name in enumerate(route.calls):
            child = ROUTES[name]
            child_mark = mark.child(index)
            outcome = await self._call(head, child, child_mark)
            if not isinstance(outcome, Answered) or outcome.status != _OK:
                return Answered(_FAILED_STATUS, (), b"a child call failed")
            is_correct = is_own_answer(outcome.body, child_mark, name)
            self._evidence.record_answer(child_mark.nonce, is_correct)
        return Answered(_OK, (), answer_body(mark, head.route))

    async def _call(self, head: CallHead, child: Route, mark: CallMark) -> Outcome:
        req = CallRequest(
            service=child.service,
            method=child.method,
            target=child.target,
            control_headers={
                call_headers.PARENT_CALL: head.call_id,
                call_headers.CHILD_KEY: mark.place,
            },
            headers=mark.headers(),
            body=mark.place.encode(),
        )
        outcome = await enter(self._state(), req)
        if not child.idempotent:
            self._evidence.record_child_outcome(mark, child, outcome)
        return outcome
