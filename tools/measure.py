"""Runs real processes on loopback and compares the policies with baselines.

Writes tables and plots to docs/measurements/. The parts run one after another;
give the names of parts to run only these.
"""

import argparse
import os
import platform
import sys
import time
from collections.abc import Callable

import measure_floods
import measure_interference
import measure_overhead
import measure_report
import measure_routing
import measure_setup
import measure_starts

PARTS: dict[str, Callable[[], measure_report.Report]] = {
    "overhead": measure_overhead.measure,
    "floods": measure_floods.measure,
    "routing": measure_routing.measure,
    "starts": measure_starts.measure,
    "interference": measure_interference.measure,
}


def describe_environment(part: str) -> str:
    """Returns the command, the environment and a caveat as text for a page."""
    return (
        f"Command: `make measure` (part `{part}`), seed {measure_setup.SEED}."
        f" {platform.python_implementation()} {platform.python_version()} on"
        f" {os.cpu_count()} cores, real processes on loopback. Other work ran"
        " on the machine at the same time, so rely on the ratios, which compare"
        " figures of one run, rather than on single figures."
    )


def main() -> int:
    """Runs the parts given on the command line, or all of them.

    Returns:
        The exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", metavar="PART")
    names = parser.parse_args().parts or list(PARTS)
    unknown = set(names) - set(PARTS)
    if unknown:
        parser.error(f"unknown parts {sorted(unknown)}; use {list(PARTS)}")
    for name in names:
        started = time.monotonic()
        report = PARTS[name]()
        environment = describe_environment(name)
        measure_report.write_page(report, environment)
        print(measure_report.render_page(report, environment))
        print(f"{name} took {time.monotonic() - started:.0f} s\n", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
