"""Run a bench by name: ``python -m fuchsiagap_standins.bench NAME [FLAGS]``."""

from __future__ import annotations

import importlib
import importlib.util
import sys

BENCHES = (
    "control",
    "faults",
    "membership",
    "operators",
    "overload",
    "path",
    "routing",
    "settings",
    "telemetry",
    "tickets",
)
_USAGE_STATUS = 2


def main(argv: list[str]) -> int:
    """Run the bench named by the first argument.

    Parameters
    ----------
    argv : list of str
        Name of the bench, followed by its flags.

    Returns
    -------
    int
        Exit status of the bench; 2 if the name is unknown.
    """
    name = argv[0] if argv else ""
    module_name = f"{__package__}.{name}"
    if name not in BENCHES or importlib.util.find_spec(module_name) is None:
        print(
            f"bench {name!r}: expected one of {', '.join(BENCHES)}; usage:"
            " python -m fuchsiagap_standins.bench NAME [FLAGS]",
            file=sys.stderr,
        )
        return _USAGE_STATUS
    bench = importlib.import_module(module_name)
    status = bench.main(argv[1:])
    return int(status or 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
