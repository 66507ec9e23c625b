"""A request to a service, as the caller specifies it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap import Milliseconds

# Methods that never change state. Nodes use the `idempotent` setting of the route.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass(frozen=True, slots=True)
class Request:
    """One request to a service.

    Parameters
    ----------
    method : str
        HTTP method, in upper case.
    path : str
        ``/TEAM/SERVICE/...``, with the query.
    body : bytes
        The whole body.
    headers : tuple of (str, str)
        End-to-end headers.
    timeout : float, optional
        Milliseconds the request may take, retries included; by default the client's.
    allowance : int, optional
        Maximum number of retries, those of nested calls included; by default the
        client's.
    priority : int, optional
        A lower priority than the route's; 0 is the highest priority, 9 the lowest.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout: Milliseconds | None = None
    allowance: int | None = None
    priority: int | None = None

    @property
    def safe(self) -> bool:
        """Whether the method is safe, that is, never changes state."""
        return self.method in _SAFE_METHODS
