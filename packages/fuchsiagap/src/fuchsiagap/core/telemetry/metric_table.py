"""Help text and labels of each metric, for the exposition format and documentation."""

from __future__ import annotations

from dataclasses import dataclass

from fuchsiagap.core.telemetry.metrics import Counter, Gauge, Measure


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """Description of a metric.

    Parameters
    ----------
    help : str
        Help text in one sentence.
    labels : tuple of str
        Label names.
    """

    help: str
    labels: tuple[str, ...] = ()


_ROUTE = ("route",)
_REASON = ("reason",)

COUNTERS: dict[Counter, MetricSpec] = {
    Counter.CALLS: MetricSpec("Calls that callers or peers handed in.", _ROUTE),
    Counter.REFUSALS: MetricSpec("Calls refused as not run, by reason.", _REASON),
    Counter.UNKNOWNS: MetricSpec("Calls that may have run, by reason.", _REASON),
    Counter.CALLS_RELAYED: MetricSpec(
        "Calls sent on to another node, by service.", ("service",)
    ),
    Counter.CALLS_CANCELLED: MetricSpec("Calls whose caller left.", _ROUTE),
    Counter.CALLS_EXPIRED: MetricSpec(
        "Calls dropped before they were started, for their deadline.", _ROUTE
    ),
    Counter.RETRIES: MetricSpec("Extra attempts made, by service.", ("service",)),
    Counter.RETRIES_DENIED: MetricSpec(
        "Extra attempts not made, by what denied them.", ("by",)
    ),
    Counter.LATE_ANSWERS: MetricSpec("Answers that came after their call had ended."),
    Counter.CROSSED_ANSWERS: MetricSpec("Answers to a call that the link never had."),
    Counter.INCOMPLETE_ANSWERS: MetricSpec("Answers whose body was not whole."),
    Counter.TICKETS_ISSUED: MetricSpec("Tickets handed out."),
    Counter.TICKETS_REPEATED: MetricSpec("Requests answered with a kept answer."),
    Counter.TICKETS_BURNT: MetricSpec("Tickets burnt before they were started."),
    Counter.TICKETS_FORGOTTEN: MetricSpec(
        "Tickets that fell out of the window; a repeat is answered as unknown."
    ),
    Counter.FRAMES_SENT: MetricSpec("Frames sent to peers."),
    Counter.FRAMES_RECEIVED: MetricSpec("Frames received from peers."),
    Counter.BYTES_SENT: MetricSpec("Bytes sent to peers."),
    Counter.BYTES_RECEIVED: MetricSpec("Bytes received from peers."),
    Counter.MALFORMED_FRAMES: MetricSpec("Frames from peers that were not readable."),
    Counter.LINK_FAULTS: MetricSpec(
        "Frames that a link could not handle, by fault.", ("fault",)
    ),
    Counter.PLATFORM_CALLS: MetricSpec(
        "Calls to the platform, a waiting watch as one, by operation.", ("operation",)
    ),
    Counter.PLATFORM_FAILURES: MetricSpec(
        "Calls to the platform without an answer, by operation.", ("operation",)
    ),
    Counter.SETTINGS_ADOPTED: MetricSpec("Settings adopted, by team.", ("team",)),
    Counter.VIOLATIONS: MetricSpec(
        "Invariants that did not hold; any is a bug to report.", ("invariant",)
    ),
}

GAUGES: dict[Gauge, MetricSpec] = {
    Gauge.IN_FLIGHT: MetricSpec("Calls the backend server works on."),
    Gauge.QUEUED: MetricSpec("Calls that wait for admission."),
    Gauge.LIMIT: MetricSpec("Concurrency limit of the backend server."),
    Gauge.LEVEL: MetricSpec(
        "Admission level: priority plus the admitted share of its cohorts.", _ROUTE
    ),
    Gauge.MEMBERS: MetricSpec("Nodes known, by state.", ("state",)),
    Gauge.LINKS: MetricSpec("Open links to peers."),
    Gauge.PLATFORM_UP: MetricSpec("1 if the platform answered last, else 0."),
    Gauge.SETTINGS_VERSION: MetricSpec(
        "Version of the settings in force, by team.", ("team",)
    ),
}

_ROUTE_AND_OUTCOME = ("route", "outcome")
MEASURES: dict[Measure, MetricSpec] = {
    Measure.LATENCY: MetricSpec(
        "From a call's arrival at this node to its outcome.", _ROUTE_AND_OUTCOME
    ),
    Measure.QUEUEING_DELAY: MetricSpec(
        "Time calls waited for admission at this node.", _ROUTE_AND_OUTCOME
    ),
    Measure.ADDED_TIME: MetricSpec(
        "Latency less the time the backend server had the call.", _ROUTE_AND_OUTCOME
    ),
}
