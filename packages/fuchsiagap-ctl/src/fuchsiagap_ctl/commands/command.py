"""What a command is, and what all commands share."""

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
    """What a command works with.

    Parameters
    ----------
    invocation : Invocation
        The command line.
    client : AdminClient
        Asks nodes.
    output : Output
        Where it writes.
    """

    invocation: Invocation
    client: AdminClient
    output: Output


@dataclass(frozen=True, slots=True)
class Command:
    """One command.

    Parameters
    ----------
    name : str
        Its words, for example ``"settings put"``.
    arguments : tuple of str
        Names of the words that follow.
    summary : str
        One line that says what it does.
    flags : tuple of str
        Flags that matter to it, besides those of all commands.
    run : callable
        Does it, and returns the exit code.
    offline : bool
        Whether it asks no node.
    """

    name: str
    arguments: tuple[str, ...]
    summary: str
    flags: tuple[str, ...]
    run: Callable[[Context], Awaitable[ExitCode]]
    offline: bool = False

    @property
    def usage(self) -> str:
        """The command line, for people."""
        return " ".join(["fuchsiagap", self.name, *self.arguments])


def argument(context: Context, index: int) -> str:
    """Return a word of the command line; -1 is the last."""
    return context.invocation.words[index]


def quote_segment(word: str) -> str:
    """Return a word as one part of a path."""
    return quote(word, safe="")


def report_failure(context: Context, answer: Answer, action: str) -> ExitCode:
    """Say why a node did not do what it was asked, and what to do next.

    Parameters
    ----------
    context : Context
        Of the command.
    answer : Reply or NoReply
        The failure.
    action : str
        What was asked, as ``"read the settings of salt-fog"``.

    Returns
    -------
    ExitCode
        The code that fits.
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
            f"next: name the file with the token by --token-file or {TOKEN_VARIABLE}"
        )
    return code


def refusal_detail(reply: Reply) -> str:
    """Return what a node said of its refusal, for people."""
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
        f" give more of them by --node or {NODES_VARIABLE}"
    )
    return ExitCode.NO_NODE
