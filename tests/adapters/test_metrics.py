"""Tests the metrics from events and effects, and the JSON log."""

import contextlib
import datetime
import io
import json

import logbook

from gypsumhold.adapters import logs, metrics
from gypsumhold.model import (
    effects,
    events,
    ids,
    requests,
    resources,
    rows,
    states,
)

ORGANISATION = ids.OrganisationId("org")
KIND = ids.KindName("kind")


def build_call(number: int) -> events.CallArrived:
    return events.CallArrived(
        requests.Request(
            request_id=ids.RequestId(str(number)),
            organisation=ORGANISATION,
            kind=KIND,
            key=None,
            remaining=datetime.timedelta(seconds=1),
            digest="",
            payload=requests.Payload("GET", "/"),
        )
    )


def build_answer(number: int, reason: states.Reason) -> effects.AnswerCall:
    result = requests.Result(states.Outcome.NOT_RUN, reason)
    return effects.AnswerCall(ids.RequestId(str(number)), result)


def build_commit() -> effects.Commit:
    task = rows.TaskRow(
        ids.TaskId("t"), ORGANISATION, KIND, "", resources.NOTHING
    )
    write = rows.Write(ids.RowKey("task/0000/t"), task)
    transaction = rows.Transaction(ids.OperationId("o"), (), (write,))
    return effects.Commit("", transaction)


def test_requests_are_counted_by_class_and_reason() -> None:
    """Guards against a flood of one work class that the metrics do not show."""
    with contextlib.closing(
        metrics.Recorder("entry", "e", lambda *_: states.WorkClass.URGENT)
    ) as recorder:
        for number in range(2):
            answer = build_answer(number, states.Reason.OVERLOADED)
            recorder.observe(build_call(number), (answer,))
        assert (
            'gypsumhold_requests{class="urgent",outcome="not-run",'
            'reason="overloaded"} 2'
        ) in recorder.render()


def test_task_states_count_once_they_are_committed() -> None:
    """Guards against counting the tasks of a batch that was not committed."""
    with contextlib.closing(metrics.Recorder("entry", "e")) as recorder:
        for result in states.CommitResult:
            answer = events.CommitAnswered(
                ids.OperationId("o"), rows.CommitAnswer(result)
            )
            recorder.observe(events.EntryStarted(), (build_commit(),))
            recorder.observe(answer, ())
        text = recorder.render()
    assert 'gypsumhold_task_writes{state="queued"} 1' in text
    assert 'gypsumhold_commits{result="conflict"} 1' in text


def test_json_log_has_one_object_per_line() -> None:
    """Guards against a line break or an exception that splits a record."""
    stream = io.StringIO()
    with contextlib.ExitStack() as stack:
        logs.open_log(stack, "info", True, stream)
        channel = logbook.Logger("test")
        try:
            raise ValueError("a\nb")
        except ValueError:
            channel.exception("first\nsecond {}", 1)
        channel.debug("hidden")
    lines = stream.getvalue().splitlines()
    record = json.loads(lines[0])
    assert len(lines) == 1
    assert record["message"] == "first\nsecond 1"
    assert "ValueError" in record["exception"]
