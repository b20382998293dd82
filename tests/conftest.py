"""Hypothesis profiles, and expected failures of the tests in KNOWN-RED.txt.

The `ci` profile is deterministic: it yields the same result in every run.
"""

import os
import pathlib

import hypothesis
import pytest

# The explain phase is left out: it traces every line, which makes long runs of
# the reducer many times slower.
PHASES = (
    hypothesis.Phase.explicit,
    hypothesis.Phase.generate,
    hypothesis.Phase.shrink,
)

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    print_blob=True,
    max_examples=80,
    database=None,
    phases=PHASES,
    stateful_step_count=40,
    report_multiple_bugs=False,
    suppress_health_check=tuple(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "long",
    deadline=None,
    print_blob=True,
    max_examples=int(os.environ.get("FUZZ_EXAMPLES", "3000")),
    database=None,
    phases=PHASES,
    stateful_step_count=60,
    report_multiple_bugs=False,
    suppress_health_check=tuple(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Returns the observed failure of each test that is known to fail."""
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return dict(line.split(" | ", 1) for line in entries)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests that KNOWN-RED.txt lists as expected failures."""
    known_failures = read_known_red()
    for item in items:
        if item.nodeid in known_failures:
            print(f"known red: {item.nodeid}: {known_failures[item.nodeid]}")
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints why a test in KNOWN-RED.txt failed.

    pytest reports an expected failure without its message, so that the cause
    of a failure that is seldom seen would be lost.
    """
    for report in terminalreporter.getreports("xfailed"):
        crash = getattr(report.longrepr, "reprcrash", None)
        message = crash.message if crash else report.longreprtext
        terminalreporter.write_line(f"known red: {report.nodeid}: {message}")
