"""The admission level of one gate: which (priority, cohort) pairs may enter.

The level is reckoned from two figures: how many calls the next step can start, and
how many calls arrive for each cohort of a priority. Nodes above refuse what the level
refuses, and later than it moves; so what arrives from beyond the level says little of
the demand there. Arrivals are therefore counted only below the lowest level of the
last steps, where everything gets through, and the demand beyond is remembered.
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

# Steps after which nodes above have heard of a level.
_HEARD_STEPS = 30
_FAST = 0.18
_SLOW = 0.03
# Beyond this factor between the two averages, demand has changed.
_CHANGED = 1.6
_FADING = 0.985
_LEAST_DENSITY = 1e-4
# Demand, as a multiple of capacity, that is met at once and not step by step.
_SEVERE = 2.0
_CHAIN_SMOOTHING = 0.02
# Part of a priority's cohorts that chance may not shut out while nothing is flooded.
_MARGIN = 0.2 * N_COHORTS


@dataclass(frozen=True, slots=True)
class Pressure:
    """How the gate stands at the end of a step.

    Parameters
    ----------
    load : float
        Calls in progress and waiting, as a share of the limit.
    is_late : bool
        Whether calls wait too long; an open level closes only then.
    is_flooded : bool
        Whether far more calls wait than the level aims at.
    worst_waiting : int or None
        The least important priority among the waiting calls.
    capacity : float
        Calls that the backend server gets through in a step.
    """

    load: float
    is_late: bool
    is_flooded: bool
    worst_waiting: int | None = None
    capacity: float = 0.0


@dataclass(slots=True)
class _Tier:
    """Demand of one priority, in calls a step for each cohort.

    Parameters
    ----------
    n_counted : int
        Calls of this step below the level that all have heard of.
    fast, slow : float
        Averages over a few and over many steps.
    """

    n_counted: int = 0
    fast: float = 0.0
    slow: float = 0.0

    def take(self, cohorts: float) -> None:
        """Take in a step's count over a number of cohorts."""
        sample = self.n_counted / cohorts
        self.fast += _FAST * (sample - self.fast)
        self.slow += _SLOW * (sample - self.slow)
        if not self.slow / _CHANGED <= self.fast <= self.slow * _CHANGED:
            self.slow += _FAST * (self.fast - self.slow)

    def density(self, flooded: bool) -> float:
        """Return the calls a step for each cohort; the higher view if flooded."""
        density = max(self.fast, self.slow) if flooded else self.slow
        return max(density, _LEAST_DENSITY)


class AdmissionLevel:
    """The level, moved once a step.

    It stands in the space of the priorities seen so far, so that it crosses
    priorities which nobody uses at once.

    Parameters
    ----------
    cfg : GateSettings
        Settings of the gate.
    """

    def __init__(self, cfg: GateSettings) -> None:
        self._cfg = cfg
        self._priorities: list[int] = []
        self._tiers: dict[int, _Tier] = {}
        # Cohorts admitted, counted through the priorities seen; None is open.
        self._admitted: float | None = None
        self._n_closed_steps = 0
        self._chain_share = 0.0
        self._position = OPEN_POSITION
        self._heard: deque[int] = deque([OPEN_POSITION], maxlen=_HEARD_STEPS)
        self._heard_position = OPEN_POSITION
        n_steps = max(int(cfg.chain_ms / cfg.step_ms), 1)
        self._past: deque[int] = deque([OPEN_POSITION], maxlen=n_steps)
        self._loose_position = OPEN_POSITION

    @property
    def position(self) -> int:
        """The highest position that is admitted."""
        return self._position

    @property
    def chain_position(self) -> int:
        """The highest position that was admitted of late."""
        return self._loose_position

    @property
    def chain_share(self) -> float:
        """Share of the arrivals that are made within a chain, not by a caller."""
        return self._chain_share

    @property
    def closed_ms(self) -> Milliseconds:
        """For how long the level has not been open."""
        return self._n_closed_steps * self._cfg.step_ms

    def adopt(self, cfg: GateSettings) -> None:
        """Go on under other settings."""
        self._cfg = cfg

    def see(self, head: CallHead) -> None:
        """Count the arrival of a call, whether it is admitted or not."""
        tier = self._tiers.get(head.priority)
        if tier is None:
            tier = self._tiers[head.priority] = _Tier()
            self._add_priority(head.priority)
        self._chain_share += _CHAIN_SMOOTHING * ((head.depth > 1) - self._chain_share)
        if position_of(head.priority, head.cohort) <= self._heard_position:
            tier.n_counted += 1

    def step(self, startable: float, pressure: Pressure) -> None:
        """Move the level so that about `startable` calls a step arrive.

        Parameters
        ----------
        startable : float
            Calls that the next step should admit.
        pressure : Pressure
            How the gate stands.
        """
        self._measure()
        self._n_closed_steps = 0 if self._admitted is None else self._n_closed_steps + 1
        if self._admitted is not None or pressure.is_late or pressure.is_flooded:
            target = self._target(startable, pressure.is_flooded)
            if self._demand() <= _SEVERE * pressure.capacity:
                target = max(target, self._floor(pressure.worst_waiting))
            self._move(target, pressure.is_flooded)
        if self._admitted is not None and pressure.load < self._cfg.busy:
            idle = 1.0 - pressure.load / self._cfg.busy
            self._set(self._admitted * (1.0 + self._cfg.reopening * idle))
        self._heard.append(self._position)
        self._heard_position = min(self._heard)
        self._past.append(self._position)
        self._loose_position = max(self._past)

    def _measure(self) -> None:
        """Take in what arrived in this step."""
        for priority, tier in self._tiers.items():
            cohorts = self._heard_position - position_of(priority, 0) + 1
            if cohorts > 0:
                tier.take(min(cohorts, N_COHORTS))
            else:
                tier.fast *= _FADING
                tier.slow *= _FADING
            tier.n_counted = 0

    def _target(self, startable: float, flooded: bool) -> float:
        """Return the level, in admitted cohorts, at which `startable` calls arrive."""
        cohorts = 0.0
        for priority in self._priorities:
            density = self._tiers[priority].density(flooded)
            if startable <= density * N_COHORTS:
                return cohorts + startable / density
            startable -= density * N_COHORTS
            cohorts += N_COHORTS
        return cohorts

    def _demand(self) -> float:
        """Return how many calls a step want to enter, as far as is known."""
        return N_COHORTS * sum(tier.fast for tier in self._tiers.values())

    def _floor(self, worst_waiting: int | None) -> float:
        """Return the level that shuts out the least important waiting calls.

        It goes no lower at once: when they are gone, there may be room.
        """
        if worst_waiting is None or worst_waiting not in self._tiers:
            return 0.0
        return float(N_COHORTS * self._priorities.index(worst_waiting))

    def _move(self, target: float, flooded: bool) -> None:
        """Go to the target at once to shed load, and part of the way otherwise."""
        most = float(N_COHORTS * len(self._priorities))
        before = most if self._admitted is None else self._admitted
        over = -target % N_COHORTS
        if not flooded and over < _MARGIN:
            target += over
        if target >= before:
            share = self._cfg.opening
        else:
            share = 1.0 if flooded else self._cfg.closing
        self._set(max(before + share * (target - before), 1.0))

    def _set(self, admitted: float) -> None:
        most = float(N_COHORTS * len(self._priorities))
        self._admitted = None if admitted >= most - 1.0 else admitted
        self._position = self._position_now()

    def _position_now(self) -> int:
        if self._admitted is None:
            return OPEN_POSITION
        tier, cohort = divmod(max(int(self._admitted), 1) - 1, N_COHORTS)
        return position_of(self._priorities[tier], cohort)

    def _add_priority(self, priority: int) -> None:
        """Make room for a priority, keeping what is admitted as it is."""
        tier = bisect_right(self._priorities, priority)
        insort(self._priorities, priority)
        if self._admitted is not None and self._admitted > tier * N_COHORTS:
            self._admitted += N_COHORTS
