"""Stand-in for the administration APIs of many nodes, all served at one address.

``python -m fuchsiagap_standins.admin_app --nodes 400 --events 200`` prints the address
that the server listens on. The page of events is built once, so that the server uses
little CPU compared with its clients.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

import trio
from absl import flags

from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.hlc import stamp_at
from fuchsiagap_standins.command_line import new_flags, parse_flags
from fuchsiagap_standins.serving import announce, serve_app, wait_for_stop_signal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

# Time stamp of the first event, in milliseconds since the epoch.
_START_MS = 1_800_000_000_000.0
_DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
_JSON = [(b"content-type", b"application/json")]

_FLAGS = new_flags()
_BIND = flags.DEFINE_string(
    "bind", "127.0.0.1:0", "IP:PORT to listen on.", flag_values=_FLAGS
)
_NODES = flags.DEFINE_integer("nodes", 100, "Number of nodes.", flag_values=_FLAGS)
_EVENTS = flags.DEFINE_integer(
    "events", 100, "Number of events per node.", flag_values=_FLAGS
)


def admin_stand_in(
    n_nodes: int, n_events: int
) -> Callable[[dict[str, Any], Any, Callable[..., Awaitable[None]]], Awaitable[None]]:
    """Return an ASGI application that serves the status and events of all nodes.

    Parameters
    ----------
    n_nodes : int
        Number of members that the status lists.
    n_events : int
        Number of events that each node returns.
    """
    page = _events_page(n_events)

    async def app(
        scope: dict[str, Any], receive: Any, send: Callable[..., Awaitable[None]]
    ) -> None:
        if scope["type"] != "http":
            # An error on the lifespan scope tells the server that the application has
            # no start-up or shutdown phase.
            raise RuntimeError("unsupported ASGI scope: only http is served")
        if scope["path"] == "/v1/events":
            body = page
        else:
            host = dict(scope["headers"])[b"host"].decode()
            body = _status(
                n_nodes if b"members=no" not in scope["query_string"] else 0, host
            )
        await send({"type": "http.response.start", "status": 200, "headers": _JSON})
        await send({"type": "http.response.body", "body": body})

    return app


def _events_page(n_events: int) -> bytes:
    events = [
        {
            "stamp": stamp_at(_START_MS + number),
            "process": "node",
            "kind": EventKind.CALL_RECEIVED.value,
            "call_id": f"{number:016x}",
            "root_id": f"node-1.1a237802a07.{number:x}",
            "detail": {"route": "certs/issue", "priority": 1},
        }
        for number in range(n_events)
    ]
    page = {"process": "node", "events": events, "overwritten": False, "more": False}
    return json.dumps(page).encode()


def _status(n_nodes: int, address: str) -> bytes:
    members: dict[str, dict[str, list[dict[str, Any]]]] = {}
    for number in range(n_nodes):
        data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
        team_members = members.setdefault(data_centre, {}).setdefault("salt-fog", [])
        team_members.append(
            {
                "node": f"certs-{number}",
                "services": ["certs"],
                "state": "alive",
                "incarnation": 1,
                "address": address,
                "admin_address": address,
            }
        )
    status = {
        "node": {"name": "certs-0", "incarnation": 1, "draining": False},
        "backend": {"in_flight": 1, "queued": 0, "limit": 100},
        "levels": [{"route": "certs", "level_priority": 9, "level_cohort": 127}],
        "calls": {"serving": 1, "entered": 1},
        "settings": {"teams": [{"team": "salt-fog", "version": 1}], "refused": []},
        "platform": {"up": True},
        "unreachable_data_centres": [],
        "members": members,
    }
    return json.dumps(status).encode()


async def _run(bind: str, n_nodes: int, n_events: int) -> None:
    async with trio.open_nursery() as nursery:
        app = admin_stand_in(n_nodes, n_events)
        announce(await nursery.start(serve_app, app, bind))
        await wait_for_stop_signal()
        nursery.cancel_scope.cancel()


def main(argv: Sequence[str]) -> None:
    """Run the server with the flags in `argv`."""
    parse_flags(_FLAGS, argv, "Stand-in for the administration APIs of many nodes.")
    trio.run(_run, _BIND.value, _NODES.value, _EVENTS.value)


if __name__ == "__main__":
    main(sys.argv)
