"""Exit codes of the command line, listed in ``docs/cli.md``."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Result of a command."""

    DONE = 0
    BUG = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    CONFLICT = 4
    NOT_FOUND = 5
    NOT_ALLOWED = 6
    NO_NODE = 7
    INCOMPLETE = 8
    PLATFORM_DOWN = 9
    MAYBE_APPLIED = 10
    REFUSED = 11
    TIMED_OUT = 12
    STOPPED = 130


MEANINGS = {
    ExitCode.DONE: "Done.",
    ExitCode.BUG: "A bug in this program; the traceback is on standard error.",
    ExitCode.USAGE: "The command line is invalid.",
    ExitCode.INVALID_SETTINGS: "The settings are invalid; every fault is listed.",
    ExitCode.CONFLICT: "Another change was made first; the difference is shown.",
    ExitCode.NOT_FOUND: "There is no such team, node, call, request or ticket.",
    ExitCode.NOT_ALLOWED: "The token is missing or does not allow the action.",
    ExitCode.NO_NODE: "None of the given nodes answered.",
    ExitCode.INCOMPLETE: "Done, but incomplete; what is missing is shown.",
    ExitCode.PLATFORM_DOWN: "The platform is unavailable; nothing was changed.",
    ExitCode.MAYBE_APPLIED: (
        "The change may have taken effect; repeat it with its --change-id."
    ),
    ExitCode.REFUSED: "The node refused the request; its reason is shown.",
    ExitCode.TIMED_OUT: "Not finished within --wait; it may still finish.",
    ExitCode.STOPPED: "Interrupted by Ctrl-C; a requested change may take effect.",
}
