"""Check the names in the Python files.

- Names of the users' platform occur only in its adapter, ``platform``: no file in
  ``packages`` contains one.
- Retired names are not used as identifiers in ``packages``, ``platform`` and ``tools``.
  Strings and comments are not checked for these.
"""

from __future__ import annotations

import io
import re
import sys
import tokenize
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).resolve().parent.parent
# Names that are specific to the platform. Its general terms (name, route, zone) are not
# listed, because any program may use them.
PLATFORM_NAMES = re.compile(
    r"heartbeatUrl|weightedServices|pathPrefix|maxAttempts|targetLatency|warmupLeft"
    r"|Target-Instance|Server-Signature|Caller-Service|Server-Load|Not-Executed"
    r"|Instance-Id|Deadline-Ms|appAddr|listenAddrs|currentRev|waitMs|Store-Era"
    r"|/v1/(objects|instances|readiness)|FUCHSIAGAP_NODE_FILE"
)
# Retired identifiers, each with the term in use. Only names are listed that are
# specific enough to have no other good use.
RETIRED = {
    "APlay": "QuarantineFixture",
    "AgeWanted": "StalenessQuery",
    "CallerTurn": "CallerCredit",
    "ConfigNews": "ConfigUpdate",
    "CrashWatch": "CrashTracker",
    "DoorQueue": "RankedQueue",
    "HandClock": "ManualClock",
    "KnowledgeAge": "ConfigFreshness",
    "LoadWord": "LoadReportMode",
    "LostTrees": "QueueTimeouts",
    "N_LOTS": "N_SAMPLING_KEYS",
    "OwnDoor": "LocalPeer",
    "PaidRepeats": "QueueRetryBudget",
    "RankTurns": "RankStats",
    "SendingLink": "OutboundLink",
    "TakingLinks": "InboundLinks",
    "Teller": "EventLog",
    "Unreadable": "MalformedInput",
    "knowledge_age": "staleness",
    "lot": "sampling_key",
    "n_guilty": "n_crashing",
    "teller": "event_log",
    "turn_away": "reject",
    "what_shuts_out": "find_rejecting_level",
}
_RETIRED_TEXT = re.compile(rf"\b(?:{'|'.join(RETIRED)})\b")


def find_retired(text: str) -> Iterator[tuple[int, str]]:
    """Yield the line number and the name of each retired identifier in Python code."""
    if not _RETIRED_TEXT.search(text):
        return  # tokenizing every file would take seconds
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type == tokenize.NAME and token.string in RETIRED:
            yield token.start[0], token.string


def report_retired(path: Path, text: str) -> Iterator[str]:
    """Yield an error line for each retired identifier in the file."""
    for number, name in find_retired(text):
        place = f"{path.relative_to(ROOT)}:{number}"
        yield f"{place}: {name} is retired, use {RETIRED[name]}"


def report_platform_names(path: Path, text: str) -> Iterator[str]:
    """Yield an error line for each line of the file with a platform name."""
    for number, line in enumerate(text.splitlines(), 1):
        if found := PLATFORM_NAMES.search(line):
            yield f"{path.relative_to(ROOT)}:{number}: {found[0]} is a platform name"


def find_faults() -> Iterator[str]:
    """Yield an error line for each fault of the code base."""
    for folder in ("packages", "platform", "tools"):
        for path in sorted((ROOT / folder).glob("**/*.py")):
            text = path.read_text("utf-8")
            if folder == "packages":
                yield from report_platform_names(path, text)
            yield from report_retired(path, text)
    if (ROOT / "platform" / "__init__.py").exists():
        yield "platform/__init__.py would shadow the standard library module platform"


def main() -> int:
    n_faults = 0
    for fault in find_faults():
        print(fault)
        n_faults += 1
    return 1 if n_faults else 0


if __name__ == "__main__":
    sys.exit(main())
