"""Lists of machines from which the workers that are up can't be read.

Pattern: a worker that a list lacks counts as gone, and its tasks run elsewhere.
So a list is known as a whole or not at all.
"""

import json
import pathlib

import pytest
from returns.result import Failure, Result, Success

from gypsumhold.adapters import http_client
from gypsumhold.model import members
from gypsumhold.platform import machines, settings

ADDRESS = members.Address("127.0.0.1", 9)
UP = '{"machine":"m-1","state":"up","id":"i-1"}'
ODD_ENTRIES = (
    '{"machine":"m-2","state":"up","id":null}',
    '{"machine":"m-2","state":"up","id":""}',
    '{"machine":"m-2","state":"up"}',
    '{"machine":"m-2","state":"up","id":7}',
    '{"machine":"m-2","state":"up","id":["i-2"]}',
    '{"machine":"m-2","state":"UP","id":"i-2"}',
    '{"machine":"m-2","state":"starting","id":"i-2"}',
    '{"machine":"m-2","state":null,"id":"i-2"}',
    '{"machine":"m-2","state":1,"id":"i-2"}',
    '{"machine":"m-2","id":"i-2"}',
    '"i-2"',
    "null",
    "[" * 100_000,
)
ODD_PAGES = (
    *(f'{{"machines":[{UP},{entry}]}}'.encode() for entry in ODD_ENTRIES),
    b'{"machines":null}',
    b'{"machines":{"m-1":{"state":"up","id":"i-1"}}}',
    b'{"machines":"i-1"}',
    b"{}",
    b"[]",
    b"null",
    b"",
    b"\xff",
    f'{{"machines":[{UP}],"nextToken":2}}'.encode(),
    f'{{"machines":[{UP}],"nextToken":["2"]}}'.encode(),
    f'{{"machines":[{UP}]'.encode(),
)


class ScriptedPlatform(http_client.HttpClient):
    """Answers each call with the next page, and with the last one for ever."""

    def __init__(
        self, *pages: Result[http_client.Reply, http_client.CallFailure]
    ) -> None:
        """Creates a platform with these answers."""
        super().__init__(http_client.CallOptions(ADDRESS))
        self.targets: list[str] = []
        self._pages = pages

    def call(
        self, method: str, target: str, *_: object, **__: object
    ) -> Result[http_client.Reply, http_client.CallFailure]:
        """Returns the next page."""
        assert method == "GET"
        self.targets.append(target)
        return self._pages[min(len(self.targets), len(self._pages)) - 1]


def render(
    *entries: str, token: str = "", status: int = 200
) -> Result[http_client.Reply, http_client.CallFailure]:
    """Returns the answer with a page."""
    end = f',"nextToken":{json.dumps(token)}' if token else ""
    text = f'{{"machines":[{",".join(entries)}]{end}}}'
    return Success(http_client.Reply(status, text.encode()))


def test_workers_of_all_pages() -> None:
    """Guards against workers of later pages or other states that count."""
    others = [
        f'{{"machine":"m","state":"{state}"{name}}}'
        for state in ("moving", "upkeep", "down")
        for name in ("", ',"id":null', ',"id":"i-9"')
    ]
    full = UP[:-1].replace("1", "2") + (
        ',"pool":"p","zone":"z","labels":["a","r1-1"],"capacity":{"cpu":1}}'
    )
    platform = ScriptedPlatform(
        render(UP, token="a&b c"), render(*others, token="z"), render(full)
    )
    listed = machines.MachineDirectory(platform).list_up()
    assert listed == {"i-1", "i-2"}
    assert platform.targets == [
        "/machines",
        "/machines?pageToken=a%26b+c",
        "/machines?pageToken=z",
    ]


@pytest.mark.parametrize("body", ODD_PAGES, ids=lambda body: body[:80])
def test_odd_page_makes_the_list_unknown(body: bytes) -> None:
    """Guards against a worker that counts as gone as it can't be read."""
    odd = Success(http_client.Reply(200, body))
    for pages in ([odd], [render(UP, token="2"), odd]):
        platform = ScriptedPlatform(*pages)
        assert machines.MachineDirectory(platform).list_up() is None


@pytest.mark.parametrize(
    "failed",
    [
        Failure(http_client.CallFailure.NOT_SENT),
        Failure(http_client.CallFailure.UNKNOWN),
        *(render(UP, status=status) for status in (204, 404, 410, 429, 503)),
    ],
)
def test_failed_page_makes_the_list_unknown(
    failed: Result[http_client.Reply, http_client.CallFailure],
) -> None:
    """Guards against half a list that counts as all of it."""
    for pages in ([failed], [render(UP, token="2"), failed]):
        platform = ScriptedPlatform(*pages)
        assert machines.MachineDirectory(platform).list_up() is None
        assert len(platform.targets) == len(pages)


def test_list_without_an_end() -> None:
    """Guards against a read that never ends."""
    platform = ScriptedPlatform(render(UP, token="2"))
    assert machines.MachineDirectory(platform).list_up() is None
    assert len(platform.targets) <= machines.MAX_PAGES


@pytest.mark.parametrize("section", [None, {}, {"address": ""}])
def test_platform_without_a_list(
    section: dict[str, str] | None,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that needs a list which no setting names."""
    document: dict[str, object] = {
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
    named = {"cloudApi": {"address": str(ADDRESS)}}
    path.write_text(json.dumps(document | named))
    assert settings.read_settings().unwrap().machines == ADDRESS
    if section is not None:
        document["cloudApi"] = section
    path.write_text(json.dumps(document))
    assert settings.read_settings().unwrap().machines is None
    assert machines.NoDirectory().list_up() is None
