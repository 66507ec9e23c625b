"""The configuration in force on this node, and how old its knowledge of it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.freshness.knowledge_age import KnowledgeAge
from fuchsiagap_node.core.mesh.messages import ConfigText

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.store import StoredConfig


class ConfigInForce:
    """Adopts versions in their order, and never goes back.

    Versions are what the operators count; revisions of the store are given out again
    after it has come back from a copy.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs.
    put_in_force : callable
        Puts a configuration in force.

    Attributes
    ----------
    adopted : trio.Event
        Set at the next adoption.
    """

    def __init__(
        self,
        clock: Clock,
        event_log: EventLog,
        put_in_force: Callable[[StoredConfig], None],
    ) -> None:
        self._clock = clock
        self._event_log = event_log
        self._put_in_force = put_in_force
        self._stored: StoredConfig | None = None
        self._adopted_at = clock.now()
        self._knowledge = KnowledgeAge()
        self.adopted = trio.Event()

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self._stored is None else self._stored.config.version

    @property
    def adopted_age(self) -> Milliseconds:
        """Milliseconds since the version in force was adopted, or since the start."""
        return self._clock.now() - self._adopted_at

    @property
    def knowledge_age(self) -> Milliseconds:
        """Milliseconds for which a change can have escaped this node."""
        return self._clock.now() - self._knowledge.as_of

    def confirm(self, version: int, as_of: Milliseconds) -> None:
        """Take in that a version was the newest at a moment."""
        self._knowledge.confirm(version, as_of, self.version)

    def text(self) -> ConfigText | None:
        """Return the configuration in force for another node."""
        if self._stored is None:
            return None
        cursor = self._stored.cursor
        return ConfigText(cursor.epoch, cursor.revision, self._stored.text)

    def adopt(self, stored: StoredConfig, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was.

        Parameters
        ----------
        stored : StoredConfig
            The configuration.
        source : str
            Where it comes from, for the log.
        """
        version = stored.config.version
        if version == self.version:
            # It may have been written again, in another epoch.
            self._stored = stored
        if version <= self.version:
            return False
        self._stored = stored
        self._adopted_at = self._clock.now()
        self._put_in_force(stored)
        self._knowledge.adopt(version)
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
