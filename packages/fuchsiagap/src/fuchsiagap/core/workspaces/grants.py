"""Grants quota tokens of workspaces to the nodes that receive their requests.

One node owns the quota of a workspace and keeps its only token bucket; the others ask
it for tokens. So the sum over all nodes is bounded by one bucket, whatever the nodes
know about each other. See `docs/design/tenants.md` for the alternatives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.workspaces.token_bucket import TokenBucket

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace

# Largest share of the bucket that one grant takes, though at least one token: a node
# that asks for more than it needs leaves some for the others.
_MAX_GRANT_SHARE = 0.25
# Time constant in milliseconds of the count of requests that got no token.
_DENIED_DECAY_MS = 1_000.0
# Bounds in milliseconds of the wait announced to requests without a token.
MIN_WAIT_MS = 100.0
MAX_WAIT_MS = 5_000.0
# Milliseconds after which the bucket of a workspace that no node asks for is removed,
# including the burst that it has accumulated.
_IDLE_MS = 60_000.0
# Milliseconds between two searches for idle buckets.
SWEEP_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a node that asked for tokens.

    Parameters
    ----------
    tokens : int
        Requests that the node may admit.
    wait : float
        Milliseconds after which a request without a token may get one; 0 if the node
        may ask again at once.
    """

    tokens: int
    wait: Milliseconds = 0.0


@dataclass(slots=True)
class _OwnedQuota:
    """The quota of one workspace."""

    bucket: TokenBucket
    asked_at: Milliseconds
    denied: float = 0.0

    def count_denied(self, n_denied: int, now: Milliseconds) -> None:
        decay = math.exp((self.asked_at - now) / _DENIED_DECAY_MS)
        self.denied = self.denied * decay + n_denied
        self.asked_at = now


class QuotaGrants:
    """Token buckets of the workspaces whose quota this node owns."""

    def __init__(self) -> None:
        self._owned: dict[str, _OwnedQuota] = {}

    def grant(
        self,
        workspace: Workspace,
        wanted: int,
        now: Milliseconds,
        share: float = 1.0,
        begins_full: bool = False,
    ) -> Grant:
        """Grant tokens to one node.

        Parameters
        ----------
        workspace : Workspace
            Workspace whose quota is used.
        wanted : int
            Number of tokens asked for.
        now : float
            Time in milliseconds.
        share : float, default=1
            Share of the quota that this node may grant; less than 1 while another node
            may own the rest on the other side of a partition.
        begins_full : bool, default=False
            Whether a new bucket starts full, because no other node can have granted
            tokens before.
        """
        owned = self._owned.get(workspace.name)
        if owned is None:
            owned = _OwnedQuota(TokenBucket(now, begins_full), now)
            self._owned[workspace.name] = owned
        rate = workspace.rate * share
        owned.bucket.fill(rate, workspace.burst * share, now)
        max_grant = math.ceil(owned.bucket.level * _MAX_GRANT_SHARE)
        tokens = owned.bucket.take(min(wanted, max(max_grant, 1)))
        is_short = tokens < wanted and owned.bucket.level < 1.0
        owned.count_denied(wanted - tokens if is_short else 0, now)
        if not is_short:
            return Grant(tokens)
        wait = MS_PER_S * owned.denied / rate if rate > 0.0 else MAX_WAIT_MS
        return Grant(tokens, min(max(wait, MIN_WAIT_MS), MAX_WAIT_MS))

    @property
    def n_owned(self) -> int:
        """Number of workspaces whose quota this node was asked for recently."""
        return len(self._owned)

    def level(self, name: str) -> float | None:
        """Return the tokens of a workspace; None if this node does not own it."""
        owned = self._owned.get(name)
        return None if owned is None else owned.bucket.level

    def forget(self, now: Milliseconds) -> None:
        """Remove the buckets of workspaces that no node asked for recently."""
        for name, owned in list(self._owned.items()):
            if now - owned.asked_at > _IDLE_MS:
                del self._owned[name]
