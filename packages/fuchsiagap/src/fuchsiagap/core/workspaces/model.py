"""What an accepted configuration says of a workspace."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Workspace:
    """A team whose requests carry one of its API keys.

    Parameters
    ----------
    name : str
        Name, unique in the configuration.
    key_digests : tuple of bytes
        Digests of its API keys; see `fuchsiagap.core.workspaces.keys`.
    priority : int or None
        Rank of its requests, in place of that of their route; None leaves the route's.
    rate : float
        Requests a second over all nodes together; 0 for no limit.
    burst : float
        Requests on top of them.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
