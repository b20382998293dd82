"""HTTP service of a worker."""

import datetime
import threading
from collections.abc import Callable

from returns.result import Failure, Success

from gypsumhold.adapters import json_documents, workercodec
from gypsumhold.model import (
    clock,
    effects,
    errors,
    ids,
    requests,
    resources,
    timers,
)
from gypsumhold_standin import routes, web, worker

SILENCE = datetime.timedelta(hours=1)
"""How long an unanswered call is held open; longer than any timeout."""

_ACTIONS = frozenset(item.value for item in timers.WorkerAction)
_STALE = errors.Error(
    errors.ErrorKind.BAD_BODY,
    "the epoch is stale, the lease has ended or the task still runs",
    "read GET /v1/worker",
)
_UNKNOWN_TASK = errors.Error(
    errors.ErrorKind.UNKNOWN_TASK,
    "the worker has no such placement",
    "read GET /v1/worker",
)


class WorkerService(web.Service):
    """Serves one worker.

    Args:
        capacity: What the worker says it has.
        source: Clock whose CLOCK_BOOTTIME leases end on.
        pause: Waits for a time; returns early when the process stops.
    """

    def __init__(
        self,
        capacity: resources.Resources,
        source: clock.Clock,
        pause: Callable[[datetime.timedelta], None],
    ) -> None:
        self._clock = source
        self._pause = pause
        self._lock = threading.Lock()
        self._worker = worker.Worker(capacity)
        self._slow = datetime.timedelta(0)

    def serve(self, payload: requests.Payload) -> web.Response:
        """Serves one request."""
        route = routes.parse_route(payload)
        match route.method, route.path:
            case "POST", ("v1", "faults"):
                return routes.answer_result(
                    routes.read_fault(payload.body).map(self._set_fault)
                )
            case "GET", ("v1", "seen"):
                return self._list_runs()
            case "GET", ("v1", "worker"):
                return self._list_tasks()
            case "POST", ("v1", "tasks", task, action) if action in _ACTIONS:
                return self._serve_command(
                    ids.TaskId(task), timers.WorkerAction(action), payload.body
                )
            case _:
                return routes.answer_not_found(route)

    def _set_fault(self, document: routes.FaultDocument) -> web.Response:
        known = [item.value for item in worker.Fault]
        if document.fault not in known:
            return routes.answer_unknown_fault(document.fault, known)
        with self._lock:
            self._slow = datetime.timedelta(milliseconds=document.slow_ms)
            self._worker.fault = worker.Fault(document.fault)
        return routes.answer_json({})

    def _list_runs(self) -> web.Response:
        with self._lock:
            worker.advance(self._worker, self._clock.read_monotonic())
            runs = tuple(self._worker.runs)
        return routes.answer_json({"runs": [_render_run(run) for run in runs]})

    def _list_tasks(self) -> web.Response:
        with self._lock:
            now = self._clock.read_monotonic()
            report = worker.list_tasks(self._worker, now)
        if report is None:
            return self._answer_nothing()
        self._pause_if_slow()
        return routes.answer_json(workercodec.render_report(report))

    def _serve_command(
        self, task_id: ids.TaskId, action: timers.WorkerAction, body: bytes
    ) -> web.Response:
        command = json_documents.read_json(body, "command").bind(
            lambda raw: workercodec.read_command(task_id, action, raw)
        )
        match command:
            case Success(item):
                return self._run(item)
            case Failure(error):
                return routes.answer_error(400, error)
        raise AssertionError(command)

    def _run(self, command: effects.CommandWorker) -> web.Response:
        with self._lock:
            now = self._clock.read_monotonic()
            answer = worker.apply(self._worker, now, command)
        if answer is None:
            return self._answer_nothing()
        self._pause_if_slow()
        match answer.result:
            case worker.CommandResult.STALE:
                return routes.answer_error(409, _STALE)
            case worker.CommandResult.UNKNOWN_TASK:
                return routes.answer_error(404, _UNKNOWN_TASK)
        if command.action in _CHECKPOINTING:
            return routes.answer_json({"checkpoint": answer.checkpoint})
        return routes.answer_json({})

    def _pause_if_slow(self) -> None:
        if self._worker.fault is worker.Fault.SLOW:
            self._pause(self._slow)

    def _answer_nothing(self) -> web.Response:
        if self._worker.fault is worker.Fault.SILENT:
            self._pause(SILENCE)
        return web.NO_ANSWER


_CHECKPOINTING = (timers.WorkerAction.CHECKPOINT, timers.WorkerAction.STOP)


def _render_run(run: worker.Run) -> dict[str, object]:
    ended = run.ended
    return {
        "task_id": run.task_id,
        "epoch": run.epoch,
        "started_ms": run.started // worker.MILLISECOND,
        "ended_ms": None if ended is None else ended // worker.MILLISECOND,
    }
