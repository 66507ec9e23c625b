"""Evidence against requests, and which of them no server may run."""

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

    # When a crash was, the service of the server, and what it ran.
    _Known: TypeAlias = tuple[Milliseconds, str, set[bytes]]

# Crashes from which on a request is not tried again while it is asked for: each probe
# crashes one more server.
_NO_MORE_PROBES = 6
# By what the time until the next probe grows with each crash.
_BACKOFF = 5.0
# Milliseconds by which the ages of one event differ that nodes tell, at most.
_SAME_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Bounds on what is remembered and for how long.

    Parameters
    ----------
    evidence_ms : float
        Milliseconds for which a crash counts as evidence.
    unrelated_ms : float
        Milliseconds for which crashes without a request speak for it.
    answered_ms : float
        Milliseconds for which an answer shows that a request crashes nothing.
    probe_ms : float
        Milliseconds until a request that crashed three servers is tried again.
    idle_ms : float
        Milliseconds without being asked for after which a request is no longer held.
    max_suspects, max_held, max_answered : int
        Fingerprints that are remembered of each kind.
    max_crashes : int
        Crashes that are remembered.
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
    """The end of a server amid requests.

    Parameters
    ----------
    incarnation : str
        What names the server's start.
    service : str
        Its service.
    age : float
        Milliseconds since then.
    fingerprints : frozenset of bytes
        Requests that it ran, but for those that were answered of late.
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
        The request.
    service : str
        Service whose servers it crashed.
    crashes : int
        How many, as far as is known.
    age : float
        Milliseconds since the last of them, or since its last probe.
    """

    fingerprint: bytes
    service: str
    crashes: int
    age: Milliseconds


@dataclass(slots=True)
class _Suspect:
    """Crashes at which a request was at work, by incarnation, and when."""

    crashes: dict[str, Milliseconds] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Background:
    """Suspects by their number of crashes, and crashes that no held one explains."""

    counts: Counter[int]
    unexplained: list[set[bytes]]


@dataclass(slots=True)
class _Hold:
    """A request that is held, in local time."""

    service: str
    crashes: int
    since: Milliseconds
    asked_at: Milliseconds
    refused: int = 0


class Quarantine:
    """What one node knows of requests that crash servers.

    A request that crashes servers was never answered: an answer anywhere clears it. One
    that was merely at work where servers crashed is answered sooner or later. Requests
    are held once the crashes have no better explanation, and all nodes tell each other
    of crashes, answers to suspects, and holds, so that each decides alike.

    Parameters
    ----------
    cfg : QuarantineSettings
        Settings.
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, cfg: QuarantineSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._answered = RecentAnswers(cfg.answered_ms, cfg.max_answered)
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()
        self._crashes: OrderedDict[str, _Known] = OrderedDict()
        self._held: OrderedDict[bytes, _Hold] = OrderedDict()

    @property
    def n_held(self) -> int:
        """Requests that are held."""
        return len(self._held)

    @property
    def n_suspects(self) -> int:
        """Requests with evidence against them that are not held."""
        return len(self._suspects)

    def record_answer(self, fingerprint: bytes) -> bool:
        """Record that a server answered a request.

        Returns
        -------
        bool
            Whether other nodes are to know, since it was suspected or held.
        """
        self._answered.add(fingerprint, self._clock.now())
        return self._clear(fingerprint)

    def was_answered(self, fingerprint: bytes) -> bool:
        """Whether a request was answered of late."""
        return fingerprint in self._answered

    def apply_clearance(self, fingerprint: bytes) -> bool:
        """Record that another node saw an answer; return whether that is news."""
        is_news = fingerprint not in self._answered
        self._answered.add(fingerprint, self._clock.now())
        self._clear(fingerprint)
        return is_news

    def _clear(self, fingerprint: bytes) -> bool:
        was_suspect = self._suspects.pop(fingerprint, None) is not None
        was_held = self._held.pop(fingerprint, None) is not None
        return was_suspect or was_held

    def is_strong_suspect(self, fingerprint: bytes) -> bool:
        """Whether a request is held, or was at work at more than one crash."""
        return fingerprint in self._held or self._is_repeated(fingerprint)

    def record_crash(self, crash: Crash) -> frozenset[bytes]:
        """Record the crash of a server.

        Returns
        -------
        frozenset of bytes
            What of it was not known; empty if all was.
        """
        at = self._clock.now() - crash.age
        entry = (at, crash.service, set[bytes]())
        _, _, known = self._crashes.setdefault(crash.incarnation, entry)
        fresh = crash.fingerprints - known
        known |= fresh
        _trim(self._crashes, self._cfg.max_crashes)
        for fingerprint in sorted(fresh):
            if fingerprint in self._answered:
                continue
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            self._suspects.move_to_end(fingerprint)
            suspect.crashes[crash.incarnation] = at
        _trim(self._suspects, self._cfg.max_suspects)
        return fresh

    def select_answered(self, fingerprints: Iterable[bytes]) -> list[bytes]:
        """Return which of some requests were answered of late."""
        return [f for f in fingerprints if f in self._answered]

    def evaluate(self, crash: Crash) -> list[HeldRequest]:
        """Hold those of a crash's requests that cause crashes; return the new ones."""
        held = []
        background = self._background()
        for fingerprint in sorted(crash.fingerprints):
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                continue
            if fingerprint not in self._held:
                self._forget_old(suspect)
                if not self._is_convicted(fingerprint, suspect, background):
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
        """Return what all suspects are compared with."""
        since = self._clock.now() - self._cfg.unrelated_ms
        counts = Counter(
            len(suspect.crashes)
            for name, suspect in self._suspects.items()
            if name not in self._held
        )
        unexplained = [
            present
            for at, _, present in self._crashes.values()
            if at >= since and present.isdisjoint(self._held)
        ]
        return _Background(counts, unexplained)

    def _is_convicted(
        self, fingerprint: bytes, suspect: _Suspect, background: _Background
    ) -> bool:
        n_crashes = len(suspect.crashes)
        if n_crashes < ONLY_CAUSE:
            return False
        least = max(n_crashes - 1, ONLY_CAUSE)
        counts = background.counts
        rivals = sum(many for crashes, many in counts.items() if crashes >= least) - 1
        others = sum(fingerprint not in at for at in background.unexplained)
        return should_hold(CrashEvidence(n_crashes, rivals, others))

    def apply_hold(self, held: HeldRequest) -> bool:
        """Hold a request; return whether that, or its last crash, is news."""
        if held.fingerprint in self._answered:
            return False
        now = self._clock.now()
        since = now - held.age
        known = self._held.get(held.fingerprint)
        if known is None:
            self._held[held.fingerprint] = _Hold(held.service, held.crashes, since, now)
            _trim(self._held, self._cfg.max_held)
            return True
        is_news = held.crashes > known.crashes or since > known.since + _SAME_MS
        known.crashes = max(known.crashes, held.crashes)
        known.since = max(known.since, since)
        known.asked_at = max(known.asked_at, since)
        return is_news

    def admits(self, fingerprint: bytes) -> bool:
        """Whether a request is not held, or has not been asked for in a long time."""
        hold = self._held.get(fingerprint)
        if hold is None:
            return True
        now = self._clock.now()
        if now - hold.asked_at > self._cfg.idle_ms:
            del self._held[fingerprint]
            self._suspects.pop(fingerprint, None)
            return True
        hold.asked_at = now
        return False

    def start_probe(self, fingerprint: bytes) -> HeldRequest | None:
        """Return what all nodes are to be told if a held request may be tried now."""
        hold = self._held.get(fingerprint)
        if hold is None or self.retry_after(fingerprint) > 0.0:
            return None
        hold.since = self._clock.now()
        return HeldRequest(fingerprint, hold.service, hold.crashes, 0.0)

    def retry_after(self, fingerprint: bytes) -> Milliseconds:
        """Return the milliseconds until a held request may be tried; 0 if it may."""
        hold = self._held.get(fingerprint)
        if hold is None:
            return 0.0
        if hold.crashes >= _NO_MORE_PROBES:
            return self._cfg.idle_ms
        wait = self._cfg.probe_ms * _BACKOFF ** max(hold.crashes - ONLY_CAUSE, 0)
        return max(hold.since + wait - self._clock.now(), 0.0)

    def held(self) -> Iterator[HeldRequest]:
        """Yield the requests that are held."""
        now = self._clock.now()
        for fingerprint, hold in self._held.items():
            age = max(now - hold.since, 0.0)
            yield HeldRequest(fingerprint, hold.service, hold.crashes, age)

    def evidence(self) -> Iterator[Crash]:
        """Yield crashes with the requests that were at work at more than one."""
        now = self._clock.now()
        for incarnation, (at, service, present) in self._crashes.items():
            repeated = frozenset(f for f in present if self._is_repeated(f))
            if repeated:
                yield Crash(incarnation, service, max(now - at, 0.0), repeated)

    def _is_repeated(self, fingerprint: bytes) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and len(suspect.crashes) > 1


def _trim(table: OrderedDict[Any, Any], most: int) -> None:
    """Forget the oldest entries beyond a number."""
    while len(table) > most:
        table.popitem(last=False)
