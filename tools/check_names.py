"""Check that names of the users' platform occur only in its adapter, ``platform``.

The check reads the Python files in ``packages``.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Names that are specific to the platform. Its general terms (name, route, zone) are not
# listed, because any program may use them.
PLATFORM_NAMES = re.compile(
    r"heartbeatUrl|weightedServices|pathPrefix|maxAttempts|targetLatency|warmupLeft"
    r"|Target-Instance|Server-Signature|Caller-Service|Server-Load|Not-Executed"
    r"|Instance-Id|Deadline-Ms|appAddr|listenAddrs|currentRev|waitMs|Store-Era"
    r"|/v1/(objects|instances|readiness)|FUCHSIAGAP_NODE_FILE"
)


def main() -> int:
    n_faults = 0
    for path in sorted(ROOT.glob("packages/**/*.py")):
        for number, line in enumerate(path.read_text("utf-8").splitlines(), 1):
            if found := PLATFORM_NAMES.search(line):
                print(
                    f"{path.relative_to(ROOT)}:{number}: {found[0]} is a platform name"
                )
                n_faults += 1
    if (ROOT / "platform" / "__init__.py").exists():
        print("platform/__init__.py would shadow the standard library module platform")
        n_faults += 1
    return 1 if n_faults else 0


if __name__ == "__main__":
    sys.exit(main())
