"""Domain model of fuchsiagap, an overload control layer for service call graphs."""

from __future__ import annotations

from fuchsiagap.core.calls.head import CallHead, ServiceName
from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.clock import Clock, Milliseconds, trio_clock
from fuchsiagap.core.tickets.ticket import Ticket, parse_ticket

__all__ = [
    "Answered",
    "CallHead",
    "Clock",
    "Milliseconds",
    "Outcome",
    "Reason",
    "Refused",
    "ServiceName",
    "Ticket",
    "Unknown",
    "parse_ticket",
    "trio_clock",
]
