"""The configuration in force on this node, from the store or from another node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.frames import ConfigText, ConfigWanted
from fuchsiagap_node.core.mesh.store import ConfigNews, HistoryGone, StoreFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.sending import SendingLink
    from fuchsiagap_node.core.mesh.store import Store, StoredConfig
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds that one watch of a node waits that looks closely; each is one priced
# call. A store that went silent and came back is noticed after at most this time.
_CLOSE_WATCH_MS = 6_000.0
# The same for the other nodes, which hear of news on their links too; a watch may wait
# for 30 s at most.
_WATCH_MS = 25_000.0
# Milliseconds between two calls while the store fails, at first and at most; at most
# for nodes that do not look closely.
_RETRY_MS = 150.0
_RETRY_CLOSE_MAX_MS = 1_000.0
_RETRY_MAX_MS = 4_000.0
# Milliseconds that this node's own watch gets before another node is asked.
_ASK_AFTER_MS = 300.0


class ConfigSync:
    """Adopts versions in order and never goes back.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Time in milliseconds.
    teller : Teller
        Logs.
    adopt : callable
        Puts a configuration in force.
    looks_closely : callable
        Returns whether this node is one of the few of its data centre that notice
        first when the store is back.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        teller: Teller,
        adopt: Callable[[StoredConfig], None],
        looks_closely: Callable[[], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._tell = teller
        self._adopt = adopt
        self._looks_closely = looks_closely
        self._stored: StoredConfig | None = None
        self._asking = False
        self._adopted_at = clock.now()
        self._heard_at = clock.now()
        self.nursery: trio.Nursery | None = None

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return 0 if self._stored is None else self._stored.revision

    @property
    def version(self) -> int:
        """Version in force, as the operators count; 0 before the first."""
        return 0 if self._stored is None else self._stored.config.version

    @property
    def adopted_age(self) -> Milliseconds:
        """Milliseconds since the version in force was adopted, or since the start."""
        return self._clock.now() - self._adopted_at

    @property
    def store_age(self) -> Milliseconds:
        """Milliseconds since the store last answered, or since the start."""
        return self._clock.now() - self._heard_at

    def text(self) -> ConfigText | None:
        """Return the configuration in force for another node."""
        if self._stored is None:
            return None
        return ConfigText(self._stored.revision, self._stored.text)

    def take(self, stored: StoredConfig, source: str) -> None:
        """Adopt a configuration if it is newer than the one in force."""
        if stored.revision <= self.revision:
            return
        old = self._stored
        if old is not None and stored.config.version < old.config.version:
            self._tell.event(
                "config-refused",
                version=stored.config.version,
                in_force=old.config.version,
                source=source,
            )
            return
        self._stored = stored
        self._adopted_at = self._clock.now()
        self._adopt(stored)
        self._tell.event(
            "config-adopted",
            version=stored.config.version,
            revision=stored.revision,
            routes=len(stored.config.routes),
            source=source,
        )

    def take_text(self, message: ConfigText, source: str) -> None:
        """Adopt a configuration that another node has sent."""
        if message.revision <= self.revision:
            return
        stored = self._store.decode_config(message.revision, message.text)
        if stored is None:
            self._tell.event("config-unreadable", source=source)
            return
        self.take(stored, source)

    def peer_has(self, link: SendingLink) -> None:
        """Ask another node for its configuration if it stays ahead of this one."""
        if link.revision <= self.revision or self._asking or self.nursery is None:
            return
        self._asking = True
        self.nursery.start_soon(self._ask, link)

    async def _ask(self, link: SendingLink) -> None:
        await trio.sleep(_ASK_AFTER_MS / MS_PER_S)
        self._asking = False
        if link.revision > self.revision:
            self._tell.event("config-asked", of=link.member.node, theirs=link.revision)
            link.post(ConfigWanted())

    async def run(self) -> None:
        """Follow the store until cancelled."""
        revision = 0
        wait: Milliseconds = _RETRY_MS
        failing = False
        while True:
            if revision:
                close = self._looks_closely()
                watch = _CLOSE_WATCH_MS if close else _WATCH_MS
                result = await self._store.watch_config(revision, watch)
            else:
                result = await self._store.read_config()
            if not isinstance(result, StoreFailed):
                self._heard_at = self._clock.now()
            match result:
                case ConfigNews(revision, stored):
                    if failing:
                        self._tell.event("store-regained", what="configuration")
                    failing, wait = False, _RETRY_MS
                    if stored is not None:
                        self.take(stored, "store")
                    elif self._stored is None:
                        await trio.sleep(_RETRY_MS / MS_PER_S)
                case HistoryGone():
                    self._tell.event("history-gone", what="configuration")
                    revision = 0
                    await trio.sleep(_RETRY_MS / MS_PER_S)
                case StoreFailed(reason):
                    if not failing:
                        self._tell.event(
                            "store-lost", what="configuration", cause=reason
                        )
                    failing = True
                    await trio.sleep(wait / MS_PER_S)
                    close = self._looks_closely()
                    most = _RETRY_CLOSE_MAX_MS if close else _RETRY_MAX_MS
                    wait = min(2.0 * wait, most)
