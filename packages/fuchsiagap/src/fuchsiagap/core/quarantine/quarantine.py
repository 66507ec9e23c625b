"""Evidence that requests crash servers, and the requests held because of it."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.quarantine.hold_rule import ONLY_CAUSE, CrashEvidence, should_hold
from fuchsiagap.core.quarantine.recent_answers import RecentAnswers

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from typing import TypeAlias

    from fuchsiagap.core.clock import Clock, Milliseconds

    # Time of a crash, service of the server, and fingerprints of the requests that it
    # ran.
    _CrashRecord: TypeAlias = tuple[Milliseconds, str, set[bytes]]

# Crashes from which on a held request is no longer probed while clients repeat it,
# since each probe crashes one more server.
_PROBE_STOP_CRASHES = 6
# Factor by which the time until the next probe grows with each crash.
_PROBE_BACKOFF = 5.0
# Largest difference in milliseconds between the ages that nodes report of one event.
_SAME_EVENT_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Retention times and memory bounds of the quarantine.

    Parameters
    ----------
    evidence_ms : float
        Milliseconds for which a crash counts as evidence.
    unrelated_ms : float
        Milliseconds for which a crash at which a request was not in flight counts in
        the request's favour.
    answered_ms : float
        Milliseconds for which an answer proves a request harmless.
    probe_ms : float
        Milliseconds until a request that crashed three servers is probed.
    idle_ms : float
        Milliseconds after which a held request that no client repeats is released.
    max_suspects, max_held, max_answered : int
        Maximum number of fingerprints remembered of each kind.
    max_crashes : int
        Maximum number of crashes remembered.
    """

    evidence_ms: Milliseconds = 600_000.0
    unrelated_ms: Milliseconds = 60_000.0
    answered_ms: Milliseconds = 60_000.0
    probe_ms: Milliseconds = 60_000.0
    idle_ms: Milliseconds = 3_600_000.0
    max_suspects: int = 4_096
    max_held: int = 1_024
    max_answered: int = 8_192
    max_crashes: int = 1_024


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of a server while it ran requests.

    Parameters
    ----------
    incarnation : str
        Identifies the run of the server that crashed.
    service : str
        Its service.
    age : float
        Milliseconds since the crash.
    fingerprints : frozenset of bytes
        Requests that it ran, except those answered recently.
    """

    incarnation: str
    service: str
    age: Milliseconds
    fingerprints: frozenset[bytes]


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that no server may run.

    Parameters
    ----------
    fingerprint : bytes
        Fingerprint of the request.
    service : str
        Service whose servers it crashed.
    crashes : int
        Number of crashes known.
    age : float
        Milliseconds since the last crash or probe.
    """

    fingerprint: bytes
    service: str
    crashes: int
    age: Milliseconds


@dataclass(slots=True)
class _Suspect:
    """Times of the crashes at which a request was in flight, by incarnation."""

    crashes: dict[str, Milliseconds] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Background:
    """Figures that each suspect is compared with.

    Parameters
    ----------
    counts : Counter of int
        Number of suspects that are not held, by their number of crashes.
    unexplained : list of set of bytes
        For each recent crash at which no held request was in flight, the fingerprints
        of the requests that were.
    """

    counts: Counter[int]
    unexplained: list[set[bytes]]


@dataclass(slots=True)
class _Hold:
    """State of a held request, with times of the local clock."""

    service: str
    crashes: int
    since: Milliseconds
    requested_at: Milliseconds
    refused: int = 0


class Quarantine:
    """Detects the requests that crash servers and decides which to hold, on one node.

    A request that crashes servers never gets an answer, so an answer on any node clears
    it. A request that was merely in flight when servers crashed eventually gets an
    answer. A request is held once no other cause explains the crashes better. All nodes
    exchange crashes, answers to suspects, and holds, so that they reach the same
    decisions.

    Parameters
    ----------
    cfg : QuarantineSettings
        Settings.
    clock : Clock
        Clock of the process.
    """

    def __init__(self, cfg: QuarantineSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._answered = RecentAnswers(cfg.answered_ms, cfg.max_answered)
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()
        self._crashes: OrderedDict[str, _CrashRecord] = OrderedDict()
        self._held: OrderedDict[bytes, _Hold] = OrderedDict()

    @property
    def n_held(self) -> int:
        """Number of held requests."""
        return len(self._held)

    @property
    def n_suspects(self) -> int:
        """Number of requests with evidence against them that are not held."""
        return len(self._suspects.keys() - self._held.keys())

    def record_answer(self, fingerprint: bytes) -> bool:
        """Record that a server answered a request.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the request.

        Returns
        -------
        bool
            Whether to notify other nodes, because the request was suspected or held.
        """
        self._answered.add(fingerprint, self._clock.now())
        return self._clear(fingerprint)

    def was_answered(self, fingerprint: bytes) -> bool:
        """Whether a request was answered recently."""
        return fingerprint in self._answered

    def apply_clearance(self, fingerprint: bytes) -> bool:
        """Record that another node saw an answer; return whether that is new."""
        is_new = fingerprint not in self._answered
        self._answered.add(fingerprint, self._clock.now())
        self._clear(fingerprint)
        return is_new

    def _clear(self, fingerprint: bytes) -> bool:
        was_suspect = self._suspects.pop(fingerprint, None) is not None
        was_held = self._held.pop(fingerprint, None) is not None
        return was_suspect or was_held

    def is_strong_suspect(self, fingerprint: bytes) -> bool:
        """Whether a request is held, or was in flight at more than one crash."""
        return fingerprint in self._held or self._has_repeated_crashes(fingerprint)

    def record_crash(self, crash: Crash) -> frozenset[bytes]:
        """Record the crash of a server.

        Parameters
        ----------
        crash : Crash
            The crash and the requests that were in flight.

        Returns
        -------
        frozenset of bytes
            Fingerprints that were not known for this crash; empty if all were.
        """
        at = self._clock.now() - crash.age
        entry = (at, crash.service, set[bytes]())
        _, _, known = self._crashes.setdefault(crash.incarnation, entry)
        new = crash.fingerprints - known
        known |= new
        _trim(self._crashes, self._cfg.max_crashes)
        for fingerprint in sorted(new):
            if fingerprint in self._answered:
                continue
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            self._suspects.move_to_end(fingerprint)
            suspect.crashes[crash.incarnation] = at
        _trim(self._suspects, self._cfg.max_suspects)
        return new

    def select_answered(self, fingerprints: Iterable[bytes]) -> list[bytes]:
        """Return those of the requests that were answered recently."""
        return [f for f in fingerprints if f in self._answered]

    def evaluate(self, crash: Crash) -> list[HeldRequest]:
        """Hold the requests of a crash that likely caused it; return the new holds."""
        held = []
        background = self._background()
        for fingerprint in sorted(crash.fingerprints):
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                continue
            if fingerprint not in self._held:
                self._forget_old(suspect)
                if not self._should_hold(fingerprint, suspect, background):
                    continue
            n_crashes = len(suspect.crashes)
            found = HeldRequest(fingerprint, crash.service, n_crashes, crash.age)
            if self.apply_hold(found):
                held.append(found)
                background = self._background()
        return held

    def _forget_old(self, suspect: _Suspect) -> None:
        since = self._clock.now() - self._cfg.evidence_ms
        for incarnation in [i for i, at in suspect.crashes.items() if at < since]:
            del suspect.crashes[incarnation]

    def _background(self) -> _Background:
        """Return the figures that each suspect is compared with."""
        now = self._clock.now()
        evidence_since = now - self._cfg.evidence_ms
        since = now - self._cfg.unrelated_ms
        counts = Counter(
            sum(at >= evidence_since for at in suspect.crashes.values())
            for fingerprint, suspect in self._suspects.items()
            if fingerprint not in self._held
        )
        unexplained = [
            fingerprints
            for at, _, fingerprints in self._crashes.values()
            if at >= since and fingerprints.isdisjoint(self._held)
        ]
        return _Background(counts, unexplained)

    def _should_hold(
        self, fingerprint: bytes, suspect: _Suspect, background: _Background
    ) -> bool:
        n_crashes = len(suspect.crashes)
        if n_crashes < ONLY_CAUSE:
            return False
        at_least = max(n_crashes - 1, ONLY_CAUSE)
        counts = background.counts
        competing = (
            sum(count for crashes, count in counts.items() if crashes >= at_least) - 1
        )
        unrelated = sum(
            fingerprint not in fingerprints for fingerprints in background.unexplained
        )
        return should_hold(CrashEvidence(n_crashes, competing, unrelated))

    def apply_hold(self, held: HeldRequest) -> bool:
        """Hold a request; return whether the hold, or its last crash, is new."""
        if held.fingerprint in self._answered:
            return False
        now = self._clock.now()
        since = now - held.age
        known = self._held.get(held.fingerprint)
        if known is None:
            self._held[held.fingerprint] = _Hold(held.service, held.crashes, since, now)
            _trim(self._held, self._cfg.max_held)
            return True
        is_new = held.crashes > known.crashes or since > known.since + _SAME_EVENT_MS
        known.crashes = max(known.crashes, held.crashes)
        known.since = max(known.since, since)
        known.requested_at = max(known.requested_at, since)
        return is_new

    def admits(self, fingerprint: bytes) -> bool:
        """Whether a request is not held; releases a hold that was idle too long."""
        hold = self._held.get(fingerprint)
        if hold is None:
            return True
        now = self._clock.now()
        if now - hold.requested_at > self._cfg.idle_ms:
            del self._held[fingerprint]
            self._suspects.pop(fingerprint, None)
            return True
        hold.requested_at = now
        return False

    def start_probe(self, fingerprint: bytes) -> HeldRequest | None:
        """Start a probe of a held request if one is due.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the held request.

        Returns
        -------
        HeldRequest or None
            The hold to announce to all nodes; None if no probe is due.
        """
        hold = self._held.get(fingerprint)
        if hold is None or self.retry_after(fingerprint) > 0.0:
            return None
        hold.since = self._clock.now()
        return HeldRequest(fingerprint, hold.service, hold.crashes, 0.0)

    def retry_after(self, fingerprint: bytes) -> Milliseconds:
        """Return the milliseconds until a held request may be probed; 0 if due."""
        hold = self._held.get(fingerprint)
        if hold is None:
            return 0.0
        if hold.crashes >= _PROBE_STOP_CRASHES:
            return self._cfg.idle_ms
        wait = self._cfg.probe_ms * _PROBE_BACKOFF ** max(hold.crashes - ONLY_CAUSE, 0)
        return max(hold.since + wait - self._clock.now(), 0.0)

    def held(self) -> Iterator[HeldRequest]:
        """Yield the held requests."""
        now = self._clock.now()
        for fingerprint, hold in self._held.items():
            age = max(now - hold.since, 0.0)
            yield HeldRequest(fingerprint, hold.service, hold.crashes, age)

    def evidence(self) -> Iterator[Crash]:
        """Yield crashes with their requests that were in flight at several crashes."""
        now = self._clock.now()
        for incarnation, (at, service, fingerprints) in self._crashes.items():
            repeated = frozenset(
                f for f in fingerprints if self._has_repeated_crashes(f)
            )
            if repeated:
                yield Crash(incarnation, service, max(now - at, 0.0), repeated)

    def _has_repeated_crashes(self, fingerprint: bytes) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and len(suspect.crashes) > 1


def _trim(table: OrderedDict[Any, Any], max_entries: int) -> None:
    """Remove the oldest entries in excess of a maximum number."""
    while len(table) > max_entries:
        table.popitem(last=False)
