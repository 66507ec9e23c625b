"""What one command line asks for."""

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
    """One command line.

    Parameters
    ----------
    words : tuple of str
        What is no flag: the command, its subcommand and their arguments.
    nodes : tuple of str
        Admin addresses, ``IP:PORT``; any one of them will do.
    token : str
        Bearer token; empty if none was given.
    json : bool
        Whether programs read the output.
    timeout : float
        Milliseconds for one answer of one node.
    call, root : str
        Of the time line.
    since : float
        Milliseconds before now; 0 if not given.
    format, out : str
        Of the time line: the format, and a file in place of standard output.
    team, data_centre : str
        Show only these.
    version : int
        The settings version that a change was made from; 0 for none, -1 if not given.
    change_id : str
        Of a change that is repeated; empty for a new one.
    source : str
        Where settings are read: ``"node"`` or ``"platform"``.
    wait : float
        Milliseconds that a command waits for its end; 0 for not at all.
    interval : float
        Milliseconds between two pictures of ``top``.
    count : int
        How many of them; 0 for no end.
    yes : bool
        Whether to do what can't be undone.
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
    """A command line that is not understood.

    Parameters
    ----------
    detail : str
        What was given, what was expected and what to do.
    """

    detail: str

    def __str__(self) -> str:
        return self.detail


def define_flags() -> flags.FlagValues:
    """Return the flags of every command, not parsed yet.

    Returns
    -------
    FlagValues
        Flags may stand before, between and after the words.
    """
    all_flags: flags.FlagValues = flags.FlagValues()  # type: ignore[no-untyped-call]
    all_flags.set_gnu_getopt()
    _define_text(all_flags)
    text = "Write what programs read."
    flags.DEFINE_bool("json", False, text, flag_values=all_flags)
    text = "Do what can't be undone without asking."
    flags.DEFINE_bool("yes", False, text, flag_values=all_flags)
    text = "Show what the command does, and its flags."
    flags.DEFINE_bool("help", False, text, short_name="h", flag_values=all_flags)
    text = "Version the change was made from; by default as the text's first line says."
    flags.DEFINE_integer("version", -1, text, flag_values=all_flags)
    text = "How many pictures of `top`; 0 for no end."
    flags.DEFINE_integer("count", 0, text, lower_bound=0, flag_values=all_flags)
    text = "Read settings as in force at the node, or as the platform holds them."
    sources = ["node", "platform"]
    flags.DEFINE_enum("source", "node", sources, text, flag_values=all_flags)
    text = "Format of the time line; by default that of the name after --out."
    flags.DEFINE_enum("format", None, _FORMATS, text, flag_values=all_flags)
    return all_flags


def _define_text(all_flags: flags.FlagValues) -> None:
    text = (
        "Admin address IP:PORT of a node; may be given more than once, or as"
        f" {NODES_VARIABLE} with commas. Any one that answers will do."
    )
    flags.DEFINE_multi_string("node", [], text, flag_values=all_flags)
    for name, default, text in (
        ("token-file", "", f"File with the bearer token, or {TOKEN_FILE_VARIABLE}."),
        ("timeout", "5s", "How long one node may take for one answer."),
        ("call", "", "Events of this call."),
        ("root", "", "Events of all calls of this root request."),
        ("since", "", "Events of the last, for example, 500ms, 30s, 2m or 1h."),
        ("out", "", "File to write in place of standard output."),
        ("team", "", "Show only this team."),
        ("data-centre", "", "Show only this data centre."),
        ("change-id", "", "Id of a change to repeat; by default a new one."),
        ("wait", "60s", "How long to wait until it is done; 0s for not at all."),
        ("interval", "2s", "Time between two pictures of `top`."),
    ):
        flags.DEFINE_string(name, default, text, flag_values=all_flags)


def parse_duration(text: str) -> Milliseconds | UsageFault:
    """Read a duration such as ``30s``.

    Parameters
    ----------
    text : str
        A number and ``ms``, ``s``, ``m`` or ``h``.

    Returns
    -------
    float or UsageFault
        Milliseconds.

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
        What is no flag, without the program's name.

    Returns
    -------
    Invocation or UsageFault
        The invocation, or the first fault.
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
