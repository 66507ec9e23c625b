"""The command ``settings check``, which validates settings without a node."""

from __future__ import annotations

import sys
from dataclasses import asdict, replace
from pathlib import Path
from typing import TYPE_CHECKING

from fuchsiagap.core.settings.faults import SettingsFaults
from fuchsiagap.core.settings.parse import parse_team
from fuchsiagap_ctl.commands.command import argument
from fuchsiagap_ctl.exit_codes import ExitCode

if TYPE_CHECKING:
    from fuchsiagap.core.settings.faults import Fault
    from fuchsiagap_ctl.commands.command import Context

STANDARD_INPUT = "-"


async def check(context: Context) -> ExitCode:
    """Validate a file as the settings of a team."""
    team, path = argument(context, -2), argument(context, -1)
    text = read_text(path)
    if text is None:
        context.output.note(f"{path}: can't be read as UTF-8 text")
        return ExitCode.USAGE
    return report_faults(context, team, path, text) or _report_valid(context, path)


def report_faults(context: Context, team: str, path: str, text: str) -> ExitCode | None:
    """Write the faults of a settings text if it is invalid.

    Parameters
    ----------
    context : Context
        Context of the command.
    team : str
        Name of the team.
    path : str
        Path of the file.
    text : str
        Text of the file.

    Returns
    -------
    ExitCode or None
        `ExitCode.INVALID_SETTINGS`, or None if the text is valid.
    """
    settings = parse_team(team, text)
    if not isinstance(settings, SettingsFaults):
        return None
    faults = [replace(fault, path=path) for fault in settings.faults]
    if context.invocation.json:
        context.output.json({"valid": False, "faults": [asdict(f) for f in faults]})
    else:
        _write_faults(context, faults)
    return ExitCode.INVALID_SETTINGS


def read_text(path: str) -> str | None:
    """Return the text of a file, or of standard input for ``-``; None if unreadable."""
    try:
        if path == STANDARD_INPUT:
            return sys.stdin.buffer.read().decode("utf-8")
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        return None


def _write_faults(context: Context, faults: list[Fault]) -> None:
    for fault in faults:
        context.output.line(str(fault))
    n_faults = len(faults)
    context.output.note(
        f"{n_faults} fault{'s' * (n_faults > 1)}; next: correct each line listed above"
    )


def _report_valid(context: Context, path: str) -> ExitCode:
    if context.invocation.json:
        context.output.json({"valid": True, "faults": []})
    else:
        context.output.line(f"{path}: valid")
    return ExitCode.DONE
