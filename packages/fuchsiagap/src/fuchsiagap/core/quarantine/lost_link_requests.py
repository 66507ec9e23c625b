"""Requests that were in flight to nodes when the links to them were lost."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Maximum number of nodes, and of requests per node, that are remembered.
_MAX_NODES = 1_024
_MAX_PER_NODE = 256


@dataclass(slots=True)
class _LostLink:
    """Requests in flight to one incarnation when the link was lost."""

    instance: str
    lost_at: Milliseconds
    fingerprints: set[bytes] = field(default_factory=set)


class LostLinkRequests:
    """Requests in flight over lost links, until the state of their servers is known.

    A lost link does not show whether the server behind it still runs. Once the node is
    linked again, its server is either the same incarnation or another one. In the
    latter case the earlier one has ended with the requests that were in flight to it.
    """

    def __init__(self) -> None:
        self._lost: dict[str, _LostLink] = {}

    def record_lost(
        self, node: str, instance: str, fingerprint: bytes, now: Milliseconds
    ) -> None:
        """Record that a request was lost with the link to a node.

        Parameters
        ----------
        node : str
            Name of the node.
        instance : str
            Incarnation of its server that the request was sent to.
        fingerprint : bytes
            Fingerprint of the request.
        now : float
            Time in milliseconds.
        """
        lost = self._lost.get(node)
        if lost is None or lost.instance != instance:
            self._lost.pop(node, None)
            lost = self._lost[node] = _LostLink(instance, now)
            if len(self._lost) > _MAX_NODES:
                del self._lost[next(iter(self._lost))]
        if len(lost.fingerprints) < _MAX_PER_NODE:
            lost.fingerprints.add(fingerprint)

    def resolve(
        self, node: str, instance: str
    ) -> tuple[str, Milliseconds, frozenset[bytes]] | None:
        """Record which server incarnation a node has now.

        Parameters
        ----------
        node : str
            Name of the node.
        instance : str
            Incarnation of its server; empty if not known yet.

        Returns
        -------
        tuple of str, float and frozenset of bytes, or None
            The incarnation that has ended, the time in milliseconds at which its link
            was lost, and the fingerprints in flight to it; None if it still runs or
            nothing was in flight to it.
        """
        lost = self._lost.get(node)
        if lost is None or not instance:
            return None
        del self._lost[node]
        if lost.instance == instance:
            return None
        return lost.instance, lost.lost_at, frozenset(lost.fingerprints)
