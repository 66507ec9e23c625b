"""Builders of test data: complete objects, of which a test sets only some fields.

Examples
--------
>>> a_head(priority=2).service
ServiceName(team='salt-fog', name='certs')
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from fuchsiagap.core.calls.head import CallHead, ServiceName, cohort_of
from fuchsiagap.core.calls.outcome import (
    Answered,
    LoadReport,
    Outcome,
    Reason,
    Refused,
    Unknown,
)
from fuchsiagap.core.tickets.ticket import Ticket
from fuchsiagap_node.core.ports import BackendLoad, StoredObject

TEAM = "salt-fog"


def a_service(name: str = "certs", team: str = TEAM) -> ServiceName:
    """Return the name of a service, by default of team `TEAM`."""
    return ServiceName(team, name)


def a_ticket(
    sequence: int = 0, *, node: str = "certs-1", incarnation: int = 1
) -> Ticket:
    """Return a ticket, by default the first one issued by node ``certs-1``."""
    return Ticket(node, incarnation, sequence)


def a_head(call_id: str = "call-1", **changes: Any) -> CallHead:
    """Return the head of an idempotent root call that looks up a certificate.

    Parameters
    ----------
    call_id : str
        Identifier of the call; also the default of ``root_id``.
    **changes
        Fields of `CallHead` to set.
    """
    root_id = changes.get("root_id", call_id)
    head = CallHead(
        call_id=call_id,
        root_id=root_id,
        parent_id="",
        service=a_service(),
        route="certs/read",
        method="GET",
        target="/certificates/17",
        headers=(("accept", "application/json"),),
        priority=5,
        cohort=cohort_of(root_id),
        deadline=10_000.0,
        allowance=2,
        idempotent=True,
    )
    return replace(head, **changes)


def an_issue_head(call_id: str = "call-1", **changes: Any) -> CallHead:
    """Return the head of a non-idempotent root call that issues a certificate.

    Parameters
    ----------
    call_id : str
        Identifier of the call; also the default of ``root_id``.
    **changes
        Fields of `CallHead` to set.
    """
    fields: dict[str, Any] = {
        "route": "certs/issue",
        "method": "POST",
        "target": "/certificates",
        "priority": 0,
        "idempotent": False,
        "ticket": a_ticket(),
    }
    return a_head(call_id, **(fields | changes))


def a_load(**changes: Any) -> LoadReport:
    """Return the load report of an instance that admits every call."""
    load = LoadReport(
        level_priority=9, level_cohort=127, in_flight=3, limit=20, queued=0
    )
    return replace(load, **changes)


def an_answer(body: bytes = b'{"panel": "A-17"}', **changes: Any) -> Answered:
    """Return an answer with status 200."""
    answer = Answered(200, (("content-type", "application/json"),), body)
    return replace(answer, **changes)


def a_refusal(reason: Reason = Reason.OVERLOAD, **changes: Any) -> Refused:
    """Return a refusal, by default because of overload."""
    return replace(Refused(reason), **changes)


def an_unknown(reason: Reason = Reason.CONNECTION_LOST, **changes: Any) -> Unknown:
    """Return an unknown outcome, by default because the connection was lost."""
    return replace(Unknown(reason), **changes)


def outcomes() -> tuple[Outcome, ...]:
    """Return one outcome of each kind."""
    return an_answer(), a_refusal(), an_unknown()


def a_backend_load(**changes: Any) -> BackendLoad:
    """Return the load report of a healthy, idle backend server with 20 slots."""
    load = BackendLoad(healthy=True, slots=20, in_flight=0, draining=False)
    return replace(load, **changes)


def an_object(path: str = f"/settings/{TEAM}", **changes: Any) -> StoredObject:
    """Return an object of the platform's store at version 1."""
    return replace(StoredObject(path, 1, b"[team]\n"), **changes)
