"""Fake administration API of nodes, with scripted replies."""

from __future__ import annotations

import json
import tempfile
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx

from fuchsiagap_ctl.main import run_line
from fuchsiagap_ctl.output import Output
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from testtools import TestCase

    from fuchsiagap_ctl.exit_codes import ExitCode

DATE = "Fri, 15 Jan 2027 08:00:05 GMT"

Replies = dict[str, Any]


def temp_folder(case: TestCase) -> Path:
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return Path(folder.name)


def member_record(node: str, state: str = "alive", **changes: Any) -> dict[str, Any]:
    return {
        "node": node,
        "services": ["certs"],
        "state": state,
        "incarnation": 1,
        "address": f"{node}:7000",
        "admin_address": f"{node}:7100",
        **changes,
    }


def status_body(node: str, *members: dict[str, Any], **changes: Any) -> dict[str, Any]:
    level = {"route": "certs", "level_priority": 9, "level_cohort": 127}
    return {
        "node": {"name": node, "incarnation": 1, "draining": False},
        "backend": {"in_flight": 3, "queued": 0, "limit": 32},
        "levels": [level],
        "calls": {"serving": 0, "entered": 0},
        "settings": {"teams": [{"team": "salt-fog", "version": 7}], "refused": []},
        "platform": {"up": True},
        "unreachable_data_centres": [],
        "members": {"hall-a": {"salt-fog": list(members)}},
        **changes,
    }


def event_record(process: str, stamp: int, kind: str, **changes: Any) -> dict[str, Any]:
    return {
        "stamp": stamp,
        "process": process,
        "kind": kind,
        "call_id": "c1",
        "root_id": "r1",
        "detail": {},
        **changes,
    }


def events_page(*events: dict[str, Any], **changes: Any) -> dict[str, Any]:
    return {"events": list(events), "overwritten": False, "more": False, **changes}


@dataclass
class FakeNodes:
    """Fake nodes, and the output of the commands run against them.

    Parameters
    ----------
    replies : dict of str to dict
        For each admin address, the reply to each ``METHOD /path``: a JSON value, a
        (status, JSON value) pair, text, an exception to raise, or a function of the
        request. A list holds the replies to successive requests; its last item is
        repeated.
    requests : list of httpx.Request
        Requests that reached the nodes.
    lines, notes : list of str
        Standard output and standard error of the latest command.
    """

    replies: dict[str, Replies] = field(default_factory=dict)
    requests: list[httpx.Request] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, node: str, **replies: Any) -> None:
        paths = {
            name.replace("_", " /v1/", 1).replace("_", "/"): reply
            for name, reply in replies.items()
        }
        self.replies.setdefault(f"{node}:7100", {}).update(paths)

    def run(self, *words: str, nodes: tuple[str, ...] = ("certs-1",)) -> ExitCode:
        self.lines.clear()
        self.notes.clear()
        flags = [f"--node={node}:7100" for node in nodes]
        output = Output(self.lines.append, self.notes.append)
        argv = ["fuchsiagap", *words, *flags]
        transport = partial(httpx.MockTransport, self._handle)
        return run_virtual(run_line, argv, output, transport)

    @property
    def notes_text(self) -> str:
        return "\n".join(self.notes)

    @property
    def json(self) -> Any:
        (line,) = self.lines
        return json.loads(line)

    def sent_bodies(self, method: str) -> list[Any]:
        return [json.loads(r.content) for r in self.requests if r.method == method]

    def _handle(self, req: httpx.Request) -> httpx.Response:
        self.requests.append(req)
        address = req.url.netloc.decode()
        if address not in self.replies:
            raise httpx.ConnectError("connection refused")
        key = f"{req.method} {req.url.path}"
        reply = self.replies[address].get(key, (404, {"detail": f"no {key}"}))
        if isinstance(reply, list):
            reply = reply.pop(0) if len(reply) > 1 else reply[0]
        return _response(reply, req)


def _response(reply: Any, req: httpx.Request) -> httpx.Response:
    if isinstance(reply, Exception):
        raise reply
    if callable(reply):
        called: Callable[[httpx.Request], Any] = reply
        return _response(called(req), req)
    status, body = reply if isinstance(reply, tuple) else (200, reply)
    if isinstance(body, str):
        return httpx.Response(status, text=body, headers={"date": DATE})
    return httpx.Response(status, json=body, headers={"date": DATE})
