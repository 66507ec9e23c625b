"""Entry point of the ``fuchsiagap`` command line for operators."""

from __future__ import annotations

import logging
import sys
import textwrap
from typing import TYPE_CHECKING

import trio
from absl import app, flags

from fuchsiagap.core.build_info import build_info
from fuchsiagap_ctl.admin_client import AdminClient, make_http
from fuchsiagap_ctl.commands.command import Context
from fuchsiagap_ctl.commands.table import COMMANDS
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.invocation import (
    NODES_VARIABLE,
    UsageFault,
    define_flags,
    read_invocation,
)
from fuchsiagap_ctl.output import standard_output

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    import httpx

    from fuchsiagap_ctl.commands.command import Command
    from fuchsiagap_ctl.output import Output

_HELP_WIDTH = 70
_COMMON_FLAGS = ("node", "token-file", "json", "timeout")


def main(
    argv: Sequence[str],
    output: Output,
    transport: Callable[[], httpx.AsyncBaseTransport] | None = None,
) -> ExitCode:
    """Run one command line.

    Parameters
    ----------
    argv : sequence of str
        The program's name, then flags, command and arguments.
    output : Output
        Writes results and messages.
    transport : callable, optional
        Creates the HTTP transport to the nodes; by default TCP. Tests pass a fake.

    Returns
    -------
    ExitCode
        Exit code of the process.
    """
    return trio.run(run_line, argv, output, transport)


async def run_line(
    argv: Sequence[str],
    output: Output,
    transport: Callable[[], httpx.AsyncBaseTransport] | None = None,
) -> ExitCode:
    """Run one command line within a running trio loop; see `main`."""
    if list(argv[1:]) == ["--version"]:
        output.line(str(build_info()))
        return ExitCode.DONE
    all_flags = define_flags()
    try:
        words = all_flags(list(argv))[1:]
    except flags.Error as exc:
        return _report_usage_error(output, str(exc))
    command = find_command(words)
    if all_flags["help"].value or not words:
        _write_help(output, command, all_flags)
        return ExitCode.DONE
    if command is None:
        return _report_usage_error(output, f"there is no command {' '.join(words)!r}")
    if len(words) - len(command.name.split()) != len(command.arguments):
        return _report_usage_error(output, f"expected: {command.usage}")
    invocation = read_invocation(all_flags, words)
    if isinstance(invocation, UsageFault):
        return _report_usage_error(output, invocation.detail)
    if not invocation.nodes and not command.offline:
        return _report_usage_error(
            output, f"no node is given: add --node IP:PORT or set {NODES_VARIABLE}"
        )
    async with make_http(invocation, transport) as http:
        client = AdminClient(http, invocation.token)
        return await command.run(Context(invocation, client, output))


def find_command(words: Sequence[str]) -> Command | None:
    """Return the command whose name the words start with; None if there is none."""
    for command in COMMANDS:
        name = command.name.split()
        if list(words[: len(name)]) == name:
            return command
    return None


def _report_usage_error(output: Output, detail: str) -> ExitCode:
    output.note(f"fuchsiagap: {detail}")
    output.note("next: `fuchsiagap --help` lists the commands and flags")
    return ExitCode.USAGE


def _write_help(
    output: Output, command: Command | None, all_flags: flags.FlagValues
) -> None:
    if command is None:
        output.line("usage: fuchsiagap COMMAND [ARGUMENTS] [FLAGS]")
        output.line("")
        width = max(len(one.usage) for one in COMMANDS)
        for one in COMMANDS:
            output.line(f"  {one.usage:{width}}  {one.summary}")
        output.line("")
        output.line(
            "`fuchsiagap --version` shows the version and a digest of the sources"
        )
        names: Sequence[str] = _COMMON_FLAGS
    else:
        output.line(f"usage: {command.usage} [FLAGS]")
        output.line(command.summary)
        names = (*command.flags, *_COMMON_FLAGS)
    output.line("")
    for name in names:
        summary = (all_flags[name].help or "").partition(";\n")[0]
        lines = textwrap.wrap(summary, _HELP_WIDTH)
        output.line(f"  --{name:12} {lines[0]}")
        for more in lines[1:]:
            output.line(f"{'':17}{more}")


def _parse_program_name(argv: list[str]) -> list[str]:
    """Pass only the program's name to absl, since `main` parses the flags itself."""
    flags.FLAGS(argv[:1])
    return argv


def _main(argv: list[str]) -> int:
    # httpx logs a line for each request, which would clutter the command's messages.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    try:
        return main(argv, standard_output())
    except KeyboardInterrupt:
        return ExitCode.STOPPED
    except BrokenPipeError:
        # The reader of the output has closed the pipe, as `head` does.
        sys.stderr.close()
        return ExitCode.DONE


def run() -> None:
    """Run the command line of the process and exit with its exit code."""
    app.run(_main, flags_parser=_parse_program_name)


if __name__ == "__main__":
    run()
