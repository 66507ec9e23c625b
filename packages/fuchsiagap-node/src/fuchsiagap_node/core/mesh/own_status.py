"""What this node tells others of its own backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.messages import Status

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.config_sync import ConfigSync
    from fuchsiagap_node.core.mesh.door import Door

# Steps of a server's load, from empty to full, that a status tells apart.
_STEPS = 4
# Part by which the time at the server must differ from the one told for a status: the
# mean of some hundred times that differ widely wanders by a tenth.
_TOLD_AGAIN = 0.15


class OwnStatus:
    """Makes the status of a node.

    Parameters
    ----------
    door : Door
        The server's door.
    config : ConfigSync
        The configuration in force.
    """

    def __init__(self, door: Door, config: ConfigSync) -> None:
        self._door = door
        self._config = config
        self._service_ms = 0.0

    def now(self) -> Status:
        """Return the status as it is now."""
        door = self._door
        return Status(
            door.instance(),
            door.limit,
            _coarse(door.load, door.limit),
            _coarse(round(door.offered()), door.limit),
            round(door.failing(), 1),
            door.is_warming(),
            self._config.active.version,
            self._config.update_source,
            self._told_ms(),
            self._config.epoch,
        )

    def _told_ms(self) -> int:
        """Return the time that requests take at the server, as it is told to others."""
        now_ms = self._door.typical_ms
        if abs(now_ms - self._service_ms) > _TOLD_AGAIN * self._service_ms:
            self._service_ms = now_ms
        return round(self._service_ms)


def _coarse(load: int, limit: int) -> int:
    """Return a load in steps, so that small changes send no status.

    Replies carry the exact load; a status is for senders that had none of late. At
    one status each look, idle links would carry little else.
    """
    step = max(limit // _STEPS, 1)
    return load // step * step
