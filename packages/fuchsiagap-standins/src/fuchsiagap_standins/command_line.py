"""Command line parsing of the stand-ins."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from absl import flags

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_USAGE = 2


def new_flags() -> flags.FlagValues:
    """Return an empty set of flags.

    Each program has its own set: two stand-ins may be imported by one program, and the
    global set of absl accepts each name only once.
    """
    return flags.FlagValues()  # type: ignore[no-untyped-call]


def parse_flags(flag_values: flags.FlagValues, argv: Sequence[str], doc: str) -> None:
    """Parse a command line; exit with a usage text if it is invalid.

    With ``--help``, print the help text and exit.

    Parameters
    ----------
    flag_values : flags.FlagValues
        Flags of the program.
    argv : sequence of str
        Command line, with the name of the program first.
    doc : str
        Description of the program, shown by ``--help``.
    """
    flags.DEFINE_bool("help", False, "Show this help.", flag_values=flag_values)
    try:
        rest = flag_values(list(argv))[1:]
        if rest:
            raise flags.Error(f"unexpected argument: {rest[0]}")
    except flags.Error as exc:
        print(f"{exc}\n\n{flag_values.main_module_help()}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if flag_values["help"].value:
        print(f"{doc}\n{flag_values.get_help()}")
        sys.exit(0)
