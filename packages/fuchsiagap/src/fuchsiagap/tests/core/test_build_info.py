"""Digest of sources."""

from __future__ import annotations

import os
import shutil
import tempfile
from pathlib import Path

from testtools import TestCase

from fuchsiagap.core.build_info import build_info, digest_sources, find_packages


class TestDigest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        self.package = Path(folder, "package")
        self.write("__init__.py", "")
        self.write("core/rules.py", "LIMIT = 1\n")
        self.before = self.digest()

    def write(self, path: str, text: str) -> None:
        file = self.package / path
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text)

    def digest(self) -> str:
        return digest_sources({"package": self.package})

    def test_each_change_of_a_module_changes_the_digest(self) -> None:
        seen = {self.before}
        self.write("core/rules.py", "LIMIT = 2\n")
        seen.add(self.digest())
        self.write("core/more.py", "")
        seen.add(self.digest())
        (self.package / "core/more.py").rename(self.package / "core/other.py")
        seen.add(self.digest())
        (self.package / "core/rules.py").unlink()
        seen.add(self.digest())
        self.assertEqual(5, len(seen))

    def test_times_tests_byte_code_and_place_do_not_count(self) -> None:
        os.utime(self.package / "core/rules.py", (0, 0))
        self.write("tests/test_rules.py", "")
        self.write("core/__pycache__/rules.cpython-311.pyc", "")
        self.write("_build.py", "DIGEST = 'x'\n")
        self.package = self.package.rename(self.package.with_name("elsewhere"))
        self.assertEqual(self.before, self.digest())

    def test_running_code_is_that_of_the_checkout(self) -> None:
        self.assertEqual(digest_sources(find_packages()), build_info().digest)
