"""Definition of a command, and helpers that all commands share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

from fuchsiagap_ctl.admin_client import NoReply, Reply
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.invocation import NODES_VARIABLE
from fuchsiagap_ctl.invocation import TOKEN_FILE_VARIABLE as TOKEN_VARIABLE

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_ctl.admin_client import AdminClient, Answer
    from fuchsiagap_ctl.invocation import Invocation
    from fuchsiagap_ctl.output import Output


@dataclass(frozen=True, slots=True)
class Context:
    """Arguments, client and output of a running command.

    Parameters
    ----------
    invocation : Invocation
        The parsed command line.
    client : AdminClient
        Sends requests to nodes.
    output : Output
        Writes results and messages.
    """

    invocation: Invocation
    client: AdminClient
    output: Output


@dataclass(frozen=True, slots=True)
class Command:
    """A command of the program.

    Parameters
    ----------
    name : str
        Name with the subcommand, for example ``"settings put"``.
    arguments : tuple of str
        Names of the arguments that follow.
    summary : str
        One line of help.
    flags : tuple of str
        Flags that apply to it, besides those common to all commands.
    run : callable
        Runs the command and returns the exit code.
    offline : bool
        Whether it runs without contacting a node.
    """

    name: str
    arguments: tuple[str, ...]
    summary: str
    flags: tuple[str, ...]
    run: Callable[[Context], Awaitable[ExitCode]]
    offline: bool = False

    @property
    def usage(self) -> str:
        """The command line with placeholders, for the help."""
        return " ".join(["fuchsiagap", self.name, *self.arguments])


def argument(context: Context, index: int) -> str:
    """Return a positional argument of the command line; -1 is the last."""
    return context.invocation.words[index]


def quote_segment(word: str) -> str:
    """Percent-encode a word as one path segment."""
    return quote(word, safe="")


def report_failure(context: Context, answer: Answer, action: str) -> ExitCode:
    """Write why a request failed, and what to do next.

    Parameters
    ----------
    context : Context
        Context of the command.
    answer : Reply or NoReply
        The failure.
    action : str
        The requested action, such as ``"read the settings of salt-fog"``.

    Returns
    -------
    ExitCode
        The exit code for the failure.
    """
    if isinstance(answer, NoReply):
        return _report_no_reply(context, answer, action)
    context.output.note(f"could not {action}: {refusal_detail(answer)}")
    for name in ("expected", "next"):
        if found := answer.body.get(name):
            context.output.note(f"{name}: {found}")
    code = _CODES.get(answer.status, ExitCode.REFUSED)
    if code is ExitCode.NOT_ALLOWED:
        context.output.note(
            f"next: give the file with the token by --token-file or {TOKEN_VARIABLE}"
        )
    return code


def refusal_detail(reply: Reply) -> str:
    """Return the detail of an error response, or else its status."""
    detail = reply.body.get("detail")
    if isinstance(detail, str) and detail:
        return detail
    return f"{reply.node} answered with status {reply.status}"


_CODES = {
    401: ExitCode.NOT_ALLOWED,
    403: ExitCode.NOT_ALLOWED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    422: ExitCode.INVALID_SETTINGS,
    503: ExitCode.PLATFORM_DOWN,
    504: ExitCode.MAYBE_APPLIED,
}


def _report_no_reply(context: Context, answer: NoReply, action: str) -> ExitCode:
    context.output.note(f"could not {action}: no node answered: {answer.detail}")
    context.output.note(
        "next: check that the node runs and that the address is its admin address;"
        f" give more addresses by --node or {NODES_VARIABLE}"
    )
    return ExitCode.NO_NODE
