"""Keeps the configuration in force the newest, by the store and by other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_timeouts import timeouts_within
from fuchsiagap.core.freshness.store_view import NO_EPOCH, Cursor, StoreView
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.config_in_force import ConfigInForce
from fuchsiagap_node.core.mesh.config_peers import ConfigPeers
from fuchsiagap_node.core.mesh.config_requests import ConfigRequests, Request
from fuchsiagap_node.core.mesh.settings import Bounds
from fuchsiagap_node.core.mesh.store import ConfigNews, HistoryGone, Probed, StoreFailed
from fuchsiagap_node.core.mesh.watcher_role import WatcherRole

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import ConfigText
    from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink
    from fuchsiagap_node.core.mesh.store import Store, StoredConfig

# Milliseconds between two calls while the store fails, at first and at most, of those
# that are not first in their data centre, and of all while one beside them watches.
_RETRY_OTHERS_MS = 4_000.0
_RETRY_MAX_MS = 8_000.0
# Share of the bound of revocations for which a store that has come back from a copy
# proves nothing, until what it lost is written again.
_SETTLE_SHARE = 0.3
# Shares of the bound of revocations: the age of a node's knowledge, drawn at random,
# from which it asks the store by itself.
_ASK_AT_SHARES = (0.45, 0.6)
# Milliseconds between two updates of which nodes watch.
REFRESH_MS = 250.0
_USUAL_BOUNDS = Bounds()


class ConfigSync:
    """Asks the store and other nodes for the configuration.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
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
        event_log: EventLog,
        put_in_force: Callable[[StoredConfig], None],
        own: Member,
        links: Callable[[], Iterable[OutboundLink]],
        rng: random.Random,
        first_start: bool = False,
        bounds: Bounds = _USUAL_BOUNDS,
    ) -> None:
        self._store = store
        self._bound = bounds.revocation
        self._clock = clock
        self._event_log = event_log
        self._rng = rng
        self._view = StoreView((bounds.revocation or 0.0) * _SETTLE_SHARE)
        self._role = WatcherRole(own, links, first_start, clock)
        self._role.changed = self._notify_changed
        self._requests = ConfigRequests(
            store,
            own.node,
            self._view,
            self._role,
            timeouts_within(bounds.change),
            bounds.revocation,
            clock,
            rng,
            event_log,
        )
        self._requests.on_silence = self._suspect_store
        self._requests.on_answer = self._regain_store
        self._requests.on_epoch = self._announce_epoch
        self._requests.is_urgent = self._is_too_old
        self.in_force = ConfigInForce(clock, event_log, put_in_force)
        self._peers = ConfigPeers(
            self.in_force,
            links,
            lambda: self.update_source is UpdateSource.STORE,
            rng,
            event_log,
        )
        # The highest epoch that this node or another one has told of.
        self._highest_epoch = NO_EPOCH
        self._requested_at: Milliseconds | None = None
        # Those that have lost touch together do not ask together.
        self._ask_at = rng.uniform(*_ASK_AT_SHARES)
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
        answered_at = self._requests.answered_at
        return self._clock.now() - answered_at

    @property
    def request_age(self) -> Milliseconds:
        """Milliseconds that the request under way waits for its answer; 0 for none."""
        if self._requested_at is None:
            return 0.0
        return self._clock.now() - self._requested_at

    def adopt_bounds(self, bounds: Bounds) -> None:
        """Follow a bound on changes that has been set anew."""
        self._requests.timeouts = timeouts_within(bounds.change)

    def serve_in(self, nursery: trio.Nursery) -> None:
        """Let a nursery hold what asks other nodes."""
        self._peers.nursery = nursery

    def adopt_text(self, message: ConfigText, source: str) -> None:
        """Adopt a configuration that another node has sent."""
        cursor = Cursor(message.epoch, message.revision)
        stored = self._store.decode_config(cursor, message.text)
        if stored is None:
            self._event_log.event("config-unreadable", source=source)
            return
        if not self.in_force.adopt(stored, source):
            return
        self._view.note_version(cursor, stored.config.version, self._clock.now())
        self._requests.end_first_read()
        if self._peers.nursery is not None:
            self._requests.doubt_watch(self._peers.nursery)

    def handle_peer_status(self, link: OutboundLink) -> None:
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
            self._event_log.event("store-returned", epoch=epoch, own_epoch=self.epoch)
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
            if not self._requests.is_first_read or self._view.cursor is not None:
                await self._role.wait(self._is_too_old)
            asked_at = self._requested_at = self._clock.now()
            request, result = await self._requests.ask()
            self._requested_at = None
            match result:
                case ConfigNews():
                    n_failed = 0
                    if request is Request.WATCH:
                        n_gone = 0
                    self._handle_news(request, result, asked_at)
                case Probed():
                    n_failed = 0
                case HistoryGone():
                    n_gone += 1
                    self._lose_history()
                    await trio.sleep(self._requests.timeouts.backoff(n_gone) / MS_PER_S)
                case StoreFailed(reason):
                    n_failed += 1
                    self._lose_store(reason)
                    # One that was silent has been waited for already.
                    was_silent = (
                        self._clock.now() - asked_at
                        > self._requests.timeouts.hedge_delay
                    )
                    await self._pause(n_failed, was_silent)

    def _handle_news(
        self, request: Request, news: ConfigNews, asked_at: Milliseconds
    ) -> None:
        """Take in what the store has answered."""
        self._regain_store()
        now = self._clock.now()
        self._requests.is_first_read = False
        self._role.note_store_answer()
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
        self._requests.answered_at = self._clock.now()
        if self._role.is_lost:
            self._event_log.event("store-regained", what="configuration")
        self._role.is_lost = False

    def _note_place(
        self, request: Request, news: ConfigNews, now: Milliseconds
    ) -> bool:
        """Note where the store is; return whether this is its newest place."""
        version = None if news.stored is None else news.stored.config.version
        match request:
            case Request.WATCH:
                return self._view.note_watch(news.cursor, version, now)
            case Request.READ:
                self._view.note_read(news.cursor, version or 0, now)
                return True
            case Request.READ_OLDER:
                self._view.note_older_read(news.cursor, version or 0, now)
        return False

    def _announce_epoch(self) -> None:
        """Let others know of an epoch that this node has heard first."""
        before = self._highest_epoch
        self._observe_epoch(self.epoch)
        if self._highest_epoch != before:
            self.changed()

    def _check_order(self, stored: StoredConfig, request: Request) -> None:
        """Tell of a store whose newest configuration is older than the one in force."""
        is_older = stored.config.version < self.in_force.version
        if is_older and request is not Request.READ_OLDER:
            self._event_log.event(
                "store-behind",
                version=stored.config.version,
                in_force=self.in_force.version,
                epoch=stored.cursor.epoch,
                revision=stored.cursor.revision,
            )

    def _lose_history(self) -> None:
        """Note that the changes since the cursor are gone."""
        self._event_log.event("history-gone", what="configuration", base=self.revision)
        self._view.drop_cursor()

    def _lose_store(self, reason: str) -> None:
        """Note that the store does not answer."""
        if not self._role.is_lost:
            self._event_log.event("store-lost", what="configuration", cause=reason)
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
            return 0.0 if was_silent else self._requests.timeouts.backoff(n_failed)
        return min(_RETRY_OTHERS_MS * n_failed, _RETRY_MAX_MS) * spread

    def _suspect_store(self) -> None:
        self._lose_store("silent")


def _ignore() -> None:
    """Do nothing."""
