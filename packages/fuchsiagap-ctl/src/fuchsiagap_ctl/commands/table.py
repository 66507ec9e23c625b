"""Table of all commands."""

from __future__ import annotations

from fuchsiagap_ctl.commands.change import delete, put
from fuchsiagap_ctl.commands.check import check
from fuchsiagap_ctl.commands.command import Command
from fuchsiagap_ctl.commands.drain import drain
from fuchsiagap_ctl.commands.explain import explain
from fuchsiagap_ctl.commands.settings import diff, get, history
from fuchsiagap_ctl.commands.status import status
from fuchsiagap_ctl.commands.ticket import home, settle
from fuchsiagap_ctl.commands.timeline import timeline
from fuchsiagap_ctl.commands.top import top

_CHANGE_FLAGS = ("version", "change-id", "wait")
_FILTER_FLAGS = ("team", "data-centre")

# A command whose name starts with the name of another one must come before it.
COMMANDS = (
    Command(
        "settings check",
        ("TEAM", "FILE"),
        "Validate a file of settings, offline; `-` is standard input.",
        (),
        check,
        offline=True,
    ),
    Command(
        "settings get",
        ("TEAM",),
        "Show a team's settings, with their version in the first line.",
        ("source",),
        get,
    ),
    Command(
        "settings put",
        ("TEAM", "FILE"),
        "Change a team's settings, and wait until they are in force on every node.",
        _CHANGE_FLAGS,
        put,
    ),
    Command(
        "settings diff",
        ("TEAM", "FILE"),
        "Show what a file would change.",
        ("source",),
        diff,
    ),
    Command(
        "settings history",
        ("TEAM",),
        "Show the latest changes, newest first.",
        ("source",),
        history,
    ),
    Command(
        "settings delete",
        ("TEAM",),
        "Delete a team's settings; calls to its services are then refused.",
        ("yes", *_CHANGE_FLAGS),
        delete,
    ),
    Command(
        "status",
        (),
        "Show every node with its backend server, limit and admission level.",
        _FILTER_FLAGS,
        status,
    ),
    Command(
        "drain",
        ("NODE",),
        "Stop a node gracefully, and wait until it has left.",
        ("wait",),
        drain,
    ),
    Command(
        "ticket settle",
        ("TICKET", "METHOD", "PATH"),
        "Show the outcome of a request; if it has not started, it is refused for good.",
        ("yes", "wait"),
        settle,
    ),
    Command(
        "ticket",
        ("TICKET",),
        "Show which node keeps the records of a ticket; changes nothing.",
        (),
        home,
    ),
    Command(
        "timeline",
        (),
        "Show the events of all processes, merged into one order.",
        ("call", "root", "since", "format", "out", *_FILTER_FLAGS),
        timeline,
    ),
    Command(
        "explain",
        ("REQUEST", "FILE"),
        "Show the path of a request and the likely cause of its outcome, from collected"
        " log lines; offline.",
        (),
        explain,
        offline=True,
    ),
    Command(
        "top",
        (),
        "Show the busiest backend servers, refreshed at an interval.",
        ("interval", "count", *_FILTER_FLAGS),
        top,
    ),
)
