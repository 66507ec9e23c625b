"""Exchange of reports about requests that crash servers, among all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.quarantine.lost_link_requests import LostLinkRequests
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest, Quarantine
from fuchsiagap_node.core.mesh.messages import Cleared

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping, Sequence
    from typing import TypeAlias

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.quarantine.quarantine import QuarantineSettings
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import Message

    # Queues a message on the link to one node.
    Post: TypeAlias = Callable[[Message], None]
    # Messages of the quarantine between nodes.
    Report: TypeAlias = Crash | HeldRequest | Cleared

# Crash reports and clearances are sent on all links up to the maximum number of links,
# and on a random sample of the links if there are more. A crash report is long, since
# it lists a request for each slot of the server. Holds are short and are always sent on
# all links.
_MAX_FULL_BROADCAST_LINKS = 16
_N_SAMPLED_LINKS = 8
# Milliseconds between two messages with clearances that are not urgent.
FLUSH_MS = 250.0
# Maximum number of refusals per second that are logged as events; the others are only
# counted.
_MAX_REFUSAL_EVENTS_PER_S = 20


class CrashReports:
    """Keeps the quarantine of one node and spreads crash reports by gossip.

    Each node forwards what is new to it, so that a report reaches all nodes within a
    few round trips. The reports of one crash are equal whichever node forwards them.

    Parameters
    ----------
    cfg : QuarantineSettings
        Settings of the quarantine.
    service : str
        Service of the backend server on this host.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Samples the links on which to report where there are many.
    event_log : EventLog
        Event log and counters.

    Attributes
    ----------
    quarantine : Quarantine
        Suspects, held requests and recent answers known to this node.
    peers : callable
        Returns the send function of each linked node, by node name.
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
        self._lost_link_requests = LostLinkRequests()
        self._service = service
        self._rng = rng
        self._event_log = event_log
        self._cleared: set[bytes] = set()
        self._refusal_second = -1
        self._n_refusals = 0
        self.peers: Callable[[], Mapping[str, Post]] = dict

    def report_crash(self, incarnation: str, fingerprints: frozenset[bytes]) -> None:
        """Report a crash of the backend server on this host.

        Parameters
        ----------
        incarnation : str
            Incarnation that crashed.
        fingerprints : frozenset of bytes
            Requests that it ran.
        """
        unanswered = fingerprints.difference(
            self.quarantine.select_answered(fingerprints)
        )
        crash = Crash(incarnation, self._service, 0.0, unanswered)
        self._handle_crash(crash, "")

    def record_lost_link(self, node: str, instance: str, fingerprint: bytes) -> None:
        """Record that a request was lost with the link to a server's node."""
        now = self._clock.now()
        self._lost_link_requests.record_lost(node, instance, fingerprint, now)

    def resolve_server(self, node: str, service: str, instance: str) -> None:
        """Record the server incarnation of a node; report a crash of the earlier one.

        If a node whose link was lost comes back with another server incarnation, the
        earlier one has ended with the requests that were sent to it.
        """
        found = self._lost_link_requests.resolve(node, instance)
        if found is None:
            return
        ended, at, lost = found
        unanswered = lost.difference(self.quarantine.select_answered(lost))
        if unanswered:
            age = self._clock.now() - at
            self._handle_crash(Crash(ended, service, age, unanswered), "")

    def record_answer(self, fingerprint: bytes) -> None:
        """Record that a server answered a request."""
        is_urgent = self.quarantine.is_strong_suspect(fingerprint)
        if self.quarantine.record_answer(fingerprint):
            self._clear([fingerprint], is_urgent, "")

    def handle(self, report: Report, sender: str) -> None:
        """Handle a report of another node and forward what is new."""
        match report:
            case Crash():
                self._handle_crash(report, sender)
            case HeldRequest():
                self._handle_held(report, sender)
            case Cleared():
                fingerprints = report.fingerprints
                is_urgent = any(map(self.quarantine.is_strong_suspect, fingerprints))
                new = list(filter(self.quarantine.apply_clearance, fingerprints))
                self._clear(new, is_urgent, sender)

    def flush(self) -> None:
        """Send the clearances that are not urgent."""
        waiting, self._cleared = sorted(self._cleared), set()
        if waiting:
            self._broadcast(Cleared(tuple(waiting)), "", sampled=True)

    def send_snapshot(self, post: Post) -> None:
        """Send a newly linked node the holds and the evidence that it may have missed.

        The evidence covers only requests that may soon be held. Without it, the crashes
        caused by a rare request would be forgotten in a rolling restart of the nodes.
        """
        for held in self.quarantine.held():
            post(held)
        for crash in self.quarantine.evidence():
            post(crash)

    def may_be_sent(self, fingerprint: bytes) -> bool:
        """Whether an entry node may send a request to the node of a server.

        A held request may be sent once its next probe is due.
        """
        quarantine = self.quarantine
        return quarantine.admits(fingerprint) or not quarantine.retry_after(fingerprint)

    def may_run(self, fingerprint: bytes) -> bool:
        """Whether the server on this host may run a request.

        If a held request may run as a probe, that is announced to all nodes.
        """
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
        """Count a refusal, and log it unless there were too many this second."""
        self._event_log.counts["quarantine_refused", ""] += 1
        second = int(self._clock.now() / MS_PER_S)
        if second != self._refusal_second:
            self._refusal_second, self._n_refusals = second, 0
        self._n_refusals += 1
        if self._n_refusals <= _MAX_REFUSAL_EVENTS_PER_S:
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
        answered = quarantine.select_answered(fresh)
        if answered:
            self._clear(answered, any(map(quarantine.is_strong_suspect, answered)), "")
        rest = Crash(
            crash.incarnation,
            crash.service,
            crash.age,
            fresh.difference(answered),
        )
        if rest.fingerprints:
            self._broadcast(rest, sender, sampled=True)
        for held in quarantine.evaluate(rest):
            self._publish_held(held, "")

    def _handle_held(self, held: HeldRequest, sender: str) -> None:
        if self.quarantine.was_answered(held.fingerprint):
            self._publish_cleared([held.fingerprint], "")
        elif self.quarantine.apply_hold(held):
            self._publish_held(held, sender)

    def _publish_held(self, held: HeldRequest, sender: str) -> None:
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
        """Publish urgent clearances at once, and batch the others for `flush`.

        Of the requests that ran during one crash, a hundred may be answered within a
        second, and few of them also ran during another crash. Most clearances are
        therefore not urgent.
        """
        if is_urgent:
            self._publish_cleared(fingerprints, sender)
        else:
            self._cleared.update(fingerprints)

    def _broadcast(self, report: Report, exclude: str, sampled: bool = False) -> None:
        """Send a report to the linked nodes.

        Parameters
        ----------
        report : Report
            The report.
        exclude : str
            Node that the report came from, which is left out; empty for none.
        sampled : bool
            Whether to send on a random sample of the links if there are many.
        """
        posts = self.peers()
        names = [name for name in posts if name != exclude]
        if sampled and len(names) > _MAX_FULL_BROADCAST_LINKS:
            names = self._rng.sample(names, _N_SAMPLED_LINKS)
        for name in names:
            posts[name](report)
