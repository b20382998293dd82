"""Measures what each message, change and item of state costs.

Prints tables of processor time and bytes, and the slope of each operation
over its sizes, and writes both to docs/measurements/slopes.md.
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
_NOTES = """\
Command: `make slopes`. {python} on {cores} cores, everything on loopback. Other
work used the machine at the same time, so the figures are upper bounds; ratios
between rows of one run are more reliable than single figures.

Processor time of single operations is that of the calling thread, the fastest
of {rounds} rounds. State is counted by `tracemalloc` (Python objects only).
Running processes are measured over {idle:.0f} s: processor time from
`/proc/PID/task/*/schedstat`, memory from `VmRSS`. Bytes of announcements are
counted by a socket of the script that stands for one more entry (28 bytes of
IP and UDP headers included), bytes with the table by a relay of the script
(TCP payload).
"""


def describe_environment() -> str:
    """Returns the command, the environment and the method."""
    return _NOTES.format(
        python=f"{platform.python_implementation()}"
        f" {platform.python_version()}",
        cores=os.cpu_count(),
        rounds=slopes_timing.ROUNDS,
        idle=slopes_processes.IDLE_S,
    )


def main() -> int:
    """Runs every measurement and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--no-processes",
        action="store_true",
        help="leave out running processes and write no file",
    )
    chosen = parser.parse_args()
    parts = ["# Slopes", describe_environment()]
    for title, measure in SECTIONS:
        if chosen.no_processes and title == "Running processes":
            continue
        points = tuple(measure())
        tables = [slopes_timing.render_table(points)]
        slopes = slopes_timing.render_slopes(points)
        if len(slopes.splitlines()) > 2:
            tables.append(slopes)
        text = "\n\n".join([f"## {title}", *tables])
        print(f"{text}\n", flush=True)
        parts.append(text)
    if not chosen.no_processes:
        OUTPUT.write_text("\n\n".join(parts) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
