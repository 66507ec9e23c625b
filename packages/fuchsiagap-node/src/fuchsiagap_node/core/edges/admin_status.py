"""Status of a node, its backend server and the known members, as JSON values."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from fuchsiagap_node.core.edges.admin_settings import settings_overview

if TYPE_CHECKING:
    from fuchsiagap.core.membership.member import Member
    from fuchsiagap_node.core.state import NodeState


def node_status(
    state: NodeState, team: str = "", members: bool = True
) -> dict[str, Any]:
    """Return the status of a node.

    Only local state is read, so the status is available without the platform or
    other nodes.

    Parameters
    ----------
    state : NodeState
        State of the node.
    team : str, optional
        Team whose members are listed; all by default.
    members : bool, default=True
        Whether to list members.

    Returns
    -------
    dict
        The fields of ``GET /v1/status`` in ``docs/admin-api.md``.
    """
    status = {
        "node": _describe_node(state),
        "backend": _describe_backend(state),
        "levels": _route_levels(state),
        "limits": asdict(state.cfg.limits),
        "calls": _count_calls(state),
        "settings": settings_overview(state),
        "platform": {"up": state.book.sync_status.platform_up},
        "unreachable_data_centres": sorted(state.membership.unreachable),
        "member_counts": _member_counts(state),
    }
    if members:
        status["members"] = _group_members(state, team)
    return status


def _describe_node(state: NodeState) -> dict[str, Any]:
    cfg = state.cfg
    return {
        "name": cfg.name,
        "host": cfg.host,
        "data_centre": cfg.data_centre,
        "incarnation": state.incarnation,
        "listen": asdict(cfg.listen),
        "leaving": state.leaving,
        "draining": state.drain_requested.is_set(),
    }


def _describe_backend(state: NodeState) -> dict[str, Any]:
    gate = state.gate
    return {
        "team": state.cfg.backend.team,
        "service": state.cfg.backend.service,
        "address": state.cfg.backend.address,
        "in_flight": gate.in_flight,
        "queued": gate.n_waiting,
        "limit": gate.limit,
    }


def _route_levels(state: NodeState) -> list[dict[str, Any]]:
    """Return the admission level of each route of the backend server's service."""
    settings = state.book.team(state.cfg.backend.team)
    service = state.cfg.service
    routes = [service.name]
    if settings is not None:
        routes += [r.route for r in settings.routes if r.service == service]
    return [{"route": route, **asdict(state.gate.report(route))} for route in routes]


def _count_calls(state: NodeState) -> dict[str, int]:
    calls = state.calls
    return {"serving": len(calls.serving), "entered": calls.n_entered}


def _member_counts(state: NodeState) -> dict[str, int]:
    counts: dict[str, int] = {}
    for member in state.membership.members():
        counts[member.state.value] = counts.get(member.state.value, 0) + 1
    return counts


def _group_members(
    state: NodeState, team: str
) -> dict[str, dict[str, list[dict[str, Any]]]]:
    """Return members by data centre and team; ``""`` has members without service."""
    members_by_data_centre: dict[str, dict[str, list[dict[str, Any]]]] = {}
    for member in sorted(state.membership.members(), key=lambda m: m.node):
        teams = sorted({service.team for service in member.services}) or [""]
        for name in teams:
            if not team or name == team:
                by_team = members_by_data_centre.setdefault(member.data_centre, {})
                by_team.setdefault(name, []).append(_describe_member(member, name))
    return members_by_data_centre


def _describe_member(member: Member, team: str) -> dict[str, Any]:
    return {
        "node": member.node,
        "services": [s.name for s in member.services if s.team == team],
        "state": member.state.value,
        "incarnation": member.incarnation,
        "address": member.address,
        "admin_address": member.admin_address,
    }
