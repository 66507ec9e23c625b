"""Every command of the program."""

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

# The longer name of two that begin alike stands first.
COMMANDS = (
    Command(
        "settings check",
        ("TEAM", "FILE"),
        "Validate settings, offline; `-` is standard input.",
        (),
        check,
        offline=True,
    ),
    Command(
        "settings get",
        ("TEAM",),
        "Write a team's settings, with their version in the first line.",
        ("source",),
        get,
    ),
    Command(
        "settings put",
        ("TEAM", "FILE"),
        "Put settings in force, and wait until they are so on every node.",
        _CHANGE_FLAGS,
        put,
    ),
    Command(
        "settings diff",
        ("TEAM", "FILE"),
        "Write what a file would change.",
        ("source",),
        diff,
    ),
    Command(
        "settings history",
        ("TEAM",),
        "Write the latest changes, newest first.",
        ("source",),
        history,
    ),
    Command(
        "settings delete",
        ("TEAM",),
        "Delete a team's settings; its calls are refused afterwards.",
        ("yes", *_CHANGE_FLAGS),
        delete,
    ),
    Command(
        "status",
        (),
        "Write every node with its backend server, limit and level.",
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
        "Find out what became of a request; one that has not started never will.",
        ("yes", "wait"),
        settle,
    ),
    Command(
        "ticket",
        ("TICKET",),
        "Write which node answers for a ticket; changes nothing.",
        (),
        home,
    ),
    Command(
        "timeline",
        (),
        "Write what happened over all processes, in one order.",
        ("call", "root", "since", "format", "out", *_FILTER_FLAGS),
        timeline,
    ),
    Command(
        "explain",
        ("REQUEST", "FILE"),
        "Write what became of a request, from collected log lines; offline.",
        (),
        explain,
        offline=True,
    ),
    Command(
        "top",
        (),
        "Write the busiest backend servers, again and again.",
        ("interval", "count", *_FILTER_FLAGS),
        top,
    ),
)
