"""Tests the text of the command `where` and the route behind it for jobs."""

import datetime
import json
from typing import Any

from gypsumhold.adapters import http_routes
from gypsumhold.adapters.jobs import preview_documents
from gypsumhold.model import ids
from gypsumhold.model.jobs import previews
from gypsumhold.platform import preview_routes
from gypsumhold.programs import ctl_answers, ctl_options, ctl_previews
from tests.adapters import operator_fake
from tests.jobs import job_specs, test_regressions
from tests.jobs import world as worlds

TOKEN = "t0ken"
BODY = json.dumps({"specification": "s", "steps": [{"count": 2, "cpu": 500}]})


class FrozenRuntime:
    """Reads a state that stands still, as the engine does under its lock."""

    def __init__(self, state: Any, now: datetime.timedelta) -> None:
        self._state = state
        self._now = now

    def snapshot(self, read: Any) -> Any:
        return read(self._state)

    def read_clock(self) -> datetime.timedelta:
        return self._now


class OtherRoutes(http_routes.Routes):
    """The other routes of the port."""

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        return http_routes.HttpResponse(200, (), b"metrics")


def build_routes(holds: bool = True) -> preview_routes.PreviewRoutes:
    world = worlds.World(1)
    world.run(3000)
    holder = test_regressions.find_holder(world)
    node = holder
    if not holds:
        node = next(
            other
            for name, other in world.nodes.items()
            if name.startswith("entry") and other is not holder
        )
    node.state.config = job_specs.CONFIG
    runtime: Any = FrozenRuntime(node.state, world.read_clock())
    return preview_routes.PreviewRoutes(
        runtime, operator_fake.FixedClock(), TOKEN, OtherRoutes()
    )


def send(
    routes: preview_routes.PreviewRoutes,
    target: str = "/v1/where?queue=q",
    token: str = TOKEN,
    body: str = BODY,
    method: str = "POST",
) -> http_routes.HttpResponse:
    headers = (("Authorization", f"Bearer {token}"),)
    return routes.answer(
        http_routes.HttpRequest(method, target, headers, body.encode())
    )


def test_the_holder_tells_where_a_job_would_go() -> None:
    response = send(build_routes())
    assert response.status == 200
    document = json.loads(response.body)
    assert document["accepted"] is True
    assert sum(row["tasks"] for row in document["steps"][0]["chosen"]) == 2
    text = ctl_previews.render_job(document)
    assert "step 0, 2 tasks: placed" in text


def test_bad_calls_are_refused_and_other_paths_passed_on() -> None:
    """Guards against a preview for callers without the operators' token."""
    routes = build_routes()
    assert send(routes, token="wrong").status == 401
    assert send(routes, method="GET").status == 405
    assert send(routes, target="/v1/where?queue=none").status == 404
    assert send(routes, body="[").status == 400
    assert send(routes, body='{"steps": []}').status == 400
    assert send(routes, target="/metrics").body == b"metrics"


def test_a_follower_sends_the_operator_to_other_entries() -> None:
    assert send(build_routes(holds=False)).status == 503


def test_a_refused_job_is_told_with_its_delay() -> None:
    preview = previews.JobPreview(
        ids.Epoch(3),
        datetime.timedelta(seconds=7),
        2,
        datetime.timedelta(milliseconds=40),
        (
            previews.StepPreview(
                0,
                previews.StepVerdict.WAITS_FOR_WORKER,
                4,
                excluded=(
                    (previews.WorkerObstacle.CPU, (ids.InstanceId("i"),) * 7),
                ),
            ),
        ),
    )
    text = ctl_previews.render_job(preview_documents.render_preview(preview))
    assert "refused for now; come back in 7 s" in text
    assert "and 2 more: not enough free CPU" in text


def test_a_request_is_told_with_its_candidates() -> None:
    command = ctl_options.PreviewRequest(
        ids.OrganisationId("o"), ids.KindName("k")
    )
    document = {
        "entry": "entry-0",
        "refusal": None,
        "candidates": [
            {
                "instance": "lively",
                "data_centre": "dc",
                "cost": 0.2,
                "free_slots": 4,
                "queued": 0,
                "in_flight": 1,
            }
        ],
        "excluded": [{"reason": "does not serve", "instances": ["gone"]}],
    }
    answer = ctl_answers.Answer("127.0.0.1:1", 200, document)
    text = ctl_answers.report_answer(command, answer, False).text
    assert "least cost: lively" in text
    assert "not on gone: does not serve" in text
