"""Uptime of a process, which begins before its program."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

from fuchsiagap_node.core.process_start import process_uptime

NOW = 200_000.0
# Enters the program 0.5 s after the start of the process.
_LATE_ENTRY = """
import time
from fuchsiagap_node.core.process_start import process_uptime, since_boot
time.sleep(0.5)
entered_at = since_boot()
print(process_uptime(entered_at) - (since_boot() - entered_at) > 400.0)
"""


def uptime(started_at):
    """Return the uptime of a process that entered its program 100 ms ago.

    Parameters
    ----------
    started_at : float
        Start time in milliseconds that the kernel states.
    """
    ticks = int(started_at * os.sysconf("SC_CLK_TCK") / 1_000.0)
    with tempfile.TemporaryDirectory() as directory:
        stat = Path(directory, "stat")
        stat.write_text(f"7 (python3 -m) x) R{' 0' * 18} {ticks} 0 0\n")
        return process_uptime(NOW - 100.0, lambda: NOW, stat)


class TestProcessUptime(TestCase):
    def test_time_before_the_entry_into_the_program_counts(self):
        command = [sys.executable, "-c", _LATE_ENTRY]
        result = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertEqual("True\n", result.stdout)

    def test_start_time_is_read_behind_a_name_with_parentheses(self):
        self.assertEqual(3_000.0, uptime(NOW - 3_000.0))

    def test_uptime_begins_with_the_entry_where_the_start_time_is_of_another_clock(
        self,
    ):
        for started_at in (0.0, NOW + 9_000.0, NOW - 90_000.0):
            self.assertEqual(100.0, uptime(started_at))
        missing = Path("/nonexistent")
        self.assertEqual(100.0, process_uptime(NOW - 100.0, lambda: NOW, missing))
