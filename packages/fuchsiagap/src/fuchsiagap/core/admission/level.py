"""The admission level of one gate: which (priority, cohort) pairs are admitted.

The level follows from two figures: how many calls the next step can start, and how many
calls arrive for each cohort of a priority. The upstream nodes, which send the calls,
refuse what the level rejects, but learn of a change with a delay. So arrivals beyond
the level are a poor measure of the demand there. Arrivals are therefore counted only up
to the lowest level of the last steps, up to which upstream nodes refuse nothing, and
the estimate of the demand beyond it decays slowly.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.admission.position import OPEN_POSITION, position_of
from fuchsiagap.core.calls.head import N_COHORTS

if TYPE_CHECKING:
    from fuchsiagap.core.admission.settings import GateSettings
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds

# Steps after which upstream nodes have learned of a level.
_PROPAGATION_STEPS = 30
# Weights of a new sample in the two moving averages of demand.
_FAST_SMOOTHING = 0.18
_SLOW_SMOOTHING = 0.03
# Factor between the two averages beyond which demand has changed.
_DEMAND_CHANGE_FACTOR = 1.6
# Decay per step of a demand estimate that has no new samples.
_UNOBSERVED_DECAY = 0.985
# Lower bound of the demand, in calls per step and cohort; avoids division by zero.
_MIN_DENSITY = 1e-4
# Demand, as a multiple of capacity, beyond which the level may reject several
# priorities in one step.
_SEVERE_OVERLOAD_FACTOR = 2.0
# Weight of an arrival in the average share of arrivals within chains.
_CHAIN_SMOOTHING = 0.02
# A level within this many cohorts of the end of a priority is rounded up to it, so that
# random variation rejects none of its calls, unless the queue is overfull.
_COHORT_MARGIN = 0.2 * N_COHORTS


@dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of the gate at the end of a step.

    Parameters
    ----------
    utilization : float
        Calls in progress and waiting, as a share of the limit.
    is_overloaded : bool
        Whether calls wait too long; an open level closes only if this or `is_overfull`
        is true.
    is_overfull : bool
        Whether the queue is far beyond its target length.
    least_important_waiting : int or None
        The least important priority among the waiting calls.
    capacity : float
        Calls that the backend server completes in a step.
    """

    utilization: float
    is_overloaded: bool
    is_overfull: bool
    least_important_waiting: int | None = None
    capacity: float = 0.0


@dataclass(slots=True)
class _PriorityDemand:
    """Demand of one priority, in calls per step and cohort.

    Parameters
    ----------
    n_counted : int
        Calls of this step up to the propagated level.
    fast, slow : float
        Moving averages over few and over many steps.
    """

    n_counted: int = 0
    fast: float = 0.0
    slow: float = 0.0

    def update(self, cohorts: float) -> None:
        """Add the count of a step, made over a number of cohorts, to the averages."""
        sample = self.n_counted / cohorts
        self.fast += _FAST_SMOOTHING * (sample - self.fast)
        self.slow += _SLOW_SMOOTHING * (sample - self.slow)
        if (
            not self.slow / _DEMAND_CHANGE_FACTOR
            <= self.fast
            <= self.slow * _DEMAND_CHANGE_FACTOR
        ):
            self.slow += _FAST_SMOOTHING * (self.fast - self.slow)

    def density(self, is_overfull: bool) -> float:
        """Return the calls per step and cohort; the higher average if overfull."""
        density = max(self.fast, self.slow) if is_overfull else self.slow
        return max(density, _MIN_DENSITY)


class AdmissionLevel:
    """The admission level of one gate, moved once per step.

    It is kept as the number of admitted cohorts, counted over the priorities that have
    occurred so far, so that it skips unused priorities.

    Parameters
    ----------
    cfg : GateSettings
        Settings of the gate.
    """

    def __init__(self, cfg: GateSettings) -> None:
        self._cfg = cfg
        self._priorities: list[int] = []
        self._demand_of: dict[int, _PriorityDemand] = {}
        # Cohorts admitted, counted through the known priorities; None if open.
        self._admitted: float | None = None
        self._n_closed_steps = 0
        self._chain_share = 0.0
        self._position = OPEN_POSITION
        # Positions that may still be in force at upstream nodes, and their minimum.
        self._propagating: deque[int] = deque(
            [OPEN_POSITION], maxlen=_PROPAGATION_STEPS
        )
        self._propagated_position = OPEN_POSITION
        n_steps = max(int(cfg.chain_ms / cfg.step_ms), 1)
        self._recent: deque[int] = deque([OPEN_POSITION], maxlen=n_steps)
        self._chain_position = OPEN_POSITION

    @property
    def position(self) -> int:
        """The highest position that is admitted."""
        return self._position

    @property
    def chain_position(self) -> int:
        """The highest position admitted in the last `GateSettings.chain_ms`."""
        return self._chain_position

    @property
    def chain_share(self) -> float:
        """Share of the arrivals that are made within a chain, not by a client."""
        return self._chain_share

    @property
    def closed_ms(self) -> Milliseconds:
        """Milliseconds for which the level has not been open."""
        return self._n_closed_steps * self._cfg.step_ms

    def adopt(self, cfg: GateSettings) -> None:
        """Apply changed settings."""
        self._cfg = cfg

    def record_arrival(self, head: CallHead) -> None:
        """Count the arrival of a call, admitted or not."""
        demand = self._demand_of.get(head.priority)
        if demand is None:
            demand = self._demand_of[head.priority] = _PriorityDemand()
            self._add_priority(head.priority)
        self._chain_share += _CHAIN_SMOOTHING * ((head.depth > 1) - self._chain_share)
        if position_of(head.priority, head.cohort) <= self._propagated_position:
            demand.n_counted += 1

    def step(self, target_arrivals: float, load: GateLoad) -> None:
        """Move the level so that about `target_arrivals` calls arrive per step.

        Parameters
        ----------
        target_arrivals : float
            Calls that the next step should admit.
        load : GateLoad
            Load of the gate.
        """
        self._update_demand()
        self._n_closed_steps = 0 if self._admitted is None else self._n_closed_steps + 1
        if self._admitted is not None or load.is_overloaded or load.is_overfull:
            target = self._target(target_arrivals, load.is_overfull)
            if self._total_demand() <= _SEVERE_OVERLOAD_FACTOR * load.capacity:
                target = max(target, self._floor(load.least_important_waiting))
            self._move(target, load.is_overfull)
        if self._admitted is not None and load.utilization < self._cfg.busy:
            idle = 1.0 - load.utilization / self._cfg.busy
            self._set(self._admitted * (1.0 + self._cfg.reopening * idle))
        self._propagating.append(self._position)
        self._propagated_position = min(self._propagating)
        self._recent.append(self._position)
        self._chain_position = max(self._recent)

    def _update_demand(self) -> None:
        """Add the arrivals of this step to the demand estimates."""
        for priority, demand in self._demand_of.items():
            cohorts = self._propagated_position - position_of(priority, 0) + 1
            if cohorts > 0:
                demand.update(min(cohorts, N_COHORTS))
            else:
                demand.fast *= _UNOBSERVED_DECAY
                demand.slow *= _UNOBSERVED_DECAY
            demand.n_counted = 0

    def _target(self, target_arrivals: float, is_overfull: bool) -> float:
        """Return how many cohorts to admit so that `target_arrivals` calls arrive."""
        cohorts = 0.0
        for priority in self._priorities:
            density = self._demand_of[priority].density(is_overfull)
            if target_arrivals <= density * N_COHORTS:
                return cohorts + target_arrivals / density
            target_arrivals -= density * N_COHORTS
            cohorts += N_COHORTS
        return cohorts

    def _total_demand(self) -> float:
        """Return the estimated calls per step over all priorities."""
        return N_COHORTS * sum(demand.fast for demand in self._demand_of.values())

    def _floor(self, least_important_waiting: int | None) -> float:
        """Return the cohorts to admit to reject just the least important waiting calls.

        Lower levels are not considered in the same step, since capacity may suffice
        once these calls have left the queue.
        """
        if (
            least_important_waiting is None
            or least_important_waiting not in self._demand_of
        ):
            return 0.0
        return float(N_COHORTS * self._priorities.index(least_important_waiting))

    def _move(self, target: float, is_overfull: bool) -> None:
        """Move to the target: at once to shed load, else a share of the distance."""
        highest = float(N_COHORTS * len(self._priorities))
        before = highest if self._admitted is None else self._admitted
        to_next_priority = -target % N_COHORTS
        if not is_overfull and to_next_priority < _COHORT_MARGIN:
            target += to_next_priority
        if target >= before:
            share = self._cfg.opening
        else:
            share = 1.0 if is_overfull else self._cfg.closing
        self._set(max(before + share * (target - before), 1.0))

    def _set(self, admitted: float) -> None:
        highest = float(N_COHORTS * len(self._priorities))
        self._admitted = None if admitted >= highest - 1.0 else admitted
        self._position = self._position_now()

    def _position_now(self) -> int:
        if self._admitted is None:
            return OPEN_POSITION
        index, cohort = divmod(max(int(self._admitted), 1) - 1, N_COHORTS)
        return position_of(self._priorities[index], cohort)

    def _add_priority(self, priority: int) -> None:
        """Insert a priority without changing which calls of others are admitted."""
        index = bisect_right(self._priorities, priority)
        insort(self._priorities, priority)
        if self._admitted is not None and self._admitted > index * N_COHORTS:
            self._admitted += N_COHORTS
