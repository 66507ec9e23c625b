"""Invariants of the program, and the reporting of their violations."""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter

if TYPE_CHECKING:
    from fuchsiagap.core.telemetry.events import EventRing
    from fuchsiagap.core.telemetry.metrics import Metrics

_logger = logging.getLogger(__name__)


class Invariant(StrEnum):
    """Conditions that must always hold.

    A process can only detect a part of the possible violations by itself:

    - ``TICKET_STARTED_TWICE``, ``FALSE_NOT_RUN``: detected with the `RunLedger` of the
      home node. It does not show what backend servers or other home nodes did.
    - ``ATTEMPTS_ABOVE_BOUND``: detected where more allowance is returned than was
      granted. No process knows the sum over a tree of calls.
    - ``WRONG_ANSWER``: detected by an answer to a call that was never sent on the link.
      Only callers can tell whether a body belongs to their call.
    - ``VERSION_WENT_BACK``: detected by comparing each offered settings document with
      the one in force.
    - ``WORK_AFTER_LEAVING``: detected where a call is sent to the backend server.
    - ``PLANNED_STOP_CUT``: detected at the end of the process by calls in progress.
    - ``PRIORITY_INVERSION``: not detected by any process. The admission level changes
      continually, nested calls of admitted requests are judged by an earlier level than
      new requests, and the other call may have been handled by another node.

    The fault and overload experiments check the complete invariants from outside.
    """

    TICKET_STARTED_TWICE = "ticket-started-twice"
    ATTEMPTS_ABOVE_BOUND = "attempts-above-bound"
    WRONG_ANSWER = "wrong-answer"
    VERSION_WENT_BACK = "version-went-back"
    WORK_AFTER_LEAVING = "work-after-leaving"
    FALSE_NOT_RUN = "false-not-run"
    PLANNED_STOP_CUT = "planned-stop-cut"
    PRIORITY_INVERSION = "priority-inversion"


class InvariantViolated(Exception):
    """An invariant was violated, and the process must stop immediately."""


class ViolationReporter(Protocol):
    """Function that reports the violation of an invariant."""

    def __call__(
        self, invariant: Invariant, detail: str, call_id: str = "", root_id: str = ""
    ) -> None:
        """Count, record and log a violation; may raise `InvariantViolated`."""


def make_violation_reporter(
    ring: EventRing, metrics: Metrics, *, stop: bool
) -> ViolationReporter:
    """Return the function that reports violations.

    Parameters
    ----------
    ring : EventRing
        Records the event.
    metrics : Metrics
        Counts the violation.
    stop : bool
        Whether the function also raises `InvariantViolated`, as in tests and
        randomised runs.

    Returns
    -------
    ViolationReporter
        The function.
    """

    def report_violation(
        invariant: Invariant, detail: str, call_id: str = "", root_id: str = ""
    ) -> None:
        metrics.count(Counter.VIOLATIONS, invariant.value)
        ring.record(
            EventKind.VIOLATION,
            call_id,
            root_id,
            invariant=invariant.value,
            detail=detail,
        )
        _logger.critical(
            "invariant violated: %s: %s (call %s, root %s)",
            invariant.value,
            detail,
            call_id or "-",
            root_id or "-",
        )
        if stop:
            raise InvariantViolated(f"{invariant.value}: {detail}")

    return report_violation
