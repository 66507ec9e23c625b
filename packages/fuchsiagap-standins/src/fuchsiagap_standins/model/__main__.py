"""Checks the specifications: ``python -m fuchsiagap_standins.model --bound small``.

Exits with status 1 if a check fails or is not exhaustive, or a planted bug is not
found.
"""

from __future__ import annotations

import json
import sys
from dataclasses import asdict

from absl import app, flags

from fuchsiagap_standins.model.table import (
    BREAKS,
    Bound,
    check_all,
    check_planted_bug,
)

_BOUND = flags.DEFINE_enum_class(
    "bound", Bound.SMALL, Bound, "size of the checked models"
)
_BREAK = flags.DEFINE_enum(
    "break", None, list(BREAKS), "plant one bug and print its counterexample"
)
_JSON = flags.DEFINE_bool("json", False, "print the result as JSON")


def _report_designs(bound: Bound) -> bool:
    results = check_all(bound)
    if _JSON.value:
        print(json.dumps([asdict(result) for result in results]))
        return all(result.holds for result in results)
    for result in results:
        verdict = "holds" if result.holds else "FAILS"
        print(
            f"{result.spec:10s} {verdict} {result.states:8d} states"
            f" {result.seconds:6.2f} s",
            flush=True,
        )
        for counterexample in result.counterexamples:
            print(counterexample)
    return all(result.holds for result in results)


def _report_planted_bug(name: str) -> bool:
    result = check_planted_bug(name)
    print(f"{name}: {result.spec}, {result.states} states")
    for counterexample in result.counterexamples:
        print(counterexample)
    return bool(result.counterexamples)


def _report_all_planted_bugs() -> bool:
    all_found = True
    for name in BREAKS:
        result = check_planted_bug(name)
        found = ", ".join(
            f"{c.invariant} in {len(c.steps) - 1} steps" for c in result.counterexamples
        )
        print(f"  planted {name:22s} {found or 'NOT FOUND'}", flush=True)
        all_found &= bool(found)
    return all_found


def main(argv: list[str]) -> int:
    """Run the checks that the flags select."""
    if len(argv) > 1:
        print(f"unexpected argument {argv[1]!r}; see --help", file=sys.stderr)
        return 2
    if _BREAK.value:
        return 0 if _report_planted_bug(_BREAK.value) else 1
    holds = _report_designs(_BOUND.value)
    if not _JSON.value:
        holds &= _report_all_planted_bugs()
    return 0 if holds else 1


if __name__ == "__main__":
    app.run(main)
