"""Definition and parsing of the command-line flags."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from absl import flags

from fuchsiagap.core.clock import MS_PER_S, Milliseconds

NODES_VARIABLE = "FUCHSIAGAP_NODES"
TOKEN_FILE_VARIABLE = "FUCHSIAGAP_TOKEN_FILE"

_UNITS_MS = {"ms": 1.0, "s": MS_PER_S, "m": 60 * MS_PER_S, "h": 3600 * MS_PER_S}
_FORMATS = ("text", "json", "svg", "html")


@dataclass(frozen=True, slots=True)
class Invocation:
    """A parsed command line.

    Parameters
    ----------
    words : tuple of str
        Everything but the flags: the command, its subcommand and their arguments.
    nodes : tuple of str
        Admin addresses, ``IP:PORT``; one that answers is enough.
    token : str
        Bearer token; empty if none was given.
    json : bool
        Whether to write JSON in place of text.
    timeout : float
        Milliseconds to wait for each response of a node.
    call, root : str
        Call and root request whose events ``timeline`` shows; empty for all.
    since : float
        Start of the timeline, in milliseconds before now; 0 if not given.
    format, out : str
        Format of the timeline, and the file to write it to; an empty `out` is
        standard output.
    team, data_centre : str
        Team and data centre to show; empty for all.
    version : int
        Version of the settings that a change is based on; 0 for none, -1 if not
        given.
    change_id : str
        Id of the change to repeat; empty for a new change.
    source : str
        Where to read settings from: ``"node"`` or ``"platform"``.
    wait : float
        Milliseconds to wait for the command to take effect; 0 does not wait.
    interval : float
        Milliseconds between two refreshes of ``top``.
    count : int
        Number of refreshes of ``top``; 0 for no limit.
    yes : bool
        Whether an action that can't be undone is confirmed.
    """

    words: tuple[str, ...]
    nodes: tuple[str, ...] = ()
    token: str = ""
    json: bool = False
    timeout: Milliseconds = 5_000.0
    call: str = ""
    root: str = ""
    since: Milliseconds = 0.0
    format: str = "text"
    out: str = ""
    team: str = ""
    data_centre: str = ""
    version: int = -1
    change_id: str = ""
    source: str = "node"
    wait: Milliseconds = 60_000.0
    interval: Milliseconds = 2_000.0
    count: int = 0
    yes: bool = False


@dataclass(frozen=True, slots=True)
class UsageFault:
    """The result of parsing an invalid command line.

    Parameters
    ----------
    detail : str
        What was given, what is expected and what to do.
    """

    detail: str

    def __str__(self) -> str:
        return self.detail


def define_flags() -> flags.FlagValues:
    """Define the flags of all commands.

    Returns
    -------
    FlagValues
        The unparsed flags, which may stand anywhere on the command line.
    """
    all_flags: flags.FlagValues = flags.FlagValues()  # type: ignore[no-untyped-call]
    all_flags.set_gnu_getopt()
    _define_text(all_flags)
    text = "Write JSON in place of text."
    flags.DEFINE_bool("json", False, text, flag_values=all_flags)
    text = "Confirm an action that can't be undone."
    flags.DEFINE_bool("yes", False, text, flag_values=all_flags)
    text = "Show a description of the command and its flags."
    flags.DEFINE_bool("help", False, text, short_name="h", flag_values=all_flags)
    text = "Version the change is based on; by default read from the file's first line."
    flags.DEFINE_integer("version", -1, text, flag_values=all_flags)
    text = "Number of refreshes of `top`; 0 for no limit."
    flags.DEFINE_integer("count", 0, text, lower_bound=0, flag_values=all_flags)
    text = "Read the settings in force at the node, or those stored on the platform."
    sources = ["node", "platform"]
    flags.DEFINE_enum("source", "node", sources, text, flag_values=all_flags)
    text = "Format of the timeline; by default that of the file name given by --out."
    flags.DEFINE_enum("format", None, _FORMATS, text, flag_values=all_flags)
    return all_flags


def _define_text(all_flags: flags.FlagValues) -> None:
    text = (
        "Admin address IP:PORT of a node; may be given more than once, or in"
        f" {NODES_VARIABLE} separated by commas. One that answers is enough."
    )
    flags.DEFINE_multi_string("node", [], text, flag_values=all_flags)
    for name, default, text in (
        (
            "token-file",
            "",
            f"File with the bearer token; by default {TOKEN_FILE_VARIABLE}.",
        ),
        ("timeout", "5s", "How long to wait for each response of a node."),
        ("call", "", "Show only events of this call."),
        ("root", "", "Show only events of calls of this root request."),
        (
            "since",
            "",
            "Show only events of the last, for example, 500ms, 30s, 2m or 1h.",
        ),
        ("out", "", "File to write in place of standard output."),
        ("team", "", "Show only this team."),
        ("data-centre", "", "Show only this data centre."),
        ("change-id", "", "Id of the change to repeat; by default a new one."),
        (
            "wait",
            "60s",
            "How long to wait for the command to take effect; 0s does not wait.",
        ),
        ("interval", "2s", "Time between two refreshes of `top`."),
    ):
        flags.DEFINE_string(name, default, text, flag_values=all_flags)


def parse_duration(text: str) -> Milliseconds | UsageFault:
    """Parse a duration such as ``30s``.

    Parameters
    ----------
    text : str
        A number followed by ``ms``, ``s``, ``m`` or ``h``.

    Returns
    -------
    float or UsageFault
        Milliseconds, or the fault if the text is not a duration.

    Examples
    --------
    >>> parse_duration("1.5s")
    1500.0
    """
    number = text.rstrip("hms")
    unit = text[len(number) :]
    try:
        duration = float(number) * _UNITS_MS[unit]
    except (KeyError, ValueError):
        duration = -1.0
    if not 0.0 <= duration < float("inf"):
        return UsageFault(f"{text!r}: expected a duration like 500ms, 30s, 2m or 1h")
    return duration


def read_invocation(
    all_flags: flags.FlagValues, words: list[str]
) -> Invocation | UsageFault:
    """Turn parsed flags and words into an invocation.

    Parameters
    ----------
    all_flags : FlagValues
        Parsed flags.
    words : list of str
        The arguments that are not flags, without the program's name.

    Returns
    -------
    Invocation or UsageFault
        The invocation, or the first fault found.
    """
    given: dict[str, Any] = all_flags.flag_values_dict()
    durations: dict[str, Milliseconds] = {}
    for name in ("timeout", "wait", "interval", "since"):
        duration = parse_duration(given[name] or "0s")
        if isinstance(duration, UsageFault):
            return UsageFault(f"--{name} {duration}")
        durations[name] = duration
    token = _read_token(given["token-file"])
    if isinstance(token, UsageFault):
        return token
    return Invocation(
        words=tuple(words),
        nodes=_node_addresses(given["node"]),
        token=token,
        json=given["json"],
        call=given["call"],
        root=given["root"],
        format=given["format"] or _format_of(given["json"], given["out"]),
        out=given["out"],
        team=given["team"],
        data_centre=given["data-centre"],
        version=given["version"],
        change_id=given["change-id"],
        source=given["source"],
        count=given["count"],
        yes=given["yes"],
        **durations,
    )


def _node_addresses(given: list[str]) -> tuple[str, ...]:
    texts = given or [os.environ.get(NODES_VARIABLE, "")]
    addresses = (part.strip() for text in texts for part in text.split(","))
    return tuple(dict.fromkeys(address for address in addresses if address))


def _read_token(given: str) -> str | UsageFault:
    path = given or os.environ.get(TOKEN_FILE_VARIABLE, "")
    if not path:
        return ""
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        return UsageFault(f"--token-file {path}: can't be read: {exc}")
    if not token or not token.isascii() or not token.isprintable():
        return UsageFault(
            f"--token-file {path}: expected one line of printable ASCII, the token"
        )
    return token


def _format_of(json: bool, out: str) -> str:
    if json:
        return "json"
    suffix = Path(out).suffix.lstrip(".")
    return suffix if suffix in _FORMATS else "text"
