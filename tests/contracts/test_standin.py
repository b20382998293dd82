"""What every stand-in shows of itself."""

import json
import os
import pathlib
import subprocess
import sys

import pytest
import urllib3

from tests.contracts import conftest

NOTHING = {"cpu_millis": 0, "memory_mb": 0, "accelerators": 0}
SETTINGS: dict[str, dict[str, object]] = {
    "platform": {},
    "worker": {"capacity": NOTHING},
    "upstream": {"kinds": ["tile"], "slots": 1, "connections": 4},
}


@pytest.mark.parametrize("role", SETTINGS)
def test_health_and_metrics(start_standin: conftest.Starter, role: str) -> None:
    """Guards against a stand-in whose state a demo cannot see."""
    url = f"http://{start_standin(role, SETTINGS[role])}"
    http = urllib3.PoolManager(retries=False, timeout=20)
    assert http.request("GET", f"{url}/health").json() == {"status": "ok"}
    http.request("GET", f"{url}/v1/seen")
    text = http.request("GET", f"{url}/metrics").data.decode()
    assert f'gypsumhold_standin_requests{{role="{role}",status="' in text


def test_unknown_setting_names_the_nearest(tmp_path: pathlib.Path) -> None:
    """Guards against a misspelt setting that is ignored."""
    file = tmp_path / "worker.json"
    listen = {"host": "127.0.0.1", "port": 0}
    file.write_text(json.dumps({"listen": listen, "capacitty": NOTHING}))
    ended = subprocess.run(
        [sys.executable, "-m", "gypsumhold_standin.program", "worker"]
        + ["--config", str(file)],
        env={**os.environ, "PYTHONPATH": str(conftest.SOURCE)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == 2
    assert "'capacitty' is unknown" in ended.stderr
    assert "use 'capacity'" in ended.stderr
