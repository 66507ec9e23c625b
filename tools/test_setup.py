"""Tests of the script that makes the virtual environment, with a fake interpreter."""

import os
import shutil
import subprocess
import tempfile
from pathlib import Path

from testtools import TestCase

SCRIPT = Path(__file__).resolve().parent / "setup.sh"
OLD_TIME_S = 1_500_000_000


class TestSetup(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp(prefix="fuchsiagap-setup-"))
        self.addCleanup(shutil.rmtree, self.folder)
        for name in (
            "constraints.txt",
            "requirements-dev.txt",
            "packages/one/pyproject.toml",
            "platform/pyproject.toml",
        ):
            self.write(name, "first\n")
        self.write(".venv/bin/python", '#!/bin/sh\necho "$@" >> installs\n')
        (self.folder / ".venv/bin/python").chmod(0o755)

    def write(self, name, text):
        """Write a file with an old modification time."""
        file = self.folder / name
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text)
        os.utime(file, (OLD_TIME_S, OLD_TIME_S))

    def n_installs(self):
        """Run the script; return how often it has installed the workspace."""
        command = ["bash", str(SCRIPT), ".venv", ".venv/.installed"]
        subprocess.run(command, cwd=self.folder, check=True)
        return len((self.folder / "installs").read_text().splitlines())

    def test_requirements_older_than_the_last_setup_are_installed(self):
        self.assertEqual([1, 1], [self.n_installs(), self.n_installs()])
        for n_changes, name in enumerate(
            ("constraints.txt", "packages/one/pyproject.toml"), start=1
        ):
            self.write(name, "second\n")
            self.assertEqual(1 + n_changes, self.n_installs(), name)
            self.assertEqual(1 + n_changes, self.n_installs(), name)
