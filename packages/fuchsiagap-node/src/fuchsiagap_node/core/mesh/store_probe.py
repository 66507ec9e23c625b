"""Probes whether the store answers, for a tenth of the price of another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_node.core.mesh.store import StoreFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.freshness.store_timeouts import StoreTimeouts
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.hedging import FirstAnswer
    from fuchsiagap_node.core.mesh.store import ProbeResult, Store


class StoreProbe:
    """Probes of one node.

    Parameters
    ----------
    store : Store
        The platform's store.
    node : str
        This node, whose entry is asked for.
    timeouts : StoreTimeouts
        Waits for the store; may be set anew.
    event_log : EventLog
        Counters.
    """

    def __init__(
        self, store: Store, node: str, timeouts: StoreTimeouts, event_log: EventLog
    ) -> None:
        self._store = store
        self._node = node
        self.timeouts = timeouts
        self._event_log = event_log

    async def ask(
        self,
        cause: str,
        on_silence: Callable[[], None],
        growth: Callable[[], float],
    ) -> FirstAnswer[ProbeResult]:
        """Ask again and again while there is no answer; return the first.

        Parameters
        ----------
        cause : str
            Why, for the counter of calls.
        on_silence : callable
            Told that a second request has no answer either.
        growth : callable
            Returns by what the time between two requests grows.
        """

        async def ask_once() -> ProbeResult:
            self._event_log.count_store_call("probe", cause)
            return await self._store.probe(self._node)

        every = self.timeouts.hedge_delay
        return await hedge(ask_once, every, on_silence, growth)

    async def find_entry(self, cause: str) -> bool:
        """Wait until the store answers; return whether it has this node's entry."""
        n_failed = 0
        while True:
            probed = (await self.ask(cause, _ignore, _doubling)).result
            if not isinstance(probed, StoreFailed):
                return probed.is_listed
            n_failed += 1
            await trio.sleep(self.timeouts.backoff(n_failed) / MS_PER_S)


def _doubling() -> float:
    """Return that the time between two requests doubles."""
    return 2.0


def _ignore() -> None:
    """Do nothing."""
