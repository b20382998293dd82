"""Contract of the upstream stand-in, on which other tests count runs."""

import hashlib
import http.client
import json
import socket

import pytest

from gypsumhold.model import members
from tests.contracts import conftest

SETTINGS = {"kinds": ["k"], "slots": 2, "connections": 4}


@pytest.fixture(scope="module")
def served(start_standin: conftest.Starter) -> members.Address:
    return start_standin("upstream", SETTINGS)


def call(
    address: members.Address, target: str, body: bytes, **headers: str
) -> tuple[http.client.HTTPResponse, bytes]:
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=20
    )
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    connection.request("PATCH", target, body, named)
    response = connection.getresponse()
    return response, response.read()


def list_seen(address: members.Address, request_id: str) -> list[object]:
    caller = conftest.build_caller(address)
    reply = caller.call("GET", "/v1/seen").unwrap()
    found = json.loads(reply.body)
    assert found["busy"] == 0
    return [
        item for item in found["requests"] if item["request_id"] == request_id
    ]


def test_it_echoes_exactly_and_records(served: members.Address) -> None:
    """Guards against an echo that hides a changed request."""
    body = bytes(range(256))
    response, echoed = call(
        served,
        "/a%2Fb//?x=%20",
        body,
        Gypsumhold_Request_Id="r",
        Gypsumhold_Attempt="2",
        X_Standin_Status="207",
        x_OWN="\xe9 b",
    )
    assert (response.status, echoed) == (207, body)
    assert ("X-Echo-x-OWN", "\xe9 b") in response.getheaders()
    assert list_seen(served, "r") == [
        {
            "request_id": "r",
            "attempt": "2",
            "method": "PATCH",
            "target": "/a%2Fb//?x=%20",
            "digest": hashlib.sha256(body).hexdigest(),
        }
    ]


@pytest.mark.parametrize("body", [b"", b"body"])
@pytest.mark.parametrize("place", ["before", "during"])
def test_a_broken_answer_has_run_once(
    served: members.Address, place: str, body: bytes
) -> None:
    """Guards against a break that a client takes for a whole answer."""
    name = f"{place}{len(body)}"
    with pytest.raises((http.client.HTTPException, OSError)):
        call(
            *(served, "/", body),
            Gypsumhold_Request_Id=name,
            X_Standin_Break=place,
        )
    assert len(list_seen(served, name)) == 1


def test_an_incomplete_request_does_not_run(served: members.Address) -> None:
    """Guards against counting a request whose sender broke off."""
    with socket.create_connection((served.host, served.port), 20) as sender:
        sender.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nGypsumhold-Request-Id: cut\r\n"
            b"Content-Length: 9\r\n\r\nhalf"
        )
        sender.shutdown(socket.SHUT_WR)
        assert sender.recv(1) == b""
    assert list_seen(served, "cut") == []


def test_it_reports_itself(start_standin: conftest.Starter) -> None:
    """Guards against an upstream that its agent never hears of."""
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
    nothing = {"cpu_millis": 0, "memory_mb": 0, "accelerators": 0}
    assert report == {
        **{"host": served.host, "port": served.port, **SETTINGS},
        **{"busy": 0, "running": [], "draining": False, "reserved": nothing},
    }
