"""Coverage of call trees by retry budgets, as replies report it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.retries.rank_coverage import N_SAMPLING_KEYS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.clock import Milliseconds

# Time constant (to 1/e) in milliseconds of the smoothing. The backend queues of a
# service report different values, and a call tree needs several of them.
_SMOOTHING_MS = 150.0
# Milliseconds for which the last value holds after a request that brings no reply, and
# without requests. An entry node that admits one request of a kind in several seconds
# must not return to full coverage between two of them.
_HOLD_MS = 2_000.0
_IDLE_HOLD_MS = 10_000.0
# Time constant (to 1/e) in milliseconds of the return to full coverage.
_RECOVERY_MS = 1_000.0
# Milliseconds without replies after which a value is dropped: it has recovered to more
# than 255 of 256 keys.
_EXPIRY_MS = _IDLE_HOLD_MS + 8.0 * _RECOVERY_MS


@dataclass(frozen=True, slots=True)
class CoveredAdmission:
    """Which requests of a kind are admitted, and which of these are retried.

    Parameters
    ----------
    share : float
        Share of the requests that is admitted.
    n_keys : int, default=N_SAMPLING_KEYS
        Number of lowest sampling keys from which an admitted request draws its own.
    covered_keys : int, default=N_SAMPLING_KEYS
        Number of lowest keys that are covered. A request that draws another one gets
        the highest, so that no retries are spent on it while coverage changes.
    """

    share: float
    n_keys: int = N_SAMPLING_KEYS
    covered_keys: int = N_SAMPLING_KEYS

    def sampling_key(self, draw: Callable[[int], int]) -> int:
        """Return a key, given a function that draws a number below another one."""
        key = draw(self.n_keys)
        return key if key < self.covered_keys else N_SAMPLING_KEYS - 1


# Admission of requests whose call trees are all covered.
ALL_ADMITTED = CoveredAdmission(1.0)


@dataclass(slots=True)
class _Coverage:
    """Coverage of the requests of one kind.

    Parameters
    ----------
    keys : float
        Smoothed number of covered keys.
    at : float
        Time of the last reply in milliseconds.
    sent_at : float, default=inf
        Time of the first request sent since that reply, in milliseconds.
    """

    keys: float
    at: Milliseconds
    sent_at: Milliseconds = float("inf")

    def keys_at(self, now: Milliseconds) -> float:
        """Return the covered keys at a time, given that no reply came since."""
        holds_until = min(self.sent_at + _HOLD_MS, self.at + _IDLE_HOLD_MS)
        late = max(now - holds_until, 0.0)
        missing = (N_SAMPLING_KEYS - self.keys) * math.exp(-late / _RECOVERY_MS)
        return N_SAMPLING_KEYS - missing


def n_admitted_keys(share: float) -> int:
    """Return the number of lowest keys from which an admitted request draws its key.

    The keys follow the admitted share and not the coverage: if more requests than the
    covered ones are admitted and all had covered keys, the demand per key would appear
    higher, and the coverage would fall further.
    """
    return min(max(math.ceil(share * N_SAMPLING_KEYS), 1), N_SAMPLING_KEYS)


class TreeCoverage:
    """Covered sampling keys by service and kind of requests.

    Without replies the coverage returns to full: refusals would otherwise last, since a
    refused request brings no reply.
    """

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], _Coverage] = {}

    def forget(self) -> None:
        """Return to full coverage of all kinds."""
        self._known.clear()

    def record(
        self, service: str, kind: str, covered_keys: int, now: Milliseconds
    ) -> None:
        """Record the coverage that a reply reports.

        Parameters
        ----------
        service : str
            Service of the request.
        kind : str
            Kind of the request.
        covered_keys : int
            Number of lowest sampling keys whose call trees are covered.
        now : float
            Time in milliseconds.
        """
        known = self._known.get((service, kind))
        if known is None:
            if covered_keys < N_SAMPLING_KEYS:
                self._known[service, kind] = _Coverage(covered_keys, now)
            return
        weight = 1.0 - math.exp((known.at - now) / _SMOOTHING_MS)
        known.keys = known.keys_at(now)
        known.keys += (covered_keys - known.keys) * weight
        known.at = now
        known.sent_at = float("inf")

    def record_sent(self, service: str, kind: str, now: Milliseconds) -> None:
        """Record that a request was sent, whose reply will report the coverage."""
        known = self._known.get((service, kind))
        if known is not None:
            known.sent_at = min(known.sent_at, now)

    def covered_keys(self, service: str, kind: str, now: Milliseconds) -> float:
        """Return the number of lowest sampling keys that are covered."""
        known = self._known.get((service, kind))
        if known is None:
            return float(N_SAMPLING_KEYS)
        if now - known.at >= _EXPIRY_MS:
            del self._known[service, kind]
            return float(N_SAMPLING_KEYS)
        return known.keys_at(now)

    def share(
        self, service: str, kind: str, guaranteed: float, now: Milliseconds
    ) -> float:
        """Return the share of the requests of a kind to admit.

        Parameters
        ----------
        service : str
            Service of the requests.
        kind : str
            Kind of the requests.
        guaranteed : float
            Share that is admitted at least. Its replies show when coverage recovers.
        now : float
            Time in milliseconds.
        """
        covered = self.covered_keys(service, kind, now) / N_SAMPLING_KEYS
        return min(max(covered, guaranteed), 1.0)

    def age(self, service: str, kind: str, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds since the last reply; 0 if nothing is known."""
        known = self._known.get((service, kind))
        return 0.0 if known is None else now - known.at

    def all(self, now: Milliseconds) -> Iterator[tuple[str, str, float]]:
        """Yield service, kind and covered keys."""
        for service, kind in sorted(self._known):
            yield service, kind, self.covered_keys(service, kind, now)
