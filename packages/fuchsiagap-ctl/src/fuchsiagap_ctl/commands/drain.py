"""The command ``drain``, which stops a node gracefully."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_ctl.admin_client import Reply
from fuchsiagap_ctl.commands.command import argument, report_failure
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.fleet import Fleet, find_fleet

if TYPE_CHECKING:
    from fuchsiagap_ctl.commands.command import Context
    from fuchsiagap_ctl.fleet import FleetNode

_POLL_S = 0.5
# The leave of a node takes some time to propagate to the other nodes.
_PROPAGATION_TIMEOUT_S = 5.0
_LEFT = "left"


async def drain(context: Context) -> ExitCode:
    """Drain the node with the given name, and wait until it has left."""
    name = argument(context, -1)
    fleet = await find_fleet(context.client, context.invocation.nodes)
    if not isinstance(fleet, Fleet):
        return report_failure(context, fleet, f"find node {name}")
    node = next((one for one in fleet.nodes if one.name == name), None)
    if node is None:
        context.output.note(f"there is no node {name!r}")
        context.output.note("next: `fuchsiagap status` lists the nodes by name")
        return ExitCode.NOT_FOUND
    if node.gone:
        return _report_state(context, node, node.state)
    answer = await context.client.request(node.address, "POST", "/v1/drain")
    if not isinstance(answer, Reply) or not answer.ok:
        return report_failure(context, answer, f"drain node {name}")
    context.output.note(f"{name} refuses new calls and finishes those in progress")
    return await _wait_until_left(context, node)


async def _wait_until_left(context: Context, node: FleetNode) -> ExitCode:
    if not context.invocation.wait:
        return _report_state(context, node, "draining")
    with trio.move_on_after(context.invocation.wait / MS_PER_S):
        await _wait_until_stopped(context, node)
        return _report_state(context, node, await _final_state(context, node))
    context.output.note(
        f"{node.name} is still draining; next: see its calls with `fuchsiagap status`,"
        f" or wait again with `fuchsiagap drain {node.name}`, which is safe"
    )
    return ExitCode.TIMED_OUT


async def _wait_until_stopped(context: Context, node: FleetNode) -> None:
    """Wait until the process has ended or another one has its address."""
    n_reported = -1
    while True:
        params = {"members": "no"}
        answer = await context.client.request(
            node.address, "GET", "/v1/status", params=params, with_token=False
        )
        if not isinstance(answer, Reply):
            return
        if answer.body.get("node", {}).get("incarnation") != node.incarnation:
            return
        calls = answer.body["calls"]
        n_calls = calls["serving"] + calls["entered"]
        if n_calls != n_reported:
            context.output.note(f"{n_calls} calls in progress at {node.name}")
            n_reported = n_calls
        await trio.sleep(_POLL_S)


async def _final_state(context: Context, node: FleetNode) -> str:
    """Wait until the other nodes list the node as gone; return the state they list.

    The wait ends after `_PROPAGATION_TIMEOUT_S`. Without any other node to query, the
    node is taken to have left.
    """
    others = [a for a in context.invocation.nodes if a != node.address]
    if not others:
        return _LEFT
    state = "unknown"
    with trio.move_on_after(_PROPAGATION_TIMEOUT_S):
        while True:
            fleet = await find_fleet(context.client, others)
            if not isinstance(fleet, Fleet):
                return _LEFT
            known = [one for one in fleet.nodes if one.name == node.name]
            if not known or known[0].incarnation != node.incarnation:
                return _LEFT
            state = known[0].state
            if known[0].gone:
                return state
            await trio.sleep(_POLL_S)
    return state


def _report_state(context: Context, node: FleetNode, state: str) -> ExitCode:
    if context.invocation.json:
        context.output.json({"node": node.name, "state": state})
    else:
        context.output.line(f"{node.name}: {state}")
    if state in (_LEFT, "draining"):
        return ExitCode.DONE
    context.output.note(
        f"{node.name} is gone, but the other nodes have not heard that it left; next:"
        " see its log for how it ended"
    )
    return ExitCode.INCOMPLETE
