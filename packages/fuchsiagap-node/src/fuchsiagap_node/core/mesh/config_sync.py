"""Keeps the configuration in force the newest, by the store and by other nodes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_timeouts import timeouts_within
from fuchsiagap.core.freshness.store_view import NO_EPOCH, Cursor, StoreView
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.config_in_force import ConfigInForce
from fuchsiagap_node.core.mesh.config_peers import ConfigPeers
from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_node.core.mesh.settings import Bounds
from fuchsiagap_node.core.mesh.store import ConfigNews, HistoryGone, Probed, StoreFailed
from fuchsiagap_node.core.mesh.store_probe import StoreProbe
from fuchsiagap_node.core.mesh.watcher_role import WatcherRole

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.hedging import FirstAnswer
    from fuchsiagap_node.core.mesh.messages import ConfigText
    from fuchsiagap_node.core.mesh.sending import Member, SendingLink
    from fuchsiagap_node.core.mesh.store import (
        ConfigResult,
        ProbeResult,
        Store,
        StoredConfig,
    )
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds that one watch waits; each is one priced call. Probes tell meanwhile
# whether the store answers.
_WATCH_MS = 25_000.0
# Milliseconds between two calls while the store fails, at first and at most, of those
# that are not first in their data centre, and of all while one beside them watches.
_RETRY_OTHERS_MS = 4_000.0
_RETRY_MAX_MS = 8_000.0
# Growth of the delay between hedged requests, of those that are not first.
_GROWTH_OTHERS = 2.0
# Share of the bound of revocations for which a store that has come back from a copy
# proves nothing, until what it lost is written again.
_SETTLE_SHARE = 0.3
# Shares of the bound of revocations: what a watch waits, and the age of a node's
# knowledge, drawn at random, from which it asks the store by itself.
_WATCH_SHARE = 0.15
_ASK_AT_SHARES = (0.45, 0.6)
# Milliseconds between two updates of which nodes watch.
REFRESH_MS = 250.0
_USUAL_BOUNDS = Bounds()


class _Request(Enum):
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


class ConfigSync:
    """Asks the store and other nodes for the configuration.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Time in milliseconds.
    teller : Teller
        Logs.
    put_in_force : callable
        Puts a configuration in force.
    own : Member
        This node.
    links : callable
        Returns the links to other nodes.
    rng : random.Random
        Spreads whom of the others is asked, and when.
    first_start : bool
        Whether the whole system starts for the first time.
    bounds : Bounds
        Times within which changes and revocations have to be in force.

    Attributes
    ----------
    in_force : ConfigInForce
        The configuration in force.
    changed : callable
        Told that `update_source` or `epoch` has changed.
    on_return : callable
        Told that the store has come back from a copy, and may have lost what this node
        wrote.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        teller: Teller,
        put_in_force: Callable[[StoredConfig], None],
        own: Member,
        links: Callable[[], Iterable[SendingLink]],
        rng: random.Random,
        first_start: bool = False,
        bounds: Bounds = _USUAL_BOUNDS,
    ) -> None:
        self._store = store
        self._bound = bounds.revocation
        self._timeouts = timeouts_within(bounds.change)
        self._probe = StoreProbe(store, own.node, self._timeouts, teller)
        self._clock = clock
        self._tell = teller
        self._rng = rng
        self._view = StoreView((bounds.revocation or 0.0) * _SETTLE_SHARE)
        self._role = WatcherRole(own, links, first_start, clock)
        self._role.changed = self._notify_changed
        self.in_force = ConfigInForce(clock, teller, put_in_force)
        self._peers = ConfigPeers(
            self.in_force,
            links,
            lambda: self.update_source is UpdateSource.STORE,
            rng,
            teller,
        )
        # The highest epoch that this node or another one has told of.
        self._highest_epoch = NO_EPOCH
        self._answered_at = clock.now()
        self._requested_at: Milliseconds | None = None
        self._is_first_read = True
        # Those that have lost touch together do not ask together.
        self._ask_at = rng.uniform(*_ASK_AT_SHARES)
        self._first_read_scope: trio.CancelScope | None = None
        self._watch_scope: trio.CancelScope | None = None
        self.changed: Callable[[], None] = _ignore
        self.on_return: Callable[[], None] = _ignore

    @property
    def update_source(self) -> UpdateSource:
        """How this node hears of changes."""
        return self._role.update_source

    @property
    def epoch(self) -> int:
        """Epoch of the store, as this node last heard from it; `NO_EPOCH` before."""
        return self._view.epoch

    @property
    def revision(self) -> int:
        """Revision of the store that this node watches from; 0 for none."""
        cursor = self._view.cursor
        return 0 if cursor is None else cursor.revision

    @property
    def store_age(self) -> Milliseconds:
        """Milliseconds since the store last answered, or since the start."""
        return self._clock.now() - self._answered_at

    @property
    def request_age(self) -> Milliseconds:
        """Milliseconds that the request under way waits for its answer; 0 for none."""
        if self._requested_at is None:
            return 0.0
        return self._clock.now() - self._requested_at

    def adopt_bounds(self, bounds: Bounds) -> None:
        """Follow a bound on changes that has been set anew."""
        self._timeouts = self._probe.timeouts = timeouts_within(bounds.change)

    def serve_in(self, nursery: trio.Nursery) -> None:
        """Let a nursery hold what asks other nodes."""
        self._peers.nursery = nursery

    def adopt_text(self, message: ConfigText, source: str) -> None:
        """Adopt a configuration that another node has sent."""
        cursor = Cursor(message.epoch, message.revision)
        stored = self._store.decode_config(cursor, message.text)
        if stored is None:
            self._tell.event("config-unreadable", source=source)
            return
        if not self.in_force.adopt(stored, source):
            return
        self._view.note_version(cursor, stored.config.version, self._clock.now())
        if self._is_first_read and self._first_read_scope is not None:
            self._first_read_scope.cancel()
        if self._peers.nursery is not None and self._watch_scope is not None:
            self._peers.nursery.start_soon(self._doubt_watch, self._watch_scope)

    def handle_peer_status(self, link: SendingLink) -> None:
        """Take in what another node has told of the configuration and the store."""
        self._view.note_peer_epoch(link.epoch)
        self._observe_epoch(link.epoch)
        self._peers.handle_status(link)

    def _observe_epoch(self, epoch: int) -> None:
        """Take in an epoch of the store that this node or another one tells of."""
        if epoch <= self._highest_epoch:
            return
        is_return = self._highest_epoch != NO_EPOCH
        self._highest_epoch = epoch
        if is_return:
            self._tell.event("store-returned", epoch=epoch, own_epoch=self.epoch)
            self.on_return()

    def refresh(self) -> None:
        """Update whether this node is to watch the store."""
        self._role.refresh(self._is_too_old)

    def _is_too_old(self) -> bool:
        """Whether the others have not told for long how old their knowledge is."""
        if self._bound is None or not self._role.is_settled:
            return False
        return self.in_force.knowledge_age > self._bound * self._ask_at

    def _notify_changed(self) -> None:
        self.changed()

    async def run(self) -> None:
        """Watch the store whenever this node is to, until cancelled."""
        n_failed = n_gone = 0
        while True:
            if not self._is_first_read or self._view.cursor is not None:
                await self._role.wait(self._is_too_old)
            asked_at = self._requested_at = self._clock.now()
            request, result = await self._ask_store()
            self._requested_at = None
            match result:
                case ConfigNews():
                    n_failed = 0
                    if request is _Request.WATCH:
                        n_gone = 0
                    self._handle_news(request, result, asked_at)
                case Probed():
                    n_failed = 0
                    self._regain_store()
                case HistoryGone():
                    n_gone += 1
                    self._lose_history()
                    await trio.sleep(self._timeouts.backoff(n_gone) / MS_PER_S)
                case StoreFailed(reason):
                    n_failed += 1
                    self._lose_store(reason)
                    # One that was silent has been waited for already.
                    was_silent = (
                        self._clock.now() - asked_at > self._timeouts.hedge_delay
                    )
                    await self._pause(n_failed, was_silent)

    def _handle_news(
        self, request: _Request, news: ConfigNews, asked_at: Milliseconds
    ) -> None:
        """Take in what the store has answered."""
        self._regain_store()
        now = self._clock.now()
        self._is_first_read = False
        if self._role.now().should_watch:
            self._role.set_update_source(UpdateSource.STORE)
        is_sound = self._note_place(request, news, now)
        self._announce_epoch()
        if news.stored is not None:
            self._check_order(news.stored, request)
            self.in_force.adopt(news.stored, "store")
        version = self.in_force.version
        if is_sound and self._view.proves(version, asked_at):
            self.in_force.confirm(version, asked_at)

    def _regain_store(self) -> None:
        """Note that the store answers."""
        self._answered_at = self._clock.now()
        if self._role.is_lost:
            self._tell.event("store-regained", what="configuration")
        self._role.is_lost = False

    def _note_place(
        self, request: _Request, news: ConfigNews, now: Milliseconds
    ) -> bool:
        """Note where the store is; return whether this is its newest place."""
        version = None if news.stored is None else news.stored.config.version
        match request:
            case _Request.WATCH:
                return self._view.note_watch(news.cursor, version, now)
            case _Request.READ:
                self._view.note_read(news.cursor, version or 0, now)
                return True
            case _Request.READ_OLDER:
                self._view.note_older_read(news.cursor, version or 0, now)
        return False

    def _announce_epoch(self) -> None:
        """Let others know of an epoch that this node has heard first."""
        before = self._highest_epoch
        self._observe_epoch(self.epoch)
        if self._highest_epoch != before:
            self.changed()

    def _check_order(self, stored: StoredConfig, request: _Request) -> None:
        """Tell of a store whose newest configuration is older than the one in force."""
        is_older = stored.config.version < self.in_force.version
        if is_older and request is not _Request.READ_OLDER:
            self._tell.event(
                "store-behind",
                version=stored.config.version,
                in_force=self.in_force.version,
                epoch=stored.cursor.epoch,
                revision=stored.cursor.revision,
            )

    def _lose_history(self) -> None:
        """Note that the changes since the cursor are gone."""
        self._tell.event("history-gone", what="configuration", base=self.revision)
        self._view.drop_cursor()

    def _lose_store(self, reason: str) -> None:
        """Note that the store does not answer."""
        if not self._role.is_lost:
            self._tell.event("store-lost", what="configuration", cause=reason)
        self._role.is_lost = True
        self._role.set_update_source(UpdateSource.NONE)

    async def _pause(self, n_failed: int, was_silent: bool) -> None:
        """Wait until the store that failed is to be asked again.

        Whoever becomes first of its data centre meanwhile asks as soon as the first.
        """
        started = self._clock.now()
        spread = self._rng.uniform(0.5, 1.0)
        while True:
            wait = self._retry_after(n_failed, was_silent, spread)
            left = started + wait - self._clock.now()
            if left <= 0.0:
                return
            await trio.sleep(min(left, REFRESH_MS) / MS_PER_S)

    def _retry_after(
        self, n_failed: int, was_silent: bool, spread: float
    ) -> Milliseconds:
        """Return how long to wait after some failures in a row.

        A request to a silent store has been hedged already while it waited.
        """
        if self._role.now().others_watch:
            return _RETRY_MAX_MS * spread
        if self._role.is_first():
            return 0.0 if was_silent else self._timeouts.backoff(n_failed)
        return min(_RETRY_OTHERS_MS * n_failed, _RETRY_MAX_MS) * spread

    async def _ask_store(self) -> tuple[_Request, ConfigResult | Probed | None]:
        """Read the configuration, or wait for the next one."""
        # A watch that a silent store drops would hide for long that it is back.
        if self._role.is_lost or self.store_age > self._timeouts.probe_interval:
            heard = await self._ask_probe()
            if isinstance(heard.result, StoreFailed):
                return _Request.PROBE, heard.result
            self._note_epoch(heard.result.epoch)
            was_away = self._role.is_lost or heard.n_dropped > 0
            if was_away and await self._defer_to_others():
                return _Request.PROBE, heard.result
        while True:
            cursor = self._view.cursor
            if cursor is None or not self._view.can_watch(self._clock.now()):
                return await self._read()
            result = await self._watch(cursor)
            if result is not None:
                return _Request.WATCH, result
            self._tell.event(
                "watch-restarted", what="configuration", base=self.revision
            )

    async def _defer_to_others(self) -> bool:
        """Whether another node is to ask the store that answers again.

        All notice at the same moment, and a node that has started meanwhile does not
        know yet which of them is first.
        """
        if self._is_first_read:
            await trio.sleep(self._rng.random() * self._timeouts.hedge_delay / MS_PER_S)
        return self._role.defer_to_others()

    async def _read(self) -> tuple[_Request, ConfigResult | None]:
        """Read the configuration; None if another node sent the first one meanwhile.

        At its start a node takes one that may be seconds old, for a tenth of the price:
        a newer one comes on the links, or with the first watch from this one on.
        """
        if self._view.cursor is not None:
            cause = _Cause.TAKE_OVER
        else:
            cause = _Cause.START if self._is_first_read else _Cause.HISTORY_GONE
        is_older = cause is _Cause.START and self._bound is None
        request = _Request.READ_OLDER if is_older else _Request.READ

        async def ask() -> ConfigResult:
            self._tell.store_call(request.value, cause.value)
            return await self._store.read_config(recent=not is_older)

        every = self._timeouts.hedge_delay
        with trio.CancelScope() as self._first_read_scope:
            heard = await hedge(ask, every, self._suspect_store, self._growth)
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
            self._tell.store_call(_Request.WATCH.value, _Cause.WATCH.value)
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
        wait = self._timeouts.probe_interval * self._rng.random()
        is_sound = True
        while is_sound:
            await trio.sleep(wait / MS_PER_S)
            wait = self._timeouts.probe_interval
            if not self._role.now().should_watch and not self._is_too_old():
                continue
            heard = await self._ask_probe()
            if isinstance(heard.result, StoreFailed):
                results.append(heard.result)
                break
            is_void = self._note_epoch(heard.result.epoch)
            is_sound = not is_void and not heard.n_dropped
        watch_scope.cancel()

    async def _doubt_watch(self, watch_scope: trio.CancelScope) -> None:
        """End a watch that does not tell of a version which other nodes have."""
        await trio.sleep(self._timeouts.hedge_delay / MS_PER_S)
        watch_scope.cancel()

    async def _ask_probe(self) -> FirstAnswer[ProbeResult]:
        return await self._probe.ask("liveness", self._suspect_store, self._growth)

    def _growth(self) -> float:
        """Return how the delay between hedged requests grows.

        The first nodes of the data centres notice a return for all.
        """
        return 1.0 if self._role.is_first() else _GROWTH_OTHERS

    def _note_epoch(self, epoch: int) -> bool:
        """Take in what a probe tells; return whether the cursor is void by it."""
        is_void = self._view.note_epoch(epoch, self._clock.now())
        self._announce_epoch()
        return is_void

    def _suspect_store(self) -> None:
        self._lose_store("silent")


def _ignore() -> None:
    """Do nothing."""
