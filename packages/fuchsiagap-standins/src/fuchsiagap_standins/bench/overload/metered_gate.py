"""Admission gate that also counts calls and priority inversions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.admission.gate import DOWNSTREAM_LEVEL, Admitted, Gate
from fuchsiagap.core.calls.outcome import Reason, Refused

if TYPE_CHECKING:
    import random

    from fuchsiagap.core.admission.settings import GateSettings
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_standins.bench.overload.records import Records

_LOCAL_SCOPE = ""


class MeteredGate(Gate):
    """Admission gate that counts calls per request and priority inversions.

    An inversion is the admission of a call less than one gate step after a more
    important call was refused for overload. A refusal by the gate's own level or queue
    counts for calls of all routes, a refusal by the reported level of a downstream
    service only for calls of the same route.

    Parameters
    ----------
    cfg : GateSettings
        As for `Gate`.
    clock : Clock
        As for `Gate`.
    rng : random.Random
        As for `Gate`.
    records : Records
        Records of the run.
    """

    def __init__(
        self,
        cfg: GateSettings,
        clock: Clock,
        rng: random.Random,
        records: Records,
    ) -> None:
        super().__init__(cfg, clock, rng)
        self._records = records
        self._bench_clock = clock
        self._step_ms = cfg.step_ms
        # Time of the last refusal for overload by priority; the outer key is the route
        # for refusals by a downstream level, otherwise _LOCAL_SCOPE.
        self._refused_at: dict[str, dict[int, Milliseconds]] = {}

    async def enter(self, head: CallHead) -> Admitted | Refused:
        """Count a call and pass it to the real gate."""
        record = self._records.by_root.get(head.root_id)
        if record is not None:
            record.calls += 1
        outcome = await super().enter(head)
        now = self._bench_clock.now()
        if isinstance(outcome, Refused):
            if outcome.reason is Reason.OVERLOAD:
                is_downstream = outcome.detail == DOWNSTREAM_LEVEL
                scope = head.route if is_downstream else _LOCAL_SCOPE
                self._refused_at.setdefault(scope, {})[head.priority] = now
        elif self._is_inversion(head, now):
            self._records.inversions += 1
        return outcome

    def _is_inversion(self, head: CallHead, now: Milliseconds) -> bool:
        return any(
            priority < head.priority and now - at < self._step_ms
            for scope in (_LOCAL_SCOPE, head.route)
            for priority, at in self._refused_at.get(scope, {}).items()
        )
