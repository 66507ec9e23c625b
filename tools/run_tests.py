"""Run every test of the workspace and close with a line ``N passed, N failed``."""

from __future__ import annotations

import logging
import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SLOW_S = 2.0


class _Result(unittest.TextTestResult):
    """Count what passed, and name slow tests."""

    passed = 0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().startTest(test)
        self._started_s = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        taken_s = time.monotonic() - self._started_s
        if taken_s > SLOW_S:
            self.stream.writeln(f"slow: {taken_s:.1f} s {test.id()}")
        super().stopTest(test)

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().addSuccess(test)
        self.passed += 1


def main(patterns: list[str]) -> int:
    # What the tests provoke is not for the screen; a test reads logs by itself.
    logging.getLogger().addHandler(logging.NullHandler())
    loader = unittest.TestLoader()
    loader.testNamePatterns = [f"*{p}*" for p in patterns] or None
    suite = unittest.TestSuite()
    folders = [*ROOT.glob("packages/*/src/*/tests"), *ROOT.glob("platform/src/*/tests")]
    for folder in sorted(folders):
        root = folder.parent.parent
        suite.addTests(loader.discover(str(folder), top_level_dir=str(root)))
    runner = unittest.TextTestRunner(resultclass=_Result, verbosity=1)
    result = runner.run(suite)
    failed = len(result.failures) + len(result.errors)
    print(f"{result.passed} passed, {failed} failed", flush=True)
    return 1 if failed or not result.passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
