"""Measures the CPU time and bytes of messages, changes and items of state.

Prints, for each operation, its CPU time and bytes at several sizes and the
slope over these sizes, and writes the tables to docs/measurements/slopes.md.
"""

import argparse
import os
import pathlib
import platform
import sys
from collections.abc import Callable, Iterable

import slopes_config
import slopes_processes
import slopes_requests
import slopes_tasks
import slopes_timing

OUTPUT = (
    pathlib.Path(__file__).resolve().parent.parent
    / "docs"
    / "measurements"
    / "slopes.md"
)
SECTIONS: tuple[
    tuple[str, Callable[[], Iterable[slopes_timing.Point]]], ...
] = (
    ("Announcements", slopes_requests.measure_announcements),
    ("Requests", slopes_requests.measure_requests),
    ("Batches", slopes_tasks.measure_batches),
    ("Task starts", slopes_tasks.measure_starts),
    ("Lease renewals", slopes_tasks.measure_renewals),
    ("Configuration changes", slopes_config.measure_changes),
    ("State", slopes_config.measure_state),
    ("Running processes", slopes_processes.measure_processes),
)
_METHOD = """\
Command: `make slopes`. {python} on {cores} cores, everything on loopback. Other
work ran on the machine at the same time, so the figures are upper bounds;
ratios between rows of one run are more reliable than single figures.

Processor time of single operations is that of the calling thread, the fastest
of {rounds} rounds. State is counted by `tracemalloc` (Python objects only).
Running processes are measured over {idle:.0f} s: processor time from
`/proc/PID/task/*/schedstat`, memory from `VmRSS`. Bytes of announcements are
counted by a socket of the script that takes the place of one more entry (28
bytes of IP and UDP headers included), bytes with the table by a relay of the
script (TCP payload).
"""


def describe_environment() -> str:
    """Returns the command, environment and method as text for the page."""
    return _METHOD.format(
        python=f"{platform.python_implementation()}"
        f" {platform.python_version()}",
        cores=os.cpu_count(),
        rounds=slopes_timing.ROUNDS,
        idle=slopes_processes.IDLE_S,
    )


def main() -> int:
    """Runs all measurements and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--no-processes",
        action="store_true",
        help="skip the measurements of running processes and write no file",
    )
    arguments = parser.parse_args()
    page = ["# Slopes", describe_environment()]
    for title, measure in SECTIONS:
        if arguments.no_processes and title == "Running processes":
            continue
        points = tuple(measure())
        tables = [slopes_timing.render_table(points)]
        slopes = slopes_timing.render_slopes(points)
        if len(slopes.splitlines()) > 2:
            tables.append(slopes)
        section = "\n\n".join([f"## {title}", *tables])
        print(f"{section}\n", flush=True)
        page.append(section)
    if not arguments.no_processes:
        OUTPUT.write_text("\n\n".join(page) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
