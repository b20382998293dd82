"""Command of the search; see the package for what a step is."""

import argparse
import dataclasses
import sys

from tests.jobs import order_search
from tests.jobs.order_search import reports, steps, walk

COUNTS = [
    field.name
    for field in dataclasses.fields(steps.Limits)
    if field.type is int
]
"""Names of the limits that are numbers of steps."""


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m tests.jobs.order_search",
        description=order_search.__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--depth", type=int, default=5, help="steps of an order"
    )
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--tasks", type=int, default=1)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument(
        "--shown", type=int, default=20, help="different orders to print"
    )
    parser.add_argument(
        "--journal", action="store_true", help="print what each step causes"
    )
    parser.add_argument(
        "--waits", action="store_true", help="also check how long tasks wait"
    )
    parser.add_argument(
        "--pause-lengths-ms",
        type=float,
        nargs="+",
        default=steps.PAUSES_MS,
        metavar="MS",
    )
    for name in COUNTS:
        flag = "--" + name.replace("_", "-")
        default = getattr(steps.Limits(), name)
        parser.add_argument(flag, type=int, default=default)
    return parser


def main() -> int:
    """Walks the orders; returns 1 if one breaks a rule."""
    arguments = build_parser().parse_args()
    limits = steps.Limits(
        **{name: getattr(arguments, name) for name in COUNTS},
        pause_lengths_ms=tuple(sorted(arguments.pause_lengths_ms)),
    )
    setting = walk.Setting(
        arguments.depth,
        limits,
        arguments.entries,
        arguments.tasks,
        arguments.waits,
    )
    print(setting, flush=True)
    found: list[walk.Found] = []
    for level in walk.walk(setting, arguments.processes):
        print(reports.describe_level(level), flush=True)
        found += level.found
    different = walk.select_different(found)
    print(f"{len(different)} different orders broke a rule")
    for order in different[: arguments.shown]:
        print(reports.describe_order(order, setting, arguments.journal))
    return int(bool(found))


if __name__ == "__main__":
    sys.exit(main())
