"""Where the home of a ticket is now, and what it means if it is not reached."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap_node.core.ports import LinkLost

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.tickets.ticket import Ticket
    from fuchsiagap_node.core.state import NodeState


@dataclass(frozen=True, slots=True)
class LocalHome:
    """The node itself answers for the ticket."""


@dataclass(frozen=True, slots=True)
class RemoteHome:
    """Another node answers for the ticket.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for other nodes.
    """

    address: str


@dataclass(frozen=True, slots=True)
class UnknownHome:
    """No node is known to answer for the ticket.

    Parameters
    ----------
    reason : Reason
        `Reason.HOME_GONE` or `Reason.TICKET_FORGOTTEN`.
    """

    reason: Reason


# Successors of successors that are looked up, within the time members are kept.
_MAX_HAND_OVERS = 8
Home: TypeAlias = LocalHome | RemoteHome | UnknownHome


def find_home(state: NodeState, ticket: Ticket) -> Home:
    """Return who answers for a ticket.

    Parameters
    ----------
    state : NodeState
        The node that asks.
    ticket : Ticket
        The ticket.

    Returns
    -------
    LocalHome, RemoteHome or UnknownHome
        Where to send a call that bears the ticket.
    """
    if state.tickets.window_of(ticket) is not None:
        return LocalHome()
    view = state.membership
    name = view.successor_of(ticket.node, ticket.incarnation)
    if not name and ticket.node == state.node:
        return UnknownHome(Reason.TICKET_FORGOTTEN)
    member = view.get(name or ticket.node)
    for _ in range(_MAX_HAND_OVERS):
        if member is None or member.state is not MemberState.LEFT:
            break
        # It handed over what it had taken over, too.
        member = view.get(member.successor)
    if member is None:
        return UnknownHome(Reason.HOME_GONE)
    if member.node == state.node:
        return UnknownHome(Reason.TICKET_FORGOTTEN)
    return RemoteHome(member.address)


def outcome_of_relay(head: CallHead, reply: object, *, first_copy: bool) -> Outcome:
    """Return the outcome of a call that was sent to its home.

    Parameters
    ----------
    head : CallHead
        The call.
    reply : object
        What `Peers.ask` returned.
    first_copy : bool
        Whether the caller says that it sent no copy of the request before.

    Returns
    -------
    Answered, Refused or Unknown
        If the home was not reached, `Refused` only for a first copy: an earlier one
        may have run.
    """
    if isinstance(reply, LinkLost) and not reply.sent:
        if first_copy:
            reason = Reason.HOME_GONE
            return Refused(reason, allowance=head.allowance, detail=reply.detail)
        return Unknown(Reason.HOME_GONE, head.allowance, detail=reply.detail)
    return outcome_of_reply(reply)


def outcome_of_reply(reply: object) -> Outcome:
    """Return the outcome of what was sent to a home: the reply, or `Unknown`."""
    if isinstance(reply, (Answered, Refused, Unknown)):
        return reply
    detail = reply.detail if isinstance(reply, LinkLost) else f"got {reply!r:.60}"
    return Unknown(Reason.CONNECTION_LOST, detail=detail)
