"""Bound on the memory for bodies of requests and responses in progress."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES

if TYPE_CHECKING:
    from collections.abc import Collection

# Bytes that a node needs besides bodies.
_BASE_BYTES = 60_000_000
# Copies of a body at most, while it is received and once it is complete.
_COPIES = 2
# Minimum bound, for hosts with little memory.
_MIN_LIMIT_BYTES = 8_000_000
# Share of the bound in use above which requests of the best rank are refused, and what
# each worse rank has less. The rest is for responses.
_BEST_RANK_SHARE = 0.75
_SHARE_PER_RANK = 0.1
_MIN_SHARE = 0.25
# Bytes that small bodies may use whatever else is in use, beyond the bound if need be,
# so that large ones do not keep them out.
_SMALL_RESERVE_BYTES = 4_000_000
# Weight of the latest size in the average size of a route.
_SIZE_WEIGHT = 0.05


class BodyMemory:
    """Counts the bytes of bodies that a node holds, and decides what fits.

    Parameters
    ----------
    limit : float, default=inf
        Maximum number of bytes.

    Attributes
    ----------
    limit : float
        Maximum number of bytes; requests with small bodies have a reserve beyond it.
    held : int
        Bytes of the bodies that are held now.
    held_small : int
        Those of them that belong to small bodies.
    n_refused : int
        Number of bodies that did not fit.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held = 0
        self.held_small = 0
        self.n_refused = 0

    def admits(self, n_bytes: int, rank: int, n_held: int = 0) -> bool:
        """Whether a new request that needs `n_bytes` more may be accepted.

        Requests of worse ranks are refused while less memory is in use. A request whose
        body alone takes most of the memory is accepted while little is in use.

        Parameters
        ----------
        n_bytes : int
            Bytes of a body, or of a part of it.
        rank : int
            Priority rank of the request; 0 is the best.
        n_held : int, default=0
            Bytes of the same request that are held already.
        """
        share = max(_BEST_RANK_SHARE - _SHARE_PER_RANK * rank, _MIN_SHARE)
        is_admitted = (
            self.held - n_held <= self.limit * share
            and self.held + n_bytes <= self.limit
        )
        if n_held + n_bytes < LARGE_BODY_BYTES:
            others = self.held_small - n_held
            is_admitted = is_admitted or others <= _SMALL_RESERVE_BYTES * share
        self.n_refused += not is_admitted
        return is_admitted

    def fits(self, n_bytes: int) -> bool:
        """Whether a body of `n_bytes` can be held."""
        if self.held + n_bytes > self.limit:
            self.n_refused += 1
            return False
        return True

    def hold(self, n_bytes: int) -> None:
        """Count the bytes of a body that is held from now on."""
        self.held += n_bytes
        if n_bytes < LARGE_BODY_BYTES:
            self.held_small += n_bytes

    def grow(self, n_held: int, n_bytes: int) -> None:
        """Count `n_bytes` more of a body of which `n_held` bytes are held."""
        self.release(n_held)
        self.hold(n_held + n_bytes)

    def release(self, n_bytes: int) -> None:
        """Count the bytes of a body that is no longer held, all of them at once."""
        self.held -= n_bytes
        if n_bytes < LARGE_BODY_BYTES:
            self.held_small -= n_bytes


class BodySizes:
    """Average size of the bodies of each route, in bytes."""

    def __init__(self) -> None:
        self._average: dict[str, float] = {}

    def record(self, route: str, n_bytes: int) -> None:
        """Record the size of one request and its response."""
        known = self._average.get(route, float(n_bytes))
        self._average[route] = known + (n_bytes - known) * _SIZE_WEIGHT

    def expected(self, route: str) -> float:
        """Return the average size; 0 if it is not known."""
        return self._average.get(route, 0.0)

    def retain(self, routes: Collection[str]) -> None:
        """Forget the routes that no longer exist."""
        self._average = {k: v for k, v in self._average.items() if k in routes}


def body_limit(memory_bytes: float) -> float:
    """Return the bound on the bytes of bodies for a process.

    Parameters
    ----------
    memory_bytes : float
        Memory that the process may use.
    """
    return max((memory_bytes - _BASE_BYTES) / _COPIES, _MIN_LIMIT_BYTES)
