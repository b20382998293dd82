"""Guards the messages for faulty settings files."""

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


def read_failure(text: str) -> str:
    read = settings.parse_settings(text, settings.EntrySettings)
    assert isinstance(read, Failure)
    return str(read.failure())


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_is_named_with_its_remedy(
    fault: str, snapshot: SnapshotAssertion
) -> None:
    """Failure: an operator cannot tell which setting to correct."""
    assert read_failure(json.dumps(ENTRY | FAULTS[fault])) == snapshot


@pytest.mark.parametrize(
    "text", ['{"name": ', "[]", '{"name": "a", "name": "b"}', "{}"]
)
def test_malformed_file_is_refused(
    text: str, snapshot: SnapshotAssertion
) -> None:
    """Failure: a broken file ends in a stack trace or is half read."""
    assert read_failure(text) == snapshot


def test_missing_file_is_refused() -> None:
    """Failure: a wrong path ends in a stack trace."""
    read = settings.read_settings("/nonexistent", settings.EntrySettings)
    assert "--config" in str(read.failure())


def test_unknown_key_in_a_list_names_the_nearest() -> None:
    """Failure: the search for known keys fails below a list."""
    entries = [{"host": "127.0.0.1", "port": 1, "regoin": "south"}]
    text = json.dumps(AGENT | {"entries": entries})
    read = settings.parse_settings(text, settings.AgentSettings)
    assert "use 'region'" in str(read.failure())


def test_settings_become_options(tmp_path: pathlib.Path) -> None:
    """Failure: a tuning is accepted and has no effect."""
    secret = tmp_path / "key"
    secret.write_text("fedcba9876543210\n")
    tuning = {"partition_lease_ms": 1500, "waiting_limits": {"urgent": 3}}
    changes = {"tuning": tuning, "deployment_key": {"file": str(secret)}}
    text = "// comment\n" + json.dumps(ENTRY | changes)
    chosen = settings.parse_settings(text, settings.EntrySettings).unwrap()
    built = settings.build_entry_options(chosen, clock.SystemClock())
    assert chosen.deployment_key.get_secret_value() == "fedcba9876543210"
    assert "fedcba" not in repr(chosen)
    assert built.partition_lease.total_seconds() == 1.5
    assert built.waiting_limits[states.WorkClass.URGENT] == 3
    assert built.waiting_limits[states.WorkClass.BATCH] == 16


def test_agent_settings_become_options() -> None:
    """Failure: a restarted agent does not get a higher incarnation."""
    text = json.dumps(AGENT | {"tuning": {"queue_limit": 7}})
    chosen = settings.parse_settings(text, settings.AgentSettings).unwrap()
    built = settings.build_agent_options(chosen, clock.SystemClock())
    assert built.instance == ids.InstanceId("i-1")
    assert built.queue_limit == 7
    assert built.incarnation > 1_600_000_000_000
