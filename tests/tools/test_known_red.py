"""Tests of the way in which the tests in KNOWN-RED.txt are reported."""

import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
SAMPLE = """
def test_red():
    assert 1 == 2, "first line\\\\nreason table-unavailable"
"""


def test_failure_of_a_known_red_test_is_printed(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the loss of the reason of a failure that is rare."""
    (tmp_path / "tests").mkdir()
    shutil.copy(ROOT / "tests" / "conftest.py", tmp_path / "tests")
    (tmp_path / "tests" / "test_sample.py").write_text(SAMPLE)
    (tmp_path / "KNOWN-RED.txt").write_text(
        "tests/test_sample.py::test_red | pytest | once | 9\n"
    )
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "1 xfailed" in completed.stdout
    assert "reason table-unavailable" in completed.stdout
