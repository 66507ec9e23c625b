"""Asks the store whether it answers, for a tenth of the price of another question."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.repeated_question import ask_repeatedly

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.freshness.patience import Patience
    from fuchsiagap_node.core.mesh.repeated_question import Heard
    from fuchsiagap_node.core.mesh.store import Store, StoreFailed
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
        Waits for the store.
    teller : Teller
        Counters.
    """

    def __init__(
        self, store: Store, node: str, patience: Patience, teller: Teller
    ) -> None:
        self._store = store
        self._node = node
        self._patience = patience
        self._tell = teller

    async def ask(
        self, cause: str, on_silence: Callable[[], None]
    ) -> Heard[StoreFailed | None]:
        """Ask again and again while there is no answer; return the first.

        Parameters
        ----------
        cause : str
            Why, for the counter of calls.
        on_silence : callable
            Told that a second question has no answer either.
        """

        async def ask_once() -> StoreFailed | None:
            self._tell.store_call("probe", cause)
            return await self._store.probe(self._node)

        return await ask_repeatedly(ask_once, self._patience.again, on_silence)

    async def wait_for_answer(self, cause: str) -> None:
        """Wait until the store answers."""
        pause = self._patience.pause
        while (await self.ask(cause, _ignore)).result is not None:
            await trio.sleep(pause / MS_PER_S)
            pause = min(2.0 * pause, self._patience.most_pause)


def _ignore() -> None:
    """Do nothing."""
