"""Tests of the limits that the platform sets for workers."""

import datetime
import json
import pathlib

import pytest

from gypsumhold.model.jobs import worker_limits
from gypsumhold.platform import settings

DOCUMENT = {
    "nodeName": "a",
    "ipAddress": "127.0.0.1",
    "zone": "z",
    "region": "r",
    "listen": {},
    "internalPortRange": [7000, 7010],
    "platform": {"address": "127.0.0.1:7999"},
}


@pytest.mark.parametrize(
    ("bounds", "hold_ms"),
    [({"bounds": {"maxHoldMs": 6000}}, 6000), ({}, 10_000)],
)
def test_longest_lease_is_that_of_the_deployment(
    bounds: dict[str, dict[str, int]],
    hold_ms: int,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs that outlast a limit which the code assumes."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**DOCUMENT, **bounds}))
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    limits = settings.read_settings().unwrap().limits
    assert limits.max_hold == datetime.timedelta(milliseconds=hold_ms)


def test_lease_on_a_slow_clock_takes_longer() -> None:
    """Guards against a run that counts as ended on a clock that is slow."""
    limits = worker_limits.WorkerLimits(
        datetime.timedelta(seconds=9.8), 0.02, datetime.timedelta(seconds=12)
    )
    assert limits.measure_longest_lease() == datetime.timedelta(seconds=10)
    assert limits.measure_longest_late_run() == datetime.timedelta(seconds=22)
