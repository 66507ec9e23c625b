"""Selection of the node for the next attempt."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap import Clock, Milliseconds
    from fuchsiagap_client.core.settings import ClientSettings


@dataclass(slots=True)
class NodeSelector:
    """Selects a node for each attempt, and avoids nodes that were unreachable.

    Parameters
    ----------
    cfg : ClientSettings
        The client's settings.
    clock : Clock
        The clock of this process.
    """

    cfg: ClientSettings
    clock: Clock
    _unreachable_until: dict[str, Milliseconds] = field(default_factory=dict)

    def choose(self, preferred: str, tried: tuple[str, ...]) -> str:
        """Return the node for the next attempt.

        Parameters
        ----------
        preferred : str
            The node that issued the ticket, which need not relay the request to
            another node; empty if there is none.
        tried : tuple of str
            Nodes that earlier attempts were sent to, the latest last.

        Returns
        -------
        str
            A reachable node that has not been tried, or else the one tried longest
            ago. Nodes marked unreachable are chosen only if all nodes are.
        """
        candidates = [preferred] if preferred in self.cfg.nodes else []
        candidates += [node for node in self.cfg.nodes if node != preferred]
        return min(
            candidates,
            key=lambda node: (self._is_unreachable(node), _last_attempt(node, tried)),
        )

    def mark_unreachable(self, node: str) -> None:
        """Avoid a node for `ClientSettings.node_pause` milliseconds."""
        self._unreachable_until[node] = self.clock.now() + self.cfg.node_pause

    def _is_unreachable(self, node: str) -> bool:
        return self._unreachable_until.get(node, -1.0) > self.clock.now()


def _last_attempt(node: str, tried: tuple[str, ...]) -> int:
    """Return the index of the latest attempt sent to a node; -1 if there is none."""
    for index in range(len(tried) - 1, -1, -1):
        if tried[index] == node:
            return index
    return -1
