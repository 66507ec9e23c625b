"""What the backend server on this host calls, and how full those services are."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.peers import Peers

# Milliseconds after its last call for which a service counts as called.
_CALLED_MS = 10_000.0
# What is left of a fullness one service further up. Services may call each other in a
# circle, and without a loss on the way round a fullness in it would never fall.
_PASSED_ON = 0.97
# Milliseconds for which a computed fullness is good: many answers carry it.
_FRESH_MS = 50.0


class CalledServices:
    """Services that the backend server on this host calls.

    Parameters
    ----------
    peers : Peers
        Doors and their fullness.
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._called: dict[str, Milliseconds] = {}
        self._fullness = 0.0
        self._until = float("-inf")

    def note(self, service: str) -> None:
        """Count a call to a service."""
        self._called[service] = self._clock.now()

    def any(self) -> bool:
        """Whether the backend server calls any service."""
        return bool(self._called)

    def fullness(self) -> float:
        """Return the fullness of the fullest service that is called."""
        now = self._clock.now()
        if now >= self._until:
            self._until = now + _FRESH_MS
            self._called = {
                s: at for s, at in self._called.items() if now - at < _CALLED_MS
            }
            fullest = max(map(self._peers.fullness, self._called), default=0.0)
            self._fullness = _PASSED_ON * fullest
        return self._fullness
