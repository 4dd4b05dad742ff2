"""The script that puts together what runs on the users' platform."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
PACKAGES = (
    "packages/kernel/wasabiknot_kernel",
    "packages/entry/wasabiknot_entry",
    "platform/wasabiknot_platform",
)
# Installs one library without a registry.
PYTHON = """#!/bin/sh
case "$*" in
*pip*) mkdir -p "$7" && echo >> "$7/library.py" && echo >> installs ;;
*) exec {executable} "$@" ;;
esac
"""


class BuildTests(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = pathlib.Path(directory.name)
        for name in (*PACKAGES, "deploy", "bin"):
            (self.root / name).mkdir(parents=True)
        for name in PACKAGES:
            (self.root / name / "a.py").write_text("x = 1\n")
        shutil.copy(ROOT / "deploy/build.sh", self.root / "deploy")
        (self.root / "deploy/requirements.txt").write_text("library==1\n")
        python = self.root / "bin/python3"
        python.write_text(PYTHON.format(executable=sys.executable))
        python.chmod(0o755)
        self.deps = self.root / "target/deps"

    def start(self):
        path = f"{self.root}/bin:{os.environ['PATH']}"
        return subprocess.Popen(
            ["sh", "deploy/build.sh"], cwd=self.root, env={**os.environ, "PATH": path}
        )

    def build(self):
        self.assertEqual(self.start().wait(), 0)
        self.check_is_whole()

    def check_is_whole(self):
        for name in PACKAGES:
            copied = self.deps / pathlib.Path(name).name / "a.py"
            self.assertEqual(
                copied.read_text(), (self.root / name / "a.py").read_text()
            )
        self.assertTrue((self.deps / "library.py").exists())
        self.assertEqual(os.listdir(self.root / "target"), ["deps"])

    def count_installs(self):
        return len((self.root / "installs").read_text().splitlines())

    def test_folder_in_use_is_left_alone_while_nothing_has_changed(self):
        # Guards against processes that start while their modules are copied anew.
        self.build()
        inode = self.deps.stat().st_ino
        package = self.deps / "wasabiknot_entry"
        changed_ns = package.stat().st_mtime_ns
        self.build()
        self.assertEqual(self.deps.stat().st_ino, inode)
        self.assertEqual(package.stat().st_mtime_ns, changed_ns)

    def test_changed_source_is_built(self):
        self.build()
        (self.root / PACKAGES[1] / "a.py").write_text("x = 2\n")
        (self.root / PACKAGES[1] / "b.py").write_text("y = 1\n")
        self.build()
        self.assertTrue((self.deps / "wasabiknot_entry/b.py").exists())
        self.assertEqual(self.count_installs(), 1)

    def test_libraries_are_installed_again_for_other_ones_or_another_machine(self):
        self.build()
        (self.root / "deploy/requirements.txt").write_text("library==2\n")
        self.build()
        (self.deps / "libraries.stamp").write_text("library==2\nother\nPython 3.11\n")
        self.build()
        self.assertEqual(self.count_installs(), 3)

    def test_builds_at_the_same_time_leave_a_whole_folder(self):
        for _ in range(3):
            for process in [self.start() for _ in range(4)]:
                self.assertEqual(process.wait(), 0)
            self.check_is_whole()
            (self.root / PACKAGES[0] / "a.py").write_text("x = 3\n")
