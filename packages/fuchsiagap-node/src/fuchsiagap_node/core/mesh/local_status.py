"""Status of the local backend server that is sent to other nodes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.messages import Status

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.backend_queue import BackendQueue
    from fuchsiagap_node.core.mesh.config_sync import ConfigSync

# Number of steps, from an empty to a full server, to which a status rounds the load.
_STEPS = 4
# Relative change of the service time above which a new value is sent. The average of
# some hundred widely differing times fluctuates by a tenth.
_MIN_SERVICE_MS_CHANGE = 0.15


class LocalStatus:
    """Builds the status of this node.

    Parameters
    ----------
    backend_queue : BackendQueue
        Queue of the backend server.
    config : ConfigSync
        The configuration in force.
    """

    def __init__(self, backend_queue: BackendQueue, config: ConfigSync) -> None:
        self._backend_queue = backend_queue
        self._config = config
        self._service_ms = 0.0

    def now(self) -> Status:
        """Return the current status."""
        backend_queue = self._backend_queue
        return Status(
            backend_queue.instance(),
            backend_queue.limit,
            _round_down(backend_queue.reported_load, backend_queue.limit),
            self._reported_offered(),
            round(backend_queue.failing(), 1),
            backend_queue.is_warming(),
            self._config.active.version,
            self._config.update_source,
            self._reported_service_ms(),
            self._config.epoch,
            backend_queue.speed,
            round(backend_queue.refusing(), 1),
        )

    def _reported_offered(self) -> float:
        """Return the offered load to send, rounded down to a step.

        Where the server names a limit, which may be worth a slot or less, a step may
        be less than a slot.
        """
        offered, limit = self._backend_queue.offered(), self._backend_queue.limit
        if self._backend_queue.notices.rate() is None:
            return _round_down(round(offered), limit)
        return math.floor(offered * _STEPS / limit) * limit / _STEPS

    def _reported_service_ms(self) -> int:
        """Return the service time to send, which ignores small fluctuations."""
        now_ms = self._backend_queue.long_term_service_ms
        if abs(now_ms - self._service_ms) > _MIN_SERVICE_MS_CHANGE * self._service_ms:
            self._service_ms = now_ms
        return round(self._service_ms)


def _round_down(load: int, limit: int) -> int:
    """Round a load down to a step, so that small changes cause no new status.

    Replies carry the exact load; a status is for senders that had no reply recently. If
    a status were sent at each tick, idle links would carry little else.
    """
    step = max(limit // _STEPS, 1)
    return load // step * step
