"""Which node gets the next attempt."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap import Clock, Milliseconds
    from fuchsiagap_client.core.settings import ClientSettings


@dataclass(slots=True)
class NodeSelector:
    """The nodes of a client, and which of them are passed over now.

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
            The node that issued the ticket: it needs no relay. Empty if unknown.
        tried : tuple of str
            NodeSelector this request went to before, the latest last.

        Returns
        -------
        str
            A node that was not tried if there is one, else the one tried longest
            ago; nodes that could not be reached of late come last.
        """
        candidates = [preferred] if preferred in self.cfg.nodes else []
        candidates += [node for node in self.cfg.nodes if node != preferred]
        return min(
            candidates,
            key=lambda node: (self._is_unreachable(node), _last_attempt(node, tried)),
        )

    def mark_unreachable(self, node: str) -> None:
        """Pass over a node that could not be reached."""
        self._unreachable_until[node] = self.clock.now() + self.cfg.node_pause

    def _is_unreachable(self, node: str) -> bool:
        return self._unreachable_until.get(node, -1.0) > self.clock.now()


def _last_attempt(node: str, tried: tuple[str, ...]) -> int:
    """Return how recently a node was tried; -1 if never."""
    for index in range(len(tried) - 1, -1, -1):
        if tried[index] == node:
            return index
    return -1
