"""Requests that were sent to nodes whose links were lost meanwhile."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Nodes, and requests of each, that are remembered at most.
_MOST_NODES = 1_024
_MOST_OF_ONE = 256


@dataclass(slots=True)
class _Lost:
    """What was on its way to one incarnation."""

    instance: str
    at: Milliseconds
    fingerprints: set[bytes] = field(default_factory=set)


class LostLinkRequests:
    """Distinguishes servers that ended with their node from links that were cut.

    A lost link says nothing of the server behind it. Once the node is linked again, its
    server is either the one that it was, or another: then that one has ended, with what
    was sent to it last.
    """

    def __init__(self) -> None:
        self._lost: dict[str, _Lost] = {}

    def record_lost(
        self, node: str, instance: str, fingerprint: bytes, now: Milliseconds
    ) -> None:
        """Record that a request was lost with the link to a node.

        Parameters
        ----------
        node, instance : str
            The node, and the incarnation of its server that the request was for.
        fingerprint : bytes
            The request.
        now : float
            Time in milliseconds.
        """
        lost = self._lost.get(node)
        if lost is None or lost.instance != instance:
            self._lost.pop(node, None)
            lost = self._lost[node] = _Lost(instance, now)
            if len(self._lost) > _MOST_NODES:
                del self._lost[next(iter(self._lost))]
        if len(lost.fingerprints) < _MOST_OF_ONE:
            lost.fingerprints.add(fingerprint)

    def resolve(
        self, node: str, instance: str
    ) -> tuple[str, Milliseconds, frozenset[bytes]] | None:
        """Record which server stands beside a node.

        Returns
        -------
        tuple of str, float and frozenset of bytes, or None
            The incarnation that has ended, when its link was lost, and what was on its
            way to it; None if it lives, or nothing was.
        """
        lost = self._lost.get(node)
        if lost is None or not instance:
            return None
        del self._lost[node]
        if lost.instance == instance:
            return None
        return lost.instance, lost.at, frozenset(lost.fingerprints)
