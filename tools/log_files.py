"""Reads log files, for the tools that evaluate decision logs."""

import sys
from collections.abc import Iterator


def read_lines(paths: list[str]) -> Iterator[str]:
    """Yields the lines of the files, or of standard input."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        with open(path, encoding="utf-8") as file:
            yield from file
