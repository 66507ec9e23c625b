"""Asks the store whether it answers, for a tenth of the price of another question."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.repeated_question import ask_repeatedly
from fuchsiagap_node.core.mesh.store import StoreFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.freshness.patience import Patience
    from fuchsiagap_node.core.mesh.repeated_question import Heard
    from fuchsiagap_node.core.mesh.store import ProbeResult, Store
    from fuchsiagap_node.core.mesh.telling import Teller


class StoreProbe:
    """Probes of one node.

    Parameters
    ----------
    store : Store
        The platform's store.
    node : str
        This node, whose entry is asked for.
    patience : Patience
        Waits for the store; may be set anew.
    teller : Teller
        Counters.
    """

    def __init__(
        self, store: Store, node: str, patience: Patience, teller: Teller
    ) -> None:
        self._store = store
        self._node = node
        self.patience = patience
        self._tell = teller

    async def ask(
        self,
        cause: str,
        on_silence: Callable[[], None],
        growth: Callable[[], float],
    ) -> Heard[ProbeResult]:
        """Ask again and again while there is no answer; return the first.

        Parameters
        ----------
        cause : str
            Why, for the counter of calls.
        on_silence : callable
            Told that a second question has no answer either.
        growth : callable
            Returns by what the time between two questions grows.
        """

        async def ask_once() -> ProbeResult:
            self._tell.store_call("probe", cause)
            return await self._store.probe(self._node)

        every = self.patience.again
        return await ask_repeatedly(ask_once, every, on_silence, growth)

    async def find_entry(self, cause: str) -> bool:
        """Wait until the store answers; return whether it has this node's entry."""
        n_failed = 0
        while True:
            probed = (await self.ask(cause, _ignore, _doubling)).result
            if not isinstance(probed, StoreFailed):
                return probed.is_listed
            n_failed += 1
            await trio.sleep(self.patience.after(n_failed) / MS_PER_S)


def _doubling() -> float:
    """Return that the time between two questions doubles."""
    return 2.0


def _ignore() -> None:
    """Do nothing."""
