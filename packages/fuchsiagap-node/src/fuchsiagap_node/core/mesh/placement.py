"""The way of one request to one backend server after the other.

A placement has no task: whoever brings the reply to its call, a link or the door on
this host, runs its next step. A task for each request, woken by an event for each
reply, took 380 us of processor time a request over two nodes where this takes 277 us
(`bench_path`, with the same change at the door).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.quarantine.fingerprint import fingerprint
from fuchsiagap_node.core.mesh.event_log import SAMPLE_ANSWERED
from fuchsiagap_node.core.mesh.final import PROMISES, RETRY_AFTER_MS, Final
from fuchsiagap_node.core.mesh.messages import Call
from fuchsiagap_node.core.mesh.outcome import (
    EXPIRED,
    LINK_LOST,
    NO_BACKEND,
    NO_BUDGET,
    QUARANTINED,
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TypeAlias

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.job import Job
    from fuchsiagap_node.core.mesh.messages import Below
    from fuchsiagap_node.core.mesh.peers import Peer
    from fuchsiagap_node.core.mesh.placing import Placing

    # Told the final answer, once.
    OnFinal: TypeAlias = Callable[[Final], None]

# Milliseconds past the caller's deadline for which an answer that is on its way is
# still awaited.
_LAST_WORD_MS = 120.0
# Share of the latency objective for which a request may wait for a backend server
# before it is refused; a later refusal is no help to its caller.
_LOOK_SHARE = 0.2
# Times that a request is sent to a door, at most. Where the servers of a service refuse
# half of what they get, six tries answer 98 of 100 calls, and with them 88 of 100 trees
# that need eight; two tries answer 75, and 10.
_MAX_PLACEMENTS = 6
# Doors that are asked to pay for a repeat, at most: where one cannot, others mostly
# cannot either, and each asking is a message both ways.
_MOST_DENIALS = 2
# Reasons that tell of the way to the servers, not of them.
_UNREACHED = frozenset({NO_BACKEND, LINK_LOST})


class Placement:
    """One request until its final answer.

    Parameters
    ----------
    placing : Placing
        What all requests of the node share.
    req : Request
        The request.
    route : Route
        Its route.
    service : str
        Service that is to answer it.
    parent : Job or None
        The request for which the backend server on this host makes it.
    done : callable
        Told the final answer, once, unless the request is cancelled.
    workspace : Workspace or None, default=None
        Whose request it is.
    waited : float, default=0
        Milliseconds for which it has waited at this node.

    Attributes
    ----------
    wakes_at : float
        Local time from which `wake` does something.
    """

    __slots__ = (
        "_arrivals",
        "_call",
        "_deadline",
        "_denials",
        "_done",
        "_due",
        "_failed_below",
        "_fingerprint",
        "_is_quarantined",
        "_last",
        "_lot",
        "_may_have_run",
        "_offered_to",
        "_parent",
        "_parent_job",
        "_peer",
        "_placements",
        "_placing",
        "_req",
        "_route",
        "_service",
        "_started",
        "_tried",
        "_workspace",
        "wakes_at",
    )

    def __init__(
        self,
        placing: Placing,
        req: Request,
        route: Route,
        service: str,
        parent: Job | None,
        done: OnFinal,
        workspace: Workspace | None = None,
        waited: Milliseconds = 0.0,
    ) -> None:
        self._workspace = workspace
        self._placing = placing
        self._req = req
        self._route = route
        self._service = service
        self._parent = None if parent is None else parent.call
        self._parent_job = parent
        self._done = done
        self._started = placing.clock.now() - waited
        wait = route.timeout if req.wait is None else min(route.timeout, req.wait)
        self._deadline = self._started + wait
        own_due = self._started + route.objective
        self._due = own_due if parent is None else parent.due
        self._fingerprint = fingerprint(
            req.method, req.host, req.target, req.identity, req.body
        )
        self._lot = placing.draw_lot() if parent is None else parent.call.lot
        self._arrivals = 0
        self._denials = 0
        self._placements = 0
        self._may_have_run = False
        self._failed_below = False
        self._is_quarantined = False
        self._tried: list[str] = []
        self._offered_to: set[str] = set()
        self._last: Outcome = NotRun(NO_BACKEND)
        self._call: Call | None = None
        self._peer: Peer | None = None
        self.wakes_at = float("inf")

    def start(self) -> None:
        """Send the request to a first backend server."""
        self._placing.in_progress[self] = None
        if self._parent_job is not None:
            self._parent_job.open_calls += 1
        try:
            self._place()
        except Exception as exc:
            self._fail(exc)

    def cancel(self) -> None:
        """Give the request up: its caller has left."""
        if self._placing.in_progress.pop(self, 0) is None:
            self._tell_parent(failed=True)
        self._withdraw()

    def _has_reached_a_server(self) -> bool:
        """Whether the last word came from where a server is, or this host is cut off.

        A host that reaches none fails whatever runs on it: its callers are to see that,
        go elsewhere and refuse what comes to nothing.
        """
        last = self._last
        return isinstance(last, Answered) or last.reason not in _UNREACHED

    def _tell_parent(self, failed: bool) -> None:
        """Note at the request that makes this call how the call ended."""
        parent = self._parent_job
        if parent is not None:
            parent.open_calls -= 1
            parent.call_failed |= failed

    def _withdraw(self) -> None:
        peer, call = self._peer, self._call
        self._peer = self._call = None
        if peer is not None and call is not None:
            peer.cancel(call.call_id)

    def wake(self) -> None:
        """Give up an overdue reply, or look again for a backend server."""
        try:
            if self._call is None:
                self._place()
                return
            self._withdraw()
            self._take_outcome(MayHaveRun(EXPIRED))
        except Exception as exc:
            self._fail(exc)

    def _fail(self, exc: Exception) -> None:
        """Answer a request whose step ended by an exception nobody expected."""
        self._placing.event_log.log_exception("placement", exc)
        self._finish(Final(502))

    def _place(self) -> None:
        """Send the request to the next backend server, if there is one."""
        placing = self._placing
        if not placing.reports.may_be_sent(self._fingerprint):
            self._give_up_quarantined()
            return
        used_up = len(self._offered_to) >= self._route.max_attempts
        only = self._offered_to if used_up else None
        peer = placing.choose(self._service, self._route.name, self._tried, only)
        if peer is None:
            patience = self._started + _LOOK_SHARE * self._route.objective
            now = placing.clock.now()
            if now >= min(self._deadline, patience):
                self._give_up()
            else:
                self.wakes_at = now
            return
        self._placements += 1
        self._peer = peer
        self._call = call = self._new_call(peer)
        self.wakes_at = self._deadline + _LAST_WORD_MS
        peer.send(call, self._take_reply)

    def _new_call(self, peer: Peer) -> Call:
        placing, req, route = self._placing, self._req, self._route
        parent = self._parent
        instance = peer.target.instance
        now = placing.clock.now()
        head = b"%s %s HTTP/1.1\r\n%s%s%s%s: %s\r\n" % (
            req.method,
            req.target,
            req.headers,
            placing.caller_line,
            placing.workspace_line(self._workspace),
            placing.target_name,
            instance.encode(),
        )
        return Call(
            placing.next_id(),
            instance,
            head,
            req.body,
            round(self._deadline - now, 1),
            round(self._due - now),
            route.priority if parent is None else parent.rank,
            parent is not None,
            self._arrivals > 0 or (parent is not None and parent.repeated),
            self._arrivals > 0,
            self._lot,
            route.idempotent,
            req.request_id,
            route.name,
            self._fingerprint,
        )

    def _take_reply(self, outcome: Outcome, below: Below) -> None:
        """Take the outcome of the call; a fault here must not end the link's task."""
        call, peer = self._call, self._peer
        if call is None or peer is None:
            return
        self._peer = self._call = None
        if self._parent_job is not None:
            self._parent_job.calls += 1 + below.calls
        self._failed_below = below.failed
        try:
            if isinstance(outcome, Answered):
                route = self._route.name
                self._placing.pressures.note_reply(self._service, route, below)
                sent = len(call.head) + len(call.body)
                received = len(outcome.headers) + len(outcome.body)
                self._placing.note_bytes(route, sent + received)
                self._placing.reports.record_answer(self._fingerprint)
            elif isinstance(outcome, MayHaveRun) and outcome.reason == LINK_LOST:
                node = peer.target.node
                self._placing.reports.record_lost_link(
                    node, call.instance, self._fingerprint
                )
            self._tried.append(call.instance)
            if not isinstance(outcome, NotRun) or outcome.offered:
                self._offered_to.add(call.instance)
            self._take_outcome(outcome)
        except Exception as exc:
            self._fail(exc)

    def _take_outcome(self, outcome: Outcome) -> None:
        """Finish with an outcome, or go on to another backend server."""
        if isinstance(outcome, NotRun) and outcome.reason == NO_BUDGET:
            self._take_denial(outcome)
            return
        if isinstance(outcome, NotRun) and outcome.reason == QUARANTINED:
            self._give_up_quarantined()
            return
        self._last = outcome
        if isinstance(outcome, Answered) and not self._wants_repeat(outcome):
            self._answer(outcome)
            return
        is_arrival = not isinstance(outcome, NotRun) or outcome.offered
        self._arrivals += is_arrival
        if not isinstance(outcome, NotRun):
            self._may_have_run = True
        if not self._may_repeat(outcome):
            self._give_up()
        else:
            self._place()

    def _give_up_quarantined(self) -> None:
        """Finish a request that no server may run.

        What a try before led to is told as it was; the wait is how long others are kept
        from servers too, so that a caller who heeds it crashes none.
        """
        reports = self._placing.reports
        reports.record_refusal(self._fingerprint, self._req.request_id)
        self._is_quarantined = True
        if self._may_have_run:
            self._give_up()
            return
        self._last = NotRun(QUARANTINED)
        wait = reports.quarantine.retry_after(self._fingerprint)
        self._finish(Final(503, retry_after=max(wait, RETRY_AFTER_MS)))

    def _take_denial(self, outcome: NotRun) -> None:
        """Ask another door for a repeat, or finish with what came before."""
        self._denials += 1
        if self._denials < _MOST_DENIALS and self._may_repeat(outcome):
            self._place()
            return
        self._placing.event_log.event("no-retry-budget", request=self._req.request_id)
        self._give_up()

    def _wants_repeat(self, outcome: Answered) -> bool:
        """Whether another backend server may do better than this answer.

        Not where the server failed with a call of its own: that was repeated where it
        failed, as far as the budget goes, and each hop above would repeat the whole of
        its tree, out of the same budgets.
        """
        if self._failed_below:
            return False
        return self._route.idempotent and outcome.status in (500, 502)

    def _may_repeat(self, outcome: Outcome) -> bool:
        """Whether the request may go to one more backend server."""
        if self._placing.clock.now() >= self._deadline:
            return False
        if self._placements >= _MAX_PLACEMENTS:
            return False
        if isinstance(outcome, NotRun):
            # It may go once more to a server that refused it: that is no further one,
            # and one that refuses at random, however empty, takes it the next time.
            return True
        if len(self._offered_to) >= self._route.max_attempts:
            return False
        return self._route.idempotent

    def _answer(self, outcome: Answered) -> None:
        """Finish with the backend server's answer."""
        event_log = self._placing.event_log
        event_log.counts["answered", ""] += 1
        n_answered = event_log.counts["answered", ""]
        is_told = self._arrivals > 0 or outcome.status >= 500
        if is_told or n_answered % SAMPLE_ANSWERED == 0:
            event_log.event(
                "answered",
                request=self._req.request_id,
                route=self._route.name,
                status=outcome.status,
                arrivals=self._arrivals + 1,
                tried=self._tried,
                below=self._failed_below,
                took=self._took(),
            )
        if outcome.status in PROMISES:
            self._finish(Final(502))
        else:
            self._finish(Final(*outcome))

    def _give_up(self) -> None:
        """Finish with the word that there is no answer."""
        last = self._last
        self._placing.event_log.event(
            "given-up",
            request=self._req.request_id,
            route=self._route.name,
            ran=self._may_have_run,
            cause=last.reason if not isinstance(last, Answered) else last.status,
            arrivals=self._arrivals,
            placements=self._placements,
            tried=self._tried,
            took=self._took(),
        )
        if isinstance(last, Answered):
            self._finish(Final(*last))
        elif not self._may_have_run:
            self._finish(Final(503, retry_after=RETRY_AFTER_MS))
        else:
            expired = isinstance(last, MayHaveRun) and last.reason == EXPIRED
            self._finish(Final(504 if expired else 502))

    def _finish(self, final: Final) -> None:
        if self._placing.in_progress.pop(self, 0) == 0:
            return
        failed = final.status >= 500 or final.status in PROMISES
        self._tell_parent(failed and self._has_reached_a_server())
        now = self._placing.clock.now()
        if self._parent is None and not self._is_quarantined:
            self._placing.served.note_end(self._route.name, final.status < 500, now)
        took = now - self._started
        self._placing.event_log.count_outcome(self._route.name, str(final.status), took)
        self._done(final)

    def _took(self) -> Milliseconds:
        return round(self._placing.clock.now() - self._started, 1)
