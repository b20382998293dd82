"""Tests the errors for invalid settings files and the resulting options."""

import json
import pathlib

import pytest
from returns.result import Failure
from syrupy.assertion import SnapshotAssertion

from gypsumhold.adapters import clock, settings
from gypsumhold.model import ids, states

ENTRY = {
    "name": "entry-1",
    "data_centre": "dc-1",
    "region": "south",
    "callers": {"host": "127.0.0.1", "port": 8080},
    "operators": {"host": "127.0.0.1", "port": 8081},
    "peers": {"host": "127.0.0.1", "port": 8082},
    "announcements": {"host": "127.0.0.1", "port": 8083},
    "table": {"url": "http://127.0.0.1:9000"},
    "objects": {"url": "http://127.0.0.1:9000"},
    "deployment_key": "0123456789abcdef",
    "operator_token": "0123456789abcdef",
}
AGENT = {
    "instance": "i-1",
    "data_centre": "dc-1",
    "region": "south",
    "rack": "r-1",
    "peers": {"host": "127.0.0.1", "port": 8082},
    "local": {"host": "127.0.0.1", "port": 8084},
    "worker": {"url": "http://127.0.0.1:9001"},
    "entries": [{"host": "127.0.0.1", "port": 8083, "region": "south"}],
    "deployment_key": "0123456789abcdef",
}

FAULTS = {
    "unknown key": {"caller_thread": 5},
    "unknown key below": {"callers": {"hots": "127.0.0.1", "port": 1}},
    "unknown tuning": {"tuning": {"partition_leas_ms": 5}},
    "unknown alias": {"log": {"jsn": True}},
    "host name": {"callers": {"host": "localhost", "port": 1}},
    "port range": {"callers": {"host": "127.0.0.1", "port": 70000}},
    "unreachable": {"peers": {"host": "0.0.0.0", "port": 1}},
    "url path": {"table": {"url": "http://127.0.0.1:9000/v1"}},
    "url port": {"table": {"url": "http://127.0.0.1:99999"}},
    "short key": {"deployment_key": "short"},
    "secret shape": {"deployment_key": {"path": "x"}},
    "secret file": {"deployment_key": {"file": "/nonexistent/key"}},
    "zero": {"tuning": {"max_deadline_ms": 0}},
    "too few threads": {"caller_threads": 80},
    "wrong type": {"max_body_bytes": "many"},
}


def parse_invalid(text: str) -> str:
    result = settings.parse_settings(text, settings.EntrySettings)
    assert isinstance(result, Failure)
    return str(result.failure())


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_is_named_with_its_remedy(
    fault: str, snapshot: SnapshotAssertion
) -> None:
    """Guards against errors that do not name the setting to correct."""
    assert parse_invalid(json.dumps(ENTRY | FAULTS[fault])) == snapshot


@pytest.mark.parametrize(
    "text", ['{"name": ', "[]", '{"name": "a", "name": "b"}', "{}"]
)
def test_malformed_file_is_rejected(
    text: str, snapshot: SnapshotAssertion
) -> None:
    """Guards against a stack trace or a partial result for a malformed file."""
    assert parse_invalid(text) == snapshot


def test_missing_file_is_rejected() -> None:
    """Guards against a stack trace for a wrong path."""
    result = settings.read_settings("/nonexistent", settings.EntrySettings)
    assert "--config" in str(result.failure())


def test_unknown_key_in_a_list_names_the_nearest() -> None:
    """Guards against a failing search for known keys inside a list."""
    entries = [{"host": "127.0.0.1", "port": 1, "regoin": "south"}]
    text = json.dumps(AGENT | {"entries": entries})
    result = settings.parse_settings(text, settings.AgentSettings)
    assert "use 'region'" in str(result.failure())


def test_settings_become_options(tmp_path: pathlib.Path) -> None:
    """Guards against a tuning option that is accepted but has no effect."""
    secret = tmp_path / "key"
    secret.write_text("fedcba9876543210\n")
    tuning = {"partition_lease_ms": 1500, "waiting_limits": {"urgent": 3}}
    changes = {"tuning": tuning, "deployment_key": {"file": str(secret)}}
    text = "// comment\n" + json.dumps(ENTRY | changes)
    parsed = settings.parse_settings(text, settings.EntrySettings).unwrap()
    options = settings.build_entry_options(parsed, clock.SystemClock())
    assert parsed.deployment_key.get_secret_value() == "fedcba9876543210"
    assert "fedcba" not in repr(parsed)
    assert options.partition_lease.total_seconds() == 1.5
    assert options.waiting_limits[states.WorkClass.URGENT] == 3
    assert options.waiting_limits[states.WorkClass.BATCH] == 16


def test_agent_settings_become_options() -> None:
    """Guards against an incarnation that does not rise on a restart."""
    text = json.dumps(AGENT | {"tuning": {"queue_limit": 7}})
    parsed = settings.parse_settings(text, settings.AgentSettings).unwrap()
    options = settings.build_agent_options(parsed, clock.SystemClock())
    assert options.instance == ids.InstanceId("i-1")
    assert options.queue_limit == 7
    assert options.incarnation > 1_600_000_000_000
