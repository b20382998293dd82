"""Tests of the routes and settings that all stand-ins share."""

import json
import os
import pathlib
import subprocess
import sys

import pytest
import urllib3

from tests.contracts import conftest

ZERO_RESOURCES = {"cpu_millis": 0, "memory_mb": 0, "accelerators": 0}
SETTINGS: dict[str, dict[str, object]] = {
    "platform": {},
    "worker": {"capacity": ZERO_RESOURCES},
    "upstream": {"kinds": ["tile"], "slots": 1, "connections": 4},
}


@pytest.mark.parametrize("role", SETTINGS)
def test_health_and_metrics(start_standin: conftest.Starter, role: str) -> None:
    """Guards against a stand-in without a health check and metrics."""
    url = f"http://{start_standin(role, SETTINGS[role])}"
    http = urllib3.PoolManager(retries=False, timeout=20)
    assert http.request("GET", f"{url}/health").json() == {"status": "ok"}
    http.request("GET", f"{url}/v1/seen")
    metrics = http.request("GET", f"{url}/metrics").data.decode()
    assert f'gypsumhold_standin_requests{{role="{role}",status="' in metrics


def test_unknown_setting_suggests_nearest_name(tmp_path: pathlib.Path) -> None:
    """Guards against a misspelt setting that is ignored without a message."""
    config = tmp_path / "worker.json"
    listen = {"host": "127.0.0.1", "port": 0}
    config.write_text(
        json.dumps({"listen": listen, "capacitty": ZERO_RESOURCES})
    )
    completed = subprocess.run(
        [sys.executable, "-m", "gypsumhold_standin.program", "worker"]
        + ["--config", str(config)],
        env={**os.environ, "PYTHONPATH": str(conftest.SOURCE)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert "'capacitty' is unknown" in completed.stderr
    assert "use 'capacity'" in completed.stderr
