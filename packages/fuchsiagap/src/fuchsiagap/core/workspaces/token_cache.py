"""Tokens of workspaces that one node holds for the requests that come to it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import nlargest
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.workspaces.grants import Grant

# Milliseconds for which a token may be used. Tokens that are kept for longer than a
# window allows could be used together with those of a later one.
TOKEN_LIFETIME_MS = 1_000.0
# Milliseconds of requests that a node asks tokens for in advance, and what is left of
# them when it asks again.
_AHEAD_MS = 300.0
_LOW_MS = 100.0
# Milliseconds over which requests are counted (to 1/e).
_COUNTED_MS = 1_000.0
# Milliseconds for which a node asks no more after it got too few.
_DENIED_MS = 200.0
# Milliseconds without a request after which a workspace is forgotten.
_FORGOTTEN_MS = 30_000.0


@dataclass(slots=True)
class _Held:
    """What is held for one workspace."""

    tokens: int = 0
    until: Milliseconds = 0.0
    asked: float = 0.0
    asked_at: Milliseconds = 0.0
    denied_until: Milliseconds = float("-inf")
    come_back_at: Milliseconds = 0.0

    def count_request(self, now: Milliseconds) -> None:
        kept = math.exp((self.asked_at - now) / _COUNTED_MS)
        self.asked = self.asked * kept + 1.0
        self.asked_at = now

    def ahead(self, span: Milliseconds) -> float:
        """Return how many requests come in a span, by those of late."""
        return self.asked * span / _COUNTED_MS


class TokenCache:
    """Tokens by workspace, and how many to ask for."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}

    def _of(self, name: str) -> _Held:
        held = self._held.get(name)
        if held is None:
            held = self._held[name] = _Held()
        return held

    def count_request(self, name: str, now: Milliseconds) -> None:
        """Count a request of a workspace."""
        self._of(name).count_request(now)

    def take(self, name: str, now: Milliseconds) -> bool:
        """Use a token for one request, if there is one."""
        held = self._of(name)
        if held.tokens <= 0 or now >= held.until:
            held.tokens = 0
            return False
        held.tokens -= 1
        return True

    def put_back(self, name: str) -> None:
        """Return the token of a request that has not run."""
        held = self._of(name)
        held.tokens += 1

    def denied_for(self, name: str, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds that a request has to stay away; 0 if it may ask."""
        held = self._of(name)
        if now >= held.denied_until:
            return 0.0
        return max(held.come_back_at - now, held.denied_until - now)

    def wanted(self, name: str, n_waiting: int, now: Milliseconds) -> int:
        """Return how many tokens to ask for; 0 while there are enough.

        Workspaces with few requests here hold none in advance: what lies with one node
        is missing where the next request comes.
        """
        held = self._of(name)
        if now < held.denied_until:
            return 0
        tokens = held.tokens if now < held.until else 0
        if not n_waiting and tokens >= held.ahead(_LOW_MS):
            return 0
        return n_waiting + max(int(held.ahead(_AHEAD_MS)) - tokens, 0)

    def add(self, name: str, grant: Grant, now: Milliseconds) -> None:
        """Take in what the owner has granted."""
        held = self._of(name)
        if now >= held.until:
            held.tokens = 0
        held.tokens += grant.tokens
        held.until = now + TOKEN_LIFETIME_MS
        if grant.wait > 0.0:
            held.denied_until = now + min(grant.wait, _DENIED_MS)
            held.come_back_at = now + grant.wait

    def tokens(self, name: str) -> int:
        """Return the tokens that are held for a workspace."""
        return self._of(name).tokens

    def busiest(self, most: int) -> list[tuple[str, float]]:
        """Return the workspaces asked for most here, with requests a second."""
        rates = {
            name: held.asked * MS_PER_S / _COUNTED_MS
            for name, held in self._held.items()
        }
        return nlargest(most, rates.items(), key=lambda item: item[1])

    def forget(self, now: Milliseconds) -> None:
        """Forget the workspaces without a request of late."""
        for name, held in list(self._held.items()):
            if now - held.asked_at > _FORGOTTEN_MS:
                del self._held[name]
