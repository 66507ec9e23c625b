"""Command line of the membership bench.

Examples
--------
``python -m fuchsiagap_standins.bench membership --json --sizes 10,50,200 --links``
"""

from __future__ import annotations

import argparse
import json
from dataclasses import asdict
from typing import Any

from fuchsiagap_standins.bench.membership.fleet import measure_fleet
from fuchsiagap_standins.bench.membership.links import measure_links
from fuchsiagap_standins.bench.membership.loopback import measure_loopback
from fuchsiagap_standins.bench.membership.view import measure_view

_SIZES = "10,25,50,100,200"
_VIEW_MEMBERS = 3_200


def main(argv: list[str]) -> int:
    """Run the bench.

    Parameters
    ----------
    argv : list of str
        Command-line flags.

    Returns
    -------
    int
        Exit status.
    """
    parser = argparse.ArgumentParser(prog="membership", description=__doc__)
    parser.add_argument(
        "--sizes", default=_SIZES, help="comma-separated numbers of nodes"
    )
    parser.add_argument("--data-centres", type=int, default=3)
    parser.add_argument("--members", type=int, default=_VIEW_MEMBERS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--links", action="store_true", help="measure real links too")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    sizes = [int(size) for size in args.sizes.split(",") if size]
    result: dict[str, Any] = {
        "view": asdict(measure_view(args.members, args.seed)),
        "fleets": [
            asdict(measure_fleet(size, args.data_centres, args.seed)) for size in sizes
        ],
    }
    if args.links:
        result["links"] = asdict(measure_links())
        result["loopback"] = asdict(measure_loopback(args.seed))
    if args.json:
        print(json.dumps(result))
    else:
        _print_table(result)
    return 0


def _print_table(result: dict[str, Any]) -> None:
    for name in ("view", "links", "loopback"):
        for key, value in result.get(name, {}).items():
            print(f"{name:9} {key:28} {value:>12,.2f}")
    for row in result["fleets"]:
        print(
            "fleet  " + "  ".join(f"{key} {value:,.1f}" for key, value in row.items())
        )
