"""Quota tokens of workspaces that one node holds for the requests it receives."""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import nlargest
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.workspaces.grants import Grant

# Milliseconds for which a token may be used. Tokens kept for longer could be used
# together with those of a later rate window.
TOKEN_LIFETIME_MS = 1_000.0
# A node requests tokens in advance for the requests that it expects in `_PREFETCH_MS`,
# and requests more once its tokens suffice for less than `_LOW_STOCK_MS`.
_PREFETCH_MS = 300.0
_LOW_STOCK_MS = 100.0
# Time constant in milliseconds of the decaying request count.
_REQUEST_DECAY_MS = 1_000.0
# Maximum milliseconds for which a node requests no tokens after it got too few.
_DENIED_MS = 200.0
# Milliseconds without a request after which a workspace is removed.
_IDLE_MS = 30_000.0


@dataclass(slots=True)
class _WorkspaceTokens:
    """Tokens and recent requests of one workspace."""

    tokens: int = 0
    expires_at: Milliseconds = 0.0
    recent_requests: float = 0.0
    requested_at: Milliseconds = 0.0
    denied_until: Milliseconds = float("-inf")
    retry_at: Milliseconds = 0.0

    def count_request(self, now: Milliseconds) -> None:
        decay = math.exp((self.requested_at - now) / _REQUEST_DECAY_MS)
        self.recent_requests = self.recent_requests * decay + 1.0
        self.requested_at = now

    def expected_requests(self, span: Milliseconds) -> float:
        """Return how many requests to expect in a time span."""
        return self.recent_requests * span / _REQUEST_DECAY_MS


class TokenCache:
    """Tokens held by workspace, and how many more to request from the owner."""

    def __init__(self) -> None:
        self._workspaces: dict[str, _WorkspaceTokens] = {}

    def _of(self, name: str) -> _WorkspaceTokens:
        held = self._workspaces.get(name)
        if held is None:
            held = self._workspaces[name] = _WorkspaceTokens()
        return held

    def count_request(self, name: str, now: Milliseconds) -> None:
        """Count a request of a workspace."""
        self._of(name).count_request(now)

    def take(self, name: str, now: Milliseconds) -> bool:
        """Use a token for one request; return whether there was one."""
        held = self._of(name)
        if held.tokens <= 0 or now >= held.expires_at:
            held.tokens = 0
            return False
        held.tokens -= 1
        return True

    def put_back(self, name: str) -> None:
        """Put back the token of a request that was not run."""
        held = self._of(name)
        held.tokens += 1

    def denied_for(self, name: str, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds for which requests are denied; 0 if they are not."""
        held = self._of(name)
        if now >= held.denied_until:
            return 0.0
        return max(held.retry_at - now, held.denied_until - now)

    def wanted(self, name: str, n_waiting: int, now: Milliseconds) -> int:
        """Return how many tokens to request from the owner; 0 if there are enough.

        No tokens are requested in advance for workspaces with few requests here, since
        tokens held by one node are missing where the next request arrives.

        Parameters
        ----------
        name : str
            Name of the workspace.
        n_waiting : int
            Requests that wait for a token.
        now : float
            Time in milliseconds.
        """
        held = self._of(name)
        if now < held.denied_until:
            return 0
        tokens = held.tokens if now < held.expires_at else 0
        if not n_waiting and tokens >= held.expected_requests(_LOW_STOCK_MS):
            return 0
        return n_waiting + max(int(held.expected_requests(_PREFETCH_MS)) - tokens, 0)

    def add(self, name: str, grant: Grant, now: Milliseconds) -> None:
        """Add the tokens that the owner has granted."""
        held = self._of(name)
        if now >= held.expires_at:
            held.tokens = 0
        held.tokens += grant.tokens
        held.expires_at = now + TOKEN_LIFETIME_MS
        if grant.wait > 0.0:
            held.denied_until = now + min(grant.wait, _DENIED_MS)
            held.retry_at = now + grant.wait

    def tokens(self, name: str) -> int:
        """Return the tokens held for a workspace."""
        return self._of(name).tokens

    def busiest(self, max_workspaces: int) -> list[tuple[str, float]]:
        """Return the workspaces with the highest request rates here, per second."""
        rates = {
            name: held.recent_requests * MS_PER_S / _REQUEST_DECAY_MS
            for name, held in self._workspaces.items()
        }
        return nlargest(max_workspaces, rates.items(), key=lambda item: item[1])

    def forget(self, now: Milliseconds) -> None:
        """Remove workspaces without recent requests."""
        for name, held in list(self._workspaces.items()):
            if now - held.requested_at > _IDLE_MS:
                del self._workspaces[name]
