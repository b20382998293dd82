"""Contract tests of the upstream stand-in.

Other tests rely on its record of requests to count runs.
"""

import concurrent.futures
import hashlib
import http.client
import json
import socket

import pytest

from gypsumhold.model import members
from tests.contracts import conftest

HELD_S = 0.5
SETTINGS = {"kinds": ["k"], "slots": 2, "connections": 4}


@pytest.fixture(scope="module")
def served(start_standin: conftest.Starter) -> members.Address:
    """Returns the address of an upstream stand-in."""
    return start_standin("upstream", SETTINGS)


def call(
    address: members.Address, target: str, body: bytes, **headers: str
) -> tuple[http.client.HTTPResponse, bytes]:
    """Sends a request; in header names, `_` stands for `-`."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=20
    )
    header_fields = {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    connection.request("PATCH", target, body, header_fields)
    response = connection.getresponse()
    return response, response.read()


def list_requests(address: members.Address, request_id: str) -> list[object]:
    """Returns the records of the requests with an id."""
    caller = conftest.build_caller(address)
    reply = caller.call("GET", "/v1/seen").unwrap()
    records = json.loads(reply.body)
    assert records["busy"] == 0
    return [
        request
        for request in records["requests"]
        if request["request_id"] == request_id
    ]


def test_echo_and_record_are_exact(served: members.Address) -> None:
    """Guards against an echo or record that hides a change to the request."""
    body = bytes(range(256))
    response, echoed_body = call(
        served,
        "/a%2Fb//?x=%20",
        body,
        Gypsumhold_Request_Id="r",
        Gypsumhold_Attempt="2",
        X_Standin_Status="207",
        x_OWN="\xe9 b",
    )
    assert (response.status, echoed_body) == (207, body)
    assert ("X-Echo-x-OWN", "\xe9 b") in response.getheaders()
    assert list_requests(served, "r") == [
        {
            "request_id": "r",
            "attempt": "2",
            "method": "PATCH",
            "target": "/a%2Fb//?x=%20",
            "digest": hashlib.sha256(body).hexdigest(),
        }
    ]


@pytest.mark.parametrize("body", [b"", b"body"])
@pytest.mark.parametrize("break_point", ["before", "during"])
def test_request_with_broken_answer_runs_once(
    served: members.Address, break_point: str, body: bytes
) -> None:
    """Guards against a break that a client mistakes for a complete answer."""
    request_id = f"{break_point}{len(body)}"
    with pytest.raises((http.client.HTTPException, OSError)):
        call(
            *(served, "/", body),
            Gypsumhold_Request_Id=request_id,
            X_Standin_Break=break_point,
        )
    assert len(list_requests(served, request_id)) == 1


def test_incomplete_request_does_not_run(served: members.Address) -> None:
    """Guards against running a request that was not sent completely."""
    with socket.create_connection((served.host, served.port), 20) as sender:
        sender.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nGypsumhold-Request-Id: cut\r\n"
            b"Content-Length: 9\r\n\r\nhalf"
        )
        sender.shutdown(socket.SHUT_WR)
        assert sender.recv(1) == b""
    assert list_requests(served, "cut") == []


def test_upstream_sends_reports(start_standin: conftest.Starter) -> None:
    """Guards against an upstream whose reports do not reach its agent."""
    with socket.create_server(("127.0.0.1", 0)) as agent:
        host, port = agent.getsockname()
        served = start_standin(
            "upstream", {**SETTINGS, "agent": {"host": host, "port": port}}
        )
        agent.settimeout(20)
        connection, _ = agent.accept()
        with connection, connection.makefile("rb") as stream:
            assert stream.readline() == b"POST /v1/upstream HTTP/1.1\r\n"
            headers = http.client.parse_headers(stream)
            report = json.loads(stream.read(int(headers["content-length"])))
    no_resources = {"cpu_millis": 0, "memory_mb": 0, "accelerators": 0}
    assert report == {
        **{"host": served.host, "port": served.port, **SETTINGS},
        **{
            "busy": 0,
            "running": [],
            "draining": False,
            "reserved": no_resources,
        },
    }


def test_held_request_runs_until_the_fault_ends(
    served: members.Address,
) -> None:
    """Guards against held calls that end by a time of their own."""
    caller = conftest.build_caller(served)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        caller.call("POST", "/v1/faults", b'{"fault": "held"}').unwrap()
        pending = pool.submit(call, served, "/held", b"body")
        with pytest.raises(concurrent.futures.TimeoutError):
            pending.result(HELD_S)
        records = caller.call("GET", "/v1/seen").unwrap()
        assert json.loads(records.body)["held"] == 1
        caller.call("POST", "/v1/faults", b'{"fault": "none"}').unwrap()
        assert pending.result()[1] == b"body"
    assert list_requests(served, "")
