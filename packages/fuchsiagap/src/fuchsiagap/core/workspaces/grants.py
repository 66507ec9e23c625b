"""What the owner of a workspace's quota grants to the nodes that take its requests.

One node owns the quota of a workspace and keeps its only token bucket; the others ask
it for tokens. So the sum over all nodes is bounded by one bucket whatever the nodes
know of each other. See `docs/design/tenants.md` for the ways weighed.
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

# Part of the bucket that one node gets at a time, beyond a first token: a node that
# asks for more than it needs leaves something to the others.
_MOST_PART = 0.25
# Milliseconds over which requests that got no token are counted (to 1/e).
_DENIED_MS = 1_000.0
# Milliseconds that a request without a token is to stay away, at least and at most.
MIN_WAIT_MS = 100.0
MAX_WAIT_MS = 5_000.0
# Milliseconds without a question after which a bucket is forgotten, with a burst that
# has come in meanwhile.
_FORGOTTEN_MS = 60_000.0
# Milliseconds between two looks for buckets to forget.
SWEEP_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Grant:
    """An answer to a node that asked for tokens.

    Parameters
    ----------
    tokens : int
        Requests that may be sent on.
    wait : float
        Milliseconds after which a request without a token may find one; 0 if all that
        was asked for is granted.
    """

    tokens: int
    wait: Milliseconds = 0.0


@dataclass(slots=True)
class _Owned:
    """The quota of one workspace."""

    bucket: TokenBucket
    asked_at: Milliseconds
    denied: float = 0.0

    def count_denied(self, n_denied: int, now: Milliseconds) -> None:
        kept = math.exp((self.asked_at - now) / _DENIED_MS)
        self.denied = self.denied * kept + n_denied
        self.asked_at = now


class QuotaGrants:
    """Buckets of the workspaces whose quota this node owns."""

    def __init__(self) -> None:
        self._owned: dict[str, _Owned] = {}

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
            Whose quota.
        wanted : int
            Tokens that are asked for.
        now : float
            Time.
        share : float, default=1
            Part of the quota that this node may hand out; less where another node may
            own the rest, on the other side of a partition.
        begins_full : bool, default=False
            Whether nothing can have been granted before the first question.
        """
        owned = self._owned.get(workspace.name)
        if owned is None:
            owned = _Owned(TokenBucket(now, begins_full), now)
            self._owned[workspace.name] = owned
        rate = workspace.rate * share
        owned.bucket.fill(rate, workspace.burst * share, now)
        part = math.ceil(owned.bucket.level * _MOST_PART)
        tokens = owned.bucket.take(min(wanted, max(part, 1)))
        is_short = tokens < wanted and owned.bucket.level < 1.0
        owned.count_denied(wanted - tokens if is_short else 0, now)
        if not is_short:
            return Grant(tokens)
        wait = MS_PER_S * owned.denied / rate if rate > 0.0 else MAX_WAIT_MS
        return Grant(tokens, min(max(wait, MIN_WAIT_MS), MAX_WAIT_MS))

    @property
    def n_owned(self) -> int:
        """Number of workspaces whose quota this node was asked for of late."""
        return len(self._owned)

    def level(self, name: str) -> float | None:
        """Return the tokens of a workspace; None if this node does not own it."""
        owned = self._owned.get(name)
        return None if owned is None else owned.bucket.level

    def forget(self, now: Milliseconds) -> None:
        """Forget the workspaces that nobody asked for of late."""
        for name, owned in list(self._owned.items()):
            if now - owned.asked_at > _FORGOTTEN_MS:
                del self._owned[name]
