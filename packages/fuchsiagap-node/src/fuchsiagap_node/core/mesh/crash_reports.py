"""What nodes tell each other of requests that crash servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.quarantine.lost_servers import LostServers
from fuchsiagap.core.quarantine.quarantine import Crash, Held, Quarantine
from fuchsiagap_node.core.mesh.messages import Cleared

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping, Sequence
    from typing import TypeAlias

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.quarantine.quarantine import QuarantineSettings
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import Message

    # Sends a message on the link to one node.
    Post: TypeAlias = Callable[[Message], None]
    # What nodes tell each other here.
    Report: TypeAlias = Crash | Held | Cleared

# Links up to which a crash is told on all of them, and on how many else: reports of
# crashes are as long as servers have places. Holds are short, and told on all.
_TOLD_ALL = 16
_TOLD_SOME = 8
# Milliseconds between two messages with clearances that are in no hurry.
FLUSH_MS = 250.0
# Refusals a second that get a line each; the others are counted only.
_REFUSED_LINES_A_S = 20


class CrashReports:
    """Keeps the quarantine of one node, and tells the others what it learns.

    Each node passes on what is new to it, so that all know within a few round trips;
    the reports of one crash are the same whoever passes them on.

    Parameters
    ----------
    cfg : QuarantineSettings
        Settings.
    service : str
        Service of the own server.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Chooses whom to tell where links are many.
    event_log : EventLog
        Logs and counters.

    Attributes
    ----------
    quarantine : Quarantine
        What the node knows.
    peers : callable
        Returns how to reach each node that is linked now, by its name.
    """

    def __init__(
        self,
        cfg: QuarantineSettings,
        service: str,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        self.quarantine = Quarantine(cfg, clock)
        self._clock = clock
        self._lost = LostServers()
        self._service = service
        self._rng = rng
        self._event_log = event_log
        self._cleared: set[bytes] = set()
        self._refused_in = -1
        self._n_refused = 0
        self.peers: Callable[[], Mapping[str, Post]] = dict

    def report_crash(self, incarnation: str, fingerprints: frozenset[bytes]) -> None:
        """Report a crash of the own server."""
        unanswered = fingerprints.difference(self.quarantine.answered_of(fingerprints))
        crash = Crash(incarnation, self._service, 0.0, unanswered)
        self._handle_crash(crash, "")

    def record_lost_link(self, node: str, instance: str, fingerprint: bytes) -> None:
        """Record that a request was lost with the link to a server's node."""
        now = self._clock.now()
        self._lost.record_lost(node, instance, fingerprint, now)

    def resolve_server(self, node: str, service: str, instance: str) -> None:
        """Record which server stands beside a node; tell if the earlier one ended."""
        found = self._lost.resolve(node, instance)
        if found is None:
            return
        ended, at, lost = found
        unanswered = lost.difference(self.quarantine.answered_of(lost))
        if unanswered:
            age = self._clock.now() - at
            self._handle_crash(Crash(ended, service, age, unanswered), "")

    def record_answer(self, fingerprint: bytes) -> None:
        """Record that a server answered a request."""
        is_urgent = self.quarantine.is_near_hold(fingerprint)
        if self.quarantine.record_answer(fingerprint):
            self._clear([fingerprint], is_urgent, "")

    def handle(self, report: Report, sender: str) -> None:
        """Handle a report of another node and pass on what is new."""
        match report:
            case Crash():
                self._handle_crash(report, sender)
            case Held():
                self._handle_held(report, sender)
            case Cleared():
                prints = report.fingerprints
                is_urgent = any(map(self.quarantine.is_near_hold, prints))
                news = list(filter(self.quarantine.apply_clearance, prints))
                self._clear(news, is_urgent, sender)

    def flush(self) -> None:
        """Send the clearances that are in no hurry."""
        waiting, self._cleared = sorted(self._cleared), set()
        if waiting:
            self._broadcast(Cleared(tuple(waiting)), "", some=True)

    def send_snapshot(self, post: Post) -> None:
        """Send a node that has just been linked what it may have missed.

        Of crashes only what may soon be held: without it, nodes that start anew one
        after the other would forget what a request did that comes seldom.
        """
        for held in self.quarantine.held():
            post(held)
        for crash in self.quarantine.evidence():
            post(crash)

    def may_be_sent(self, fingerprint: bytes) -> bool:
        """Whether an entry may send a request on to a server's node."""
        quarantine = self.quarantine
        return quarantine.admits(fingerprint) or not quarantine.retry_after(fingerprint)

    def may_run(self, fingerprint: bytes) -> bool:
        """Whether the own server may run a request; a probe of one is told to all."""
        if self.quarantine.admits(fingerprint):
            return True
        probe = self.quarantine.start_probe(fingerprint)
        if probe is None:
            return False
        self._event_log.event(
            "quarantine-probe",
            fingerprint=fingerprint.hex(),
            service=probe.service,
            crashes=probe.crashes,
        )
        self._broadcast(probe, "")
        return True

    def record_refusal(self, fingerprint: bytes, request_id: str) -> None:
        """Count a refusal, and write a line unless there were many this second."""
        self._event_log.counts["quarantine_refused", ""] += 1
        second = int(self._clock.now() / MS_PER_S)
        if second != self._refused_in:
            self._refused_in, self._n_refused = second, 0
        self._n_refused += 1
        if self._n_refused <= _REFUSED_LINES_A_S:
            self._event_log.event(
                "quarantine-refused",
                request=request_id,
                fingerprint=fingerprint.hex(),
                wait=round(self.quarantine.retry_after(fingerprint)),
            )

    def _handle_crash(self, crash: Crash, sender: str) -> None:
        quarantine = self.quarantine
        fresh = quarantine.record_crash(crash)
        if not fresh:
            return
        answered = quarantine.answered_of(fresh)
        if answered:
            self._clear(answered, any(map(quarantine.is_near_hold, answered)), "")
        rest = Crash(
            crash.incarnation,
            crash.service,
            crash.age,
            fresh.difference(answered),
        )
        if rest.fingerprints:
            self._broadcast(rest, sender, some=True)
        for held in quarantine.evaluate(rest):
            self._publish_held(held, "")

    def _handle_held(self, held: Held, sender: str) -> None:
        if self.quarantine.was_answered(held.fingerprint):
            self._publish_cleared([held.fingerprint], "")
        elif self.quarantine.apply_hold(held):
            self._publish_held(held, sender)

    def _publish_held(self, held: Held, sender: str) -> None:
        self._event_log.event(
            "quarantine-held",
            fingerprint=held.fingerprint.hex(),
            service=held.service,
            crashes=held.crashes,
            age=round(held.age),
            source=sender,
        )
        self._broadcast(held, sender)

    def _publish_cleared(self, fingerprints: Iterable[bytes], sender: str) -> None:
        cleared = Cleared(tuple(fingerprints))
        self._event_log.event(
            "quarantine-cleared",
            fingerprints=[f.hex() for f in cleared.fingerprints],
            source=sender,
        )
        self._broadcast(cleared, sender)

    def _clear(
        self, fingerprints: Sequence[bytes], is_urgent: bool, sender: str
    ) -> None:
        """Publish clearances: at once to all, or some together to some nodes.

        A hundred requests that ran at one crash are answered within a second, and few
        of them were at work at another.
        """
        if is_urgent:
            self._publish_cleared(fingerprints, sender)
        else:
            self._cleared.update(fingerprints)

    def _broadcast(self, report: Report, but: str, some: bool = False) -> None:
        """Send a report to the nodes that are linked, but for the one that sent it."""
        posts = self.peers()
        names = [name for name in posts if name != but]
        if some and len(names) > _TOLD_ALL:
            names = self._rng.sample(names, _TOLD_SOME)
        for name in names:
            posts[name](report)
