"""The active configuration of this node, and an upper bound on its staleness."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.freshness.config_freshness import ConfigFreshness
from fuchsiagap_node.core.mesh.messages import EncodedConfig

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.store import StoredConfig


class ActiveConfig:
    """Holds the active configuration and replaces it with newer versions only.

    Versions are compared, not revisions of the store: operators number the versions,
    while a store that is restored from a backup assigns the same revisions again.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Receives the events.
    apply_config : callable
        Called with each configuration that becomes active.

    Attributes
    ----------
    adopted : trio.Event
        Set when the next version is adopted; replaced by a new event each time.
    """

    def __init__(
        self,
        clock: Clock,
        event_log: EventLog,
        apply_config: Callable[[StoredConfig], None],
    ) -> None:
        self._clock = clock
        self._event_log = event_log
        self._apply_config = apply_config
        self._stored: StoredConfig | None = None
        self._adopted_at = clock.now()
        self._knowledge_age = ConfigFreshness()
        self.adopted = trio.Event()

    @property
    def version(self) -> int:
        """Active version; 0 before the first one."""
        return 0 if self._stored is None else self._stored.config.version

    @property
    def adopted_age(self) -> Milliseconds:
        """Milliseconds since the active version was adopted, or since the start."""
        return self._clock.now() - self._adopted_at

    @property
    def staleness(self) -> Milliseconds:
        """Milliseconds since the active version was last known to be the newest.

        Infinite before the first confirmation.
        """
        return self._clock.now() - self._knowledge_age.as_of

    def confirm(self, version: int, as_of: Milliseconds) -> None:
        """Record that a version was the newest one at time `as_of`."""
        self._knowledge_age.confirm(version, as_of, self.version)

    def text(self) -> EncodedConfig | None:
        """Return the encoded active configuration for another node, or None."""
        if self._stored is None:
            return None
        cursor = self._stored.cursor
        return EncodedConfig(cursor.epoch, cursor.revision, self._stored.text)

    def adopt(self, stored: StoredConfig, source: str) -> bool:
        """Activate a configuration if it is newer; return whether it was.

        Parameters
        ----------
        stored : StoredConfig
            The configuration.
        source : str
            Source named in the event: ``store`` or the name of a node.
        """
        version = stored.config.version
        if version == self.version:
            # The same version may be stored again, in another epoch of the store.
            self._stored = stored
        if version <= self.version:
            return False
        self._stored = stored
        self._adopted_at = self._clock.now()
        self._apply_config(stored)
        self._knowledge_age.adopt(version)
        adopted, self.adopted = self.adopted, trio.Event()
        adopted.set()
        self._event_log.event(
            "config-adopted",
            version=version,
            epoch=stored.cursor.epoch,
            revision=stored.cursor.revision,
            routes=len(stored.config.routes),
            source=source,
        )
        return True
