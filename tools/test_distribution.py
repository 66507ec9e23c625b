"""Tests of the distribution of the tests over processes (``conftest.py``)."""

import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

ROOT = Path(__file__).resolve().parent.parent
_MODULE = "import time\n\n\n" + "".join(
    f"def test_{number}():\n    time.sleep(0.2)\n\n\n" for number in range(3)
)


def run_in_processes(module):
    """Run a module of three tests; return the names of the processes that ran them."""
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, f"{module}.py").write_text(_MODULE)
        command = [sys.executable, "-m", "pytest", "-v", "-p", "conftest", folder]
        result = subprocess.run(
            [*command, "-n", "3"],
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            cwd=folder,
        )
    assert result.returncode == 0, result.stdout + result.stderr
    return set(re.findall(r"^\[(gw\d)\] .*PASSED", result.stdout, re.M))


class TestDistribution(TestCase):
    def test_modules_of_a_group_run_in_one_process(self):
        self.assertEqual(1, len(run_in_processes("test_signals")))

    def test_other_tests_run_in_parallel(self):
        self.assertEqual(3, len(run_in_processes("test_other")))
