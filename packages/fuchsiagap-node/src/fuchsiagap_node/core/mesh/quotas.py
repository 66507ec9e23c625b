"""Distributed quotas of workspaces: requests tokens from owners, and grants them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import TYPE_CHECKING

from fuchsiagap.core.workspaces.grants import Grant, QuotaGrants
from fuchsiagap.core.workspaces.token_cache import TokenCache
from fuchsiagap_node.core.mesh.messages import TokenGrant, TokenRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.quota_owners import QuotaOwners

# Milliseconds between two checks of the waiting requests.
PENDING_CHECK_MS = 50.0
# Milliseconds that a request waits for a token before it is refused as not run.
MAX_TOKEN_WAIT_MS = 400.0
# Milliseconds after which a token request without an answer is sent again, to the node
# that owns the quota by then.
_REQUEST_RETRY_MS = 150.0
# Milliseconds until the next token request after the asked node was not the owner.
_NOT_OWNER_RETRY_MS = 60.0
# Milliseconds after the first start of the whole system in which the first candidate
# for a quota creates its token bucket with the full burst, since no tokens can have
# been used before.
_FIRST_START_MS = 60_000.0


class Verdict(Enum):
    """Whether a request is within the quota of its workspace."""

    WITHIN = "within"
    OVER = "over"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Decision on a request that needs a token.

    Parameters
    ----------
    verdict : Verdict
        Whether it is within the quota; unknown if the owner is unreachable.
    retry_after : float, default=0
        Milliseconds after which a token may be available.
    """

    verdict: Verdict
    retry_after: Milliseconds = 0.0


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a token.

    Parameters
    ----------
    on_decision : callable
        Called once with the decision, unless the request is cancelled.
    expires_at : float
        Local time in milliseconds at which the wait ends.
    is_decided : bool
        Whether the decision was made, or the caller has disconnected.
    """

    on_decision: Callable[[QuotaDecision], None]
    expires_at: Milliseconds
    is_decided: bool = False

    def settle(self, decision: QuotaDecision) -> None:
        """Pass on the decision, unless there is one already."""
        if not self.is_decided:
            self.is_decided = True
            on_decision, self.on_decision = self.on_decision, _ignore
            on_decision(decision)

    def cancel(self) -> None:
        """Drop the request, since its caller has disconnected."""
        self.is_decided = True
        self.on_decision = _ignore


@dataclass(slots=True)
class _PendingRequests:
    """Waiting requests of a workspace, and the state of its token request."""

    workspace: Workspace
    waiting: deque[Waiter] = field(default_factory=deque)
    query_id: int = 0
    requested_at: Milliseconds = float("-inf")
    retry_at: Milliseconds = 0.0

    def n_waiting(self) -> int:
        """Return the number of requests that still wait."""
        return sum(not waiter.is_decided for waiter in self.waiting)


def _ignore(_: QuotaDecision) -> None:
    """Ignore the decision on a request that has ended."""


_WITHIN = QuotaDecision(Verdict.WITHIN)


class Quotas:
    """Acquires tokens for the requests that enter at one node.

    Parameters
    ----------
    owners : QuotaOwners
        Determines which node owns a quota.
    post : callable
        Sends a message to a node; returns False if there is no open link.
    is_first_start : bool
        Whether the whole system starts for the first time.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Receives events and counts.

    Attributes
    ----------
    workspaces : dict of str to Workspace
        Workspaces of the active configuration, by name.
    token_cache : TokenCache
        Tokens cached for requests that enter here.
    grants : QuotaGrants
        Token buckets of the quotas that this node owns.
    """

    def __init__(
        self,
        owners: QuotaOwners,
        post: Callable[[str, TokenRequest], bool],
        is_first_start: bool,
        clock: Clock,
        event_log: EventLog,
    ) -> None:
        self._owners = owners
        self._post = post
        self._full_burst_until = clock.now() + (
            _FIRST_START_MS if is_first_start else 0.0
        )
        self._clock = clock
        self._event_log = event_log
        self._query_ids = count(1)
        self._pending: dict[str, _PendingRequests] = {}
        self.token_cache = TokenCache()
        self.grants = QuotaGrants()
        self.workspaces: dict[str, Workspace] = {}

    def acquire(
        self, workspace: Workspace, on_decision: Callable[[QuotaDecision], None]
    ) -> Waiter | None:
        """Acquire a token for a request.

        Parameters
        ----------
        workspace : Workspace
            Workspace of the request.
        on_decision : callable
            Called once with the decision, immediately or later.

        Returns
        -------
        Waiter or None
            To be cancelled if the caller disconnects; None if it is decided.
        """
        if workspace.rate <= 0.0:
            on_decision(_WITHIN)
            return None
        now = self._clock.now()
        name = workspace.name
        self.token_cache.count_request(name, now)
        if self.token_cache.take(name, now):
            on_decision(_WITHIN)
            self._fetch(workspace, now)
            return None
        wait = self.token_cache.denied_for(name, now)
        if wait > 0.0:
            on_decision(QuotaDecision(Verdict.OVER, wait))
            return None
        waiter = Waiter(on_decision, now + MAX_TOKEN_WAIT_MS)
        self._pending_for(workspace).waiting.append(waiter)
        self._fetch(workspace, now)
        return None if waiter.is_decided else waiter

    def put_back(self, workspace: Workspace) -> None:
        """Return the token of a request that has not run."""
        if workspace.rate > 0.0:
            self.token_cache.put_back(workspace.name)

    def process_pending(self) -> None:
        """Repeat unanswered token requests, and refuse requests whose wait ended."""
        now = self._clock.now()
        for name, pending in list(self._pending.items()):
            while pending.waiting and pending.waiting[0].expires_at <= now:
                pending.waiting.popleft().settle(QuotaDecision(Verdict.UNKNOWN))
            if pending.waiting:
                self._fetch(pending.workspace, now)
            elif now - pending.requested_at > _REQUEST_RETRY_MS:
                del self._pending[name]

    def evict_idle(self) -> None:
        """Evict the state of workspaces without recent requests."""
        now = self._clock.now()
        self.token_cache.forget(now)
        self.grants.forget(now)

    def adopt(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the workspaces of a new configuration."""
        self.workspaces = {workspace.name: workspace for workspace in workspaces}

    def _pending_for(self, workspace: Workspace) -> _PendingRequests:
        pending = self._pending.get(workspace.name)
        if pending is None:
            pending = self._pending[workspace.name] = _PendingRequests(workspace)
        pending.workspace = workspace
        return pending

    def _fetch(self, workspace: Workspace, now: Milliseconds) -> None:
        """Request tokens if more are needed and no request is pending."""
        pending = self._pending.get(workspace.name)
        n_waiting = 0 if pending is None else pending.n_waiting()
        wanted = self.token_cache.wanted(workspace.name, n_waiting, now)
        if not wanted:
            return
        pending = pending or self._pending_for(workspace)
        if now < pending.retry_at:
            return
        pending.retry_at = now + _REQUEST_RETRY_MS
        pending.requested_at = now
        owner = self._owners.owner(workspace.name)
        if owner == self._owners.node:
            self._distribute(workspace.name, self._grant(workspace, wanted), now)
        elif owner is not None:
            pending.query_id = next(self._query_ids)
            self._post(owner, TokenRequest(pending.query_id, workspace.name, wanted))

    def _grant(self, workspace: Workspace, wanted: int) -> Grant:
        """Grant tokens as the owner of a quota."""
        now = self._clock.now()
        begins_full = now < self._full_burst_until and self._owners.is_first(
            workspace.name
        )
        share = self._owners.share()
        return self.grants.grant(workspace, wanted, now, share, begins_full)

    def grant_tokens(self, request: TokenRequest) -> TokenGrant:
        """Answer the token request of another node."""
        name = request.workspace
        workspace = self.workspaces.get(name)
        is_owner = self._owners.owner(name) == self._owners.node
        if workspace is None or not is_owner:
            return TokenGrant(request.query_id, name, 0, 0.0, is_owner=False)
        grant = self._grant(workspace, request.tokens)
        return TokenGrant(
            request.query_id, name, grant.tokens, grant.wait, is_owner=True
        )

    def handle_grant(self, grant: TokenGrant) -> None:
        """Take granted tokens, unless the grant is late or its request was repeated."""
        pending = self._pending.get(grant.workspace)
        if pending is None or pending.query_id != grant.query_id:
            return
        now = self._clock.now()
        if now - pending.requested_at > MAX_TOKEN_WAIT_MS:
            return
        pending.query_id = 0
        if not grant.is_owner:
            pending.retry_at = now + _NOT_OWNER_RETRY_MS
            return
        self._distribute(grant.workspace, Grant(grant.tokens, grant.wait), now)

    def _distribute(self, name: str, grant: Grant, now: Milliseconds) -> None:
        """Give the tokens to waiting requests; refuse the others or request more."""
        pending = self._pending[name]
        pending.retry_at = now
        self.token_cache.add(name, grant, now)
        waiting, pending.waiting = pending.waiting, deque()
        for waiter in waiting:
            if waiter.is_decided:
                continue
            if self.token_cache.take(name, now):
                waiter.settle(_WITHIN)
            elif grant.wait > 0.0:
                waiter.settle(QuotaDecision(Verdict.OVER, grant.wait))
            else:
                pending.waiting.append(waiter)
        if pending.waiting:
            self._fetch(pending.workspace, now)
