"""The part of a configuration that describes one workspace."""

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
        Priority of its requests, instead of that of their route; None keeps the
        route's.
    rate : float
        Requests per second over all nodes together; 0 for no limit.
    burst : float
        Requests allowed at once on top of the rate.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
