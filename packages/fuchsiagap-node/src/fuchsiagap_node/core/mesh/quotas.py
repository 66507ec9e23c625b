"""Quotas of workspaces over all nodes: asks their owners, and answers as one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import TYPE_CHECKING

from fuchsiagap.core.workspaces.grants import Grant, QuotaGrants
from fuchsiagap.core.workspaces.holdings import QuotaHoldings
from fuchsiagap_node.core.mesh.messages import TokensGranted, TokensWanted

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.quota_owners import QuotaOwners

# Milliseconds between two looks at what waits.
LOOK_MS = 50.0
# Milliseconds that a request waits for a token; then it is refused as not run.
WAIT_MS = 400.0
# Milliseconds after which a question that has no answer is asked again, of whoever owns
# the quota by then.
_ASK_AGAIN_MS = 150.0
# Milliseconds between two questions where the one that was asked is not the owner.
_NOT_OWNER_MS = 60.0
# Milliseconds after the start of the whole system in which the owners of quotas begin
# with a whole burst: nobody can have used any of it.
_FIRST_MS = 60_000.0


class Verdict(Enum):
    """Whether a request may be sent on."""

    WITHIN = "within"
    OVER = "over"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """What becomes of a request that needs a token.

    Parameters
    ----------
    verdict : Verdict
        Whether it is within the quota; unknown where its owner is out of reach.
    retry_after : float, default=0
        Milliseconds after which a token may be found.
    """

    verdict: Verdict
    retry_after: Milliseconds = 0.0


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a token.

    Parameters
    ----------
    decide : callable
        Told the answer, once, unless the request is cancelled.
    until : float
        When it is given up.
    is_decided : bool
        Whether it has its answer, or its caller has left.
    """

    decide: Callable[[QuotaAnswer], None]
    until: Milliseconds
    is_decided: bool = False

    def settle(self, answer: QuotaAnswer) -> None:
        """Tell the answer, unless there is one already."""
        if not self.is_decided:
            self.is_decided = True
            self.decide(answer)

    def cancel(self) -> None:
        """Give the request up: its caller has left."""
        self.is_decided = True


@dataclass(slots=True)
class _Asking:
    """The requests of a workspace that wait, and the question for tokens."""

    workspace: Workspace
    waiting: deque[Waiter] = field(default_factory=deque)
    question: int = 0
    asked_at: Milliseconds = float("-inf")
    ask_at: Milliseconds = 0.0

    def n_waiting(self) -> int:
        """Return how many requests wait."""
        return sum(not waiter.is_decided for waiter in self.waiting)


_WITHIN = QuotaAnswer(Verdict.WITHIN)


class Quotas:
    """Tokens for the requests that begin at one node.

    Parameters
    ----------
    owners : QuotaOwners
        Says which node owns a quota.
    post : callable
        Sends a message to a node; False if there is no way.
    is_first_start : bool
        Whether the whole system starts for the first time.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs and counters.

    Attributes
    ----------
    workspaces : dict of str to Workspace
        Workspaces in force, by name.
    holdings : QuotaHoldings
        Tokens for requests that begin here.
    grants : QuotaGrants
        Quotas that this node owns.
    """

    def __init__(
        self,
        owners: QuotaOwners,
        post: Callable[[str, TokensWanted], bool],
        is_first_start: bool,
        clock: Clock,
        event_log: EventLog,
    ) -> None:
        self._owners = owners
        self._post = post
        self._first_until = clock.now() + (_FIRST_MS if is_first_start else 0.0)
        self._clock = clock
        self._event_log = event_log
        self._questions = count(1)
        self._asking: dict[str, _Asking] = {}
        self.holdings = QuotaHoldings()
        self.grants = QuotaGrants()
        self.workspaces: dict[str, Workspace] = {}

    def ask(
        self, workspace: Workspace, decide: Callable[[QuotaAnswer], None]
    ) -> Waiter | None:
        """Decide whether a request may be sent on.

        Parameters
        ----------
        workspace : Workspace
            Whose request it is.
        decide : callable
            Told the answer, once, now or later.

        Returns
        -------
        Waiter or None
            What is to be cancelled if the caller leaves; None if it is decided.
        """
        if workspace.rate <= 0.0:
            decide(_WITHIN)
            return None
        now = self._clock.now()
        name = workspace.name
        self.holdings.count_request(name, now)
        if self.holdings.take(name, now):
            decide(_WITHIN)
            self._fetch(workspace, now)
            return None
        wait = self.holdings.denied_for(name, now)
        if wait > 0.0:
            decide(QuotaAnswer(Verdict.OVER, wait))
            return None
        waiter = Waiter(decide, now + WAIT_MS)
        self._asking_for(workspace).waiting.append(waiter)
        self._fetch(workspace, now)
        return None if waiter.is_decided else waiter

    def put_back(self, workspace: Workspace) -> None:
        """Return the token of a request that has not run."""
        if workspace.rate > 0.0:
            self.holdings.put_back(workspace.name)

    def look(self) -> None:
        """Ask again for what was not answered, and refuse what has waited too long."""
        now = self._clock.now()
        for name, asking in list(self._asking.items()):
            while asking.waiting and asking.waiting[0].until <= now:
                asking.waiting.popleft().settle(QuotaAnswer(Verdict.UNKNOWN))
            if asking.waiting:
                self._fetch(asking.workspace, now)
            elif now - asking.asked_at > _ASK_AGAIN_MS:
                del self._asking[name]

    def forget(self) -> None:
        """Forget the workspaces without a request of late."""
        now = self._clock.now()
        self.holdings.forget(now)
        self.grants.forget(now)

    def adopt(self, workspaces: Iterable[Workspace]) -> None:
        """Put the quotas of a configuration in force."""
        self.workspaces = {workspace.name: workspace for workspace in workspaces}

    def _asking_for(self, workspace: Workspace) -> _Asking:
        asking = self._asking.get(workspace.name)
        if asking is None:
            asking = self._asking[workspace.name] = _Asking(workspace)
        asking.workspace = workspace
        return asking

    def _fetch(self, workspace: Workspace, now: Milliseconds) -> None:
        """Ask for tokens, if more are needed and none are on their way."""
        asking = self._asking.get(workspace.name)
        n_waiting = 0 if asking is None else asking.n_waiting()
        wanted = self.holdings.wanted(workspace.name, n_waiting, now)
        if not wanted:
            return
        asking = asking or self._asking_for(workspace)
        if now < asking.ask_at:
            return
        asking.ask_at = now + _ASK_AGAIN_MS
        asking.asked_at = now
        owner = self._owners.owner(workspace.name)
        if owner == self._owners.node:
            self._settle(workspace.name, self._grant(workspace, wanted), now)
        elif owner is not None:
            asking.question = next(self._questions)
            self._post(owner, TokensWanted(asking.question, workspace.name, wanted))

    def _grant(self, workspace: Workspace, wanted: int) -> Grant:
        """Grant tokens as the owner of a quota."""
        now = self._clock.now()
        begins_full = now < self._first_until and self._owners.is_first(workspace.name)
        share = self._owners.share()
        return self.grants.grant(workspace, wanted, now, share, begins_full)

    def answer(self, question: TokensWanted) -> TokensGranted:
        """Return the answer to a node that asks for tokens."""
        name = question.workspace
        workspace = self.workspaces.get(name)
        is_owner = self._owners.owner(name) == self._owners.node
        if workspace is None or not is_owner:
            return TokensGranted(question.question, name, 0, 0.0, is_owner=False)
        grant = self._grant(workspace, question.tokens)
        return TokensGranted(
            question.question, name, grant.tokens, grant.wait, is_owner=True
        )

    def take_answer(self, answer: TokensGranted) -> None:
        """Take in tokens; those of a question that was asked again are dropped."""
        asking = self._asking.get(answer.workspace)
        if asking is None or asking.question != answer.question:
            return
        now = self._clock.now()
        if now - asking.asked_at > WAIT_MS:
            return
        asking.question = 0
        if not answer.is_owner:
            asking.ask_at = now + _NOT_OWNER_MS
            return
        self._settle(answer.workspace, Grant(answer.tokens, answer.wait), now)

    def _settle(self, name: str, grant: Grant, now: Milliseconds) -> None:
        """Give tokens to the requests that wait, and refuse the others."""
        asking = self._asking[name]
        asking.ask_at = now
        self.holdings.add(name, grant, now)
        waiting, asking.waiting = asking.waiting, deque()
        for waiter in waiting:
            if waiter.is_decided:
                continue
            if self.holdings.take(name, now):
                waiter.settle(_WITHIN)
            elif grant.wait > 0.0:
                waiter.settle(QuotaAnswer(Verdict.OVER, grant.wait))
            else:
                asking.waiting.append(waiter)
        if asking.waiting:
            self._fetch(asking.workspace, now)
