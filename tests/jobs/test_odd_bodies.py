"""Guards against bodies, log lines and settings that no writer should send.

Each is refused with an answer; none raises through the route.
"""

import json
from typing import Any
from unittest import mock

import pytest
from returns.result import Failure, Success

from gypsumhold.adapters import clock as system_clock
from gypsumhold.adapters import http_routes
from gypsumhold.adapters.jobs import log_lines
from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, messages, specs
from gypsumhold.platform import job_routes, settings
from tests.jobs import job_specs, test_decoders

HEADERS = (("host", job_specs.QUEUE.host),)
GOOD = json.dumps(test_decoders.SUBMISSION).encode()
HUGE = (2**63, 2**64, 10**400)


def build_routes() -> job_routes.JobRoutes:
    """Returns routes before an entry that accepts every job."""
    config = specs.QueueConfig(ids.ConfigVersion(1), (job_specs.QUEUE,))
    runtime = mock.Mock()
    runtime.snapshot.return_value = config
    runtime.run_owner.side_effect = lambda ticket, *_: effects.AnswerQuery(
        ticket, messages.Answer(messages.Verdict.ACCEPTED)
    )
    return job_routes.JobRoutes(runtime, system_clock.SystemClock())


def submit(body: bytes) -> int:
    """Submits a body and returns the status of the answer."""
    target = f"{job_specs.QUEUE.prefix}5c0e7a21d94b36f8"
    request = http_routes.HttpRequest("POST", target, HEADERS, body)
    return build_routes().answer(request).status


def replace_step(**fields: Any) -> bytes:
    step = {**test_decoders.SUBMISSION["steps"][0], **fields}
    return json.dumps({**test_decoders.SUBMISSION, "steps": [step]}).encode()


ODD_BODIES = {
    "nested": [
        b'{"specification":"","steps":' + b"[" * levels
        for levels in (600, 2_000, 100_000)
    ],
    "closed": [
        GOOD[:-1] + b',"x":' + b"[" * levels + b"]" * levels + b"}"
        for levels in (2_000, 100_000)
    ],
    "numbers": [
        replace_step(**{name: number})
        for name in ("count", "cpu", "memoryRequestMb", "estimatedMs")
        for number in (*HUGE, -1)
    ],
    "floats": [
        GOOD.replace(b"4.5", text)
        for text in (b"1e400", b"NaN", b"Infinity", b"-Infinity")
    ],
    "times": [
        json.dumps({**test_decoders.SUBMISSION, name: number}).encode()
        for name in ("repetitions", "firstRunMs", "intervalMs")
        for number in (*HUGE, -1)
    ],
    "bytes": [b"", b"\xff", b"\xef\xbb\xbf" + GOOD, GOOD[:-1], b"null"],
    "text": [
        json.dumps(
            {**test_decoders.SUBMISSION, "specification": "x" * 1_000_000}
        ).encode(),
        GOOD.replace(b"text", b"\xed\xa0\x80"),
        GOOD.replace(b"text", b"\\ud800"),
    ],
}


def test_good_body_is_accepted() -> None:
    """Shows that the odd bodies are refused for what is odd about them."""
    assert submit(GOOD) == 200
    twice = GOOD.replace(
        b'"specification"', b'"specification":"a","specification"'
    )
    assert submit(twice) == 200


@pytest.mark.parametrize("bodies", ODD_BODIES.values(), ids=ODD_BODIES)
def test_odd_body_is_refused(bodies: list[bytes]) -> None:
    """Guards against a submission that ends its thread or is stored."""
    for body in bodies:
        assert submit(body) == 400


def test_odd_line_is_no_line_of_the_log() -> None:
    """Guards against a story that ends at one line of another writer."""
    for text in ("{" + '"a":[' * 100_000, '{"a":' * 2_000, "{", '{"time":1}'):
        assert log_lines.parse_line(text) is None


@pytest.mark.parametrize("port", ["65536", "70000", "9" * 5000, "-5", ""])
def test_settings_with_an_impossible_port_are_refused(
    port: str, tmp_path: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that starts without a way to the store."""
    document: dict[str, Any] = {
        "nodeName": "a",
        "ipAddress": "127.0.0.1",
        "zone": "z",
        "region": "r",
        "listen": {},
        "internalPortRange": [7000, 7010],
        "platform": {"address": "127.0.0.1:7999"},
    }
    path = tmp_path / "node.json"
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    path.write_text(json.dumps(document))
    assert isinstance(settings.read_settings(), Success)
    document["platform"]["address"] = f"127.0.0.1:{port}"
    path.write_text(json.dumps(document))
    assert isinstance(settings.read_settings(), Failure)
