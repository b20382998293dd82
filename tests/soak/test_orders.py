"""Guards against a count of orders that overlooks those that came up."""

import json
import pathlib

import pytest

from tests.soak import event_logs, orders

TASK = "1b.0.0.3"


def write_line(
    source: str, second: float, decision: str, **inputs: object
) -> str:
    time = f"2026-12-07T12:00:{second:06.3f}+00:00"
    line = {"time": time, "source": source, "decision": decision, **inputs}
    return json.dumps(line) + "\n"


def write_logs(
    folder: pathlib.Path, *lines: str, name: str = "workers.log"
) -> None:
    (folder / name).write_text("".join(lines))


def place(second: float, agent: str, run: str) -> str:
    fields = {"outcome": agent, "task": TASK, "run": run}
    return write_line("entry-0", second, "place", **fields)


@pytest.mark.parametrize(
    ("reason", "absent_runs"), [("silent", 0), ("worker not listed", 1)]
)
def test_run_that_goes_on_after_its_release(
    reason: str, absent_runs: int, tmp_path: pathlib.Path
) -> None:
    run = {"task": TASK, "run": "1"}
    lapsed = {"id": "agent-3", "reason": reason, "runs": "1", "tasks": TASK}
    holder = (
        place(1, "agent-3", "1"),
        write_line("entry-0", 5, "runs-lapsed", **lapsed),
        place(6, "agent-4", "2"),
    )
    write_logs(tmp_path, *holder, name="entry-0.log")
    write_logs(
        tmp_path,
        write_line("w-3", 2, "start", **run),
        write_line("w-3", 9, "lapse", runs=1),
        write_line("w-3", 9, "end", **run, end="lapsed"),
    )
    counted = orders.count_orders(tmp_path)
    (outlived,) = counted.outlived
    assert (outlived.reason, outlived.measure_ms()) == (reason, 4000)
    assert counted.absent_runs == absent_runs
    assert not outlived.began_later()
    assert (counted.lapsed_leases, counted.lapsed_runs) == (1, 1)


def test_late_start_of_a_run_placed_elsewhere(tmp_path: pathlib.Path) -> None:
    run = {"task": TASK, "run": "1"}
    holder = place(1, "agent-3", "1"), place(3, "agent-4", "2")
    write_logs(tmp_path, *holder, name="entry-0.log")
    late = {"path": "/run-start", "status": 200, **run}
    write_logs(
        tmp_path,
        write_line("w-3", 4, "start", **run),
        write_line("w-3", 4.001, "late call", **late),
        write_line("play", 8, event_logs.END_OF_PLAY),
        write_line("w-3", 9, "end", **run, end="done"),
    )
    counted = orders.count_orders(tmp_path)
    (outlived,) = counted.outlived
    assert (outlived.began_later(), outlived.measure_ms()) == (True, 4000)
    assert (counted.late_starts, counted.begun) == (1, 1)


def test_play_without_orders_says_so(tmp_path: pathlib.Path) -> None:
    write_logs(tmp_path, write_line("play", 8, event_logs.END_OF_PLAY))
    (text,) = orders.count_orders(tmp_path).describe()
    assert "shows nothing" in text
