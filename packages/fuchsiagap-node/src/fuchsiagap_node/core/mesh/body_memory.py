"""Bound on the memory for bodies of requests and responses in progress."""

from __future__ import annotations

import math

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


class BodyMemory:
    """Counts the bytes of bodies that a node holds, and decides what fits.

    Parameters
    ----------
    limit : float, default=inf
        Maximum number of bytes.

    Attributes
    ----------
    limit : float
        Maximum number of bytes.
    held : int
        Bytes of the bodies that are held now.
    n_refused : int
        Number of bodies that did not fit.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held = 0
        self.n_refused = 0

    def admits(self, n_bytes: int, rank: int) -> bool:
        """Whether a new request with a body of `n_bytes` may be accepted.

        Requests of worse ranks are refused while less memory is in use. A request whose
        body alone takes most of the memory is accepted while little is in use.
        """
        share = max(_BEST_RANK_SHARE - _SHARE_PER_RANK * rank, _MIN_SHARE)
        if self.held > self.limit * share:
            self.n_refused += 1
            return False
        return self.fits(n_bytes)

    def fits(self, n_bytes: int) -> bool:
        """Whether a body of `n_bytes` can be held."""
        if self.held + n_bytes > self.limit:
            self.n_refused += 1
            return False
        return True

    def hold(self, n_bytes: int) -> None:
        """Count the bytes of a body that is held from now on."""
        self.held += n_bytes

    def release(self, n_bytes: int) -> None:
        """Count the bytes of a body that is no longer held."""
        self.held -= n_bytes


def body_limit(memory_bytes: float) -> float:
    """Return the bound on the bytes of bodies for a process.

    Parameters
    ----------
    memory_bytes : float
        Memory that the process may use.
    """
    return max((memory_bytes - _BASE_BYTES) / _COPIES, _MIN_LIMIT_BYTES)
