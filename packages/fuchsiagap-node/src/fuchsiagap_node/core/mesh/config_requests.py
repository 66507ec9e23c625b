"""Requests of a node for the configuration: reads, watches and probes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_node.core.mesh.store import Probed, StoreFailed
from fuchsiagap_node.core.mesh.store_probe import StoreProbe

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.freshness.store_timeouts import StoreTimeouts
    from fuchsiagap.core.freshness.store_view import Cursor, StoreView
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.hedging import FirstAnswer
    from fuchsiagap_node.core.mesh.store import ConfigResult, ProbeResult, Store
    from fuchsiagap_node.core.mesh.watcher_role import WatcherRole

# Milliseconds that one watch waits; each is one priced call. Probes tell meanwhile
# whether the store answers.
_WATCH_MS = 25_000.0
# Growth of the delay between hedged requests, of those that are not first.
_GROWTH_OTHERS = 2.0
# Share of the bound of revocations that a watch waits.
_WATCH_SHARE = 0.15


class Request(Enum):
    """What the store is asked, as its calls are counted."""

    READ = "config-read"
    READ_OLDER = "config-read-older"
    WATCH = "config-watch"
    PROBE = "probe"


class _Cause(Enum):
    """Why the store is asked for the configuration."""

    START = "start"
    WATCH = "watch"
    TAKE_OVER = "take-over"
    HISTORY_GONE = "history-gone"


class ConfigRequests:
    """Asks the store for the configuration, and notices when it does not answer.

    Parameters
    ----------
    store : Store
        The platform's store.
    node : str
        This node.
    view : StoreView
        What is known of the store.
    role : WatcherRole
        Whether this node is to watch.
    timeouts : StoreTimeouts
        Waits for the store.
    revocation : float or None
        Bound of revocations in milliseconds; None for none.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Spreads what nodes would do together.
    event_log : EventLog
        Logs and counters.

    Attributes
    ----------
    is_first_read : bool
        Whether the store has not answered yet.
    answered_at : float
        When the store last answered; at first, when this node started.
    on_silence : callable
        Told that the store does not answer.
    on_answer : callable
        Told that the store answers.
    on_epoch : callable
        Told that the view may have another epoch.
    is_urgent : callable
        Whether this node asks whoever else watches.
    """

    def __init__(
        self,
        store: Store,
        node: str,
        view: StoreView,
        role: WatcherRole,
        timeouts: StoreTimeouts,
        revocation: Milliseconds | None,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        self._store = store
        self._view = view
        self._role = role
        self._probe = StoreProbe(store, node, timeouts, event_log)
        self._bound = revocation
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._read_scope: trio.CancelScope | None = None
        self._watch_scope: trio.CancelScope | None = None
        self.is_first_read = True
        self.answered_at = clock.now()
        self.on_silence: Callable[[], None] = _ignore
        self.on_answer: Callable[[], None] = _ignore
        self.on_epoch: Callable[[], None] = _ignore
        self.is_urgent: Callable[[], bool] = _never

    @property
    def timeouts(self) -> StoreTimeouts:
        """Waits for the store."""
        return self._probe.timeouts

    @timeouts.setter
    def timeouts(self, timeouts: StoreTimeouts) -> None:
        self._probe.timeouts = timeouts

    def end_first_read(self) -> None:
        """Drop the first read, since another node has sent the configuration."""
        if self.is_first_read and self._read_scope is not None:
            self._read_scope.cancel()

    def doubt_watch(self, nursery: trio.Nursery) -> None:
        """End a watch soon, unless it tells of a version which other nodes have."""
        if self._watch_scope is not None:
            nursery.start_soon(self._end_soon, self._watch_scope)

    async def _end_soon(self, scope: trio.CancelScope) -> None:
        await trio.sleep(self.timeouts.hedge_delay / MS_PER_S)
        scope.cancel()

    async def ask(self) -> tuple[Request, ConfigResult | Probed | None]:
        """Read the configuration, or wait for the next one."""
        store_age = self._clock.now() - self.answered_at
        # A watch that a silent store drops would hide for long that it is back.
        if self._role.is_lost or store_age > self.timeouts.probe_interval:
            heard = await self._ask_probe()
            if isinstance(heard.result, StoreFailed):
                return Request.PROBE, heard.result
            was_away = self._role.is_lost or heard.n_dropped > 0
            self._note_answer(heard.result.epoch)
            if was_away and await self._defer_to_others():
                return Request.PROBE, heard.result
            self._role.note_store_answer()
        while True:
            cursor = self._view.cursor
            if cursor is None or not self._view.can_watch(self._clock.now()):
                return await self._read()
            result = await self._watch(cursor)
            if result is not None:
                return Request.WATCH, result
            self._event_log.event(
                "watch-restarted", what="configuration", base=cursor.revision
            )

    async def _defer_to_others(self) -> bool:
        """Whether another node is to ask the store that answers again.

        All notice at the same moment, and a node that has started meanwhile does not
        know yet which of them is first.
        """
        if self.is_first_read:
            await trio.sleep(self._rng.random() * self.timeouts.hedge_delay / MS_PER_S)
        return self._role.defer_to_others()

    async def _read(self) -> tuple[Request, ConfigResult | None]:
        """Read the configuration; None if another node sent the first one meanwhile.

        At its start a node takes one that may be seconds old, for a tenth of the price:
        a newer one comes on the links, or with the first watch from this one on.
        """
        if self._view.cursor is not None:
            cause = _Cause.TAKE_OVER
        else:
            cause = _Cause.START if self.is_first_read else _Cause.HISTORY_GONE
        is_older = cause is _Cause.START and self._bound is None
        request = Request.READ_OLDER if is_older else Request.READ

        async def ask() -> ConfigResult:
            self._event_log.count_store_call(request.value, cause.value)
            return await self._store.read_config(recent=not is_older)

        every = self.timeouts.hedge_delay
        with trio.CancelScope() as self._read_scope:
            heard = await hedge(ask, every, self.on_silence, self._growth)
            return request, heard.result
        return request, None

    async def _watch(self, cursor: Cursor) -> ConfigResult | None:
        """Wait for the next configuration as long as the store answers probes.

        Returns None if the store may have dropped the watch, or has come back from a
        copy.
        """
        results: list[ConfigResult] = []
        async with trio.open_nursery() as nursery:
            self._watch_scope = nursery.cancel_scope
            nursery.start_soon(self._probe_until_lost, results, nursery.cancel_scope)
            self._event_log.count_store_call(Request.WATCH.value, _Cause.WATCH.value)
            results.append(await self._store.watch_config(cursor, self._watch_ms()))
            nursery.cancel_scope.cancel()
        self._watch_scope = None
        return results[0] if results else None

    def _watch_ms(self) -> Milliseconds:
        """Return how long a watch waits.

        Where revocations are bound, knowledge counts from the beginning of a watch.
        """
        return _WATCH_MS if self._bound is None else self._bound * _WATCH_SHARE

    async def _probe_until_lost(
        self, results: list[ConfigResult], watch_scope: trio.CancelScope
    ) -> None:
        """End a watch once the store is lost, may have dropped it, or has come back.

        One change wakes all that watch; they do not probe at the same moments for that.
        """
        wait = self.timeouts.probe_interval * self._rng.random()
        is_sound = True
        while is_sound:
            await trio.sleep(wait / MS_PER_S)
            wait = self.timeouts.probe_interval
            if not self._role.now().should_watch and not self.is_urgent():
                continue
            heard = await self._ask_probe()
            if isinstance(heard.result, StoreFailed):
                results.append(heard.result)
                break
            is_void = self._note_answer(heard.result.epoch)
            self._role.note_store_answer()
            is_sound = not is_void and not heard.n_dropped
        watch_scope.cancel()

    async def _ask_probe(self) -> FirstAnswer[ProbeResult]:
        return await self._probe.ask("liveness", self.on_silence, self._growth)

    def _growth(self) -> float:
        """Return how the delay between hedged requests grows.

        The first nodes of the data centres notice a return for all.
        """
        return 1.0 if self._role.is_first() else _GROWTH_OTHERS

    def _note_answer(self, epoch: int) -> bool:
        """Take in an answered probe; return whether the cursor is void by it."""
        self.on_answer()
        is_void = self._view.note_epoch(epoch, self._clock.now())
        self.on_epoch()
        return is_void


def _ignore() -> None:
    """Do nothing."""


def _never() -> bool:
    """Return that nothing is urgent."""
    return False
