"""HTTP service of the worker stand-in."""

import datetime
import threading
from collections.abc import Callable

from returns.result import Failure, Success

from gypsumhold.adapters import json_documents, worker_codec
from gypsumhold.model import (
    clock,
    effects,
    errors,
    ids,
    requests,
    resources,
    timers,
)
from gypsumhold_standin import http_server, routes, worker

SILENCE_DURATION = datetime.timedelta(hours=1)
"""Time for which an unanswered call is held open; longer than any timeout."""

_ACTION_NAMES = frozenset(action.value for action in timers.WorkerAction)
_STALE_COMMAND = errors.Error(
    errors.ErrorKind.BAD_BODY,
    "the epoch is stale, the lease has expired or the task is still running",
    "read GET /v1/worker",
)
_UNKNOWN_TASK = errors.Error(
    errors.ErrorKind.UNKNOWN_TASK,
    "the worker has no task with this id and epoch",
    "read GET /v1/worker",
)


class WorkerService(http_server.Service):
    """Serves one worker.

    Args:
        capacity: Capacity that the worker reports.
        system_clock: Clock on whose CLOCK_BOOTTIME leases expire.
        pause: Waits for a time; returns early when the process stops.
    """

    def __init__(
        self,
        capacity: resources.Resources,
        system_clock: clock.Clock,
        pause: Callable[[datetime.timedelta], None],
    ) -> None:
        self._clock = system_clock
        self._pause = pause
        self._lock = threading.Lock()
        self._worker = worker.Worker(capacity)
        self._delay = datetime.timedelta(0)

    def serve(self, payload: requests.Payload) -> http_server.Response:
        """Serves one request: a command, a list or a fault."""
        route = routes.parse_route(payload)
        match route.method, route.path:
            case "POST", ("v1", "faults"):
                return routes.answer_result(
                    routes.parse_fault(payload.body).map(self._set_fault)
                )
            case "GET", ("v1", "seen"):
                return self._list_runs()
            case "GET", ("v1", "worker"):
                return self._list_tasks()
            case "POST", ("v1", "tasks", task, action) if (
                action in _ACTION_NAMES
            ):
                return self._serve_command(
                    ids.TaskId(task), timers.WorkerAction(action), payload.body
                )
            case _:
                return routes.answer_not_found(route)

    def _set_fault(
        self, document: routes.FaultDocument
    ) -> http_server.Response:
        known_names = [fault.value for fault in worker.Fault]
        if document.fault not in known_names:
            return routes.answer_unknown_fault(document.fault, known_names)
        with self._lock:
            self._delay = datetime.timedelta(milliseconds=document.slow_ms)
            self._worker.fault = worker.Fault(document.fault)
        return routes.answer_json({})

    def _list_runs(self) -> http_server.Response:
        with self._lock:
            worker.advance(self._worker, self._clock.read_monotonic())
            runs = tuple(self._worker.runs)
        return routes.answer_json({"runs": [_render_run(run) for run in runs]})

    def _list_tasks(self) -> http_server.Response:
        with self._lock:
            now = self._clock.read_monotonic()
            report = worker.list_tasks(self._worker, now)
        if report is None:
            return self._lose_answer()
        self._delay_answer()
        return routes.answer_json(worker_codec.render_report(report))

    def _serve_command(
        self, task_id: ids.TaskId, action: timers.WorkerAction, body: bytes
    ) -> http_server.Response:
        result = json_documents.parse_json(body, "command").bind(
            lambda document: worker_codec.parse_command(
                task_id, action, document
            )
        )
        match result:
            case Success(command):
                return self._execute(command)
            case Failure(error):
                return routes.answer_error(400, error)
        raise AssertionError(result)

    def _execute(self, command: effects.CommandWorker) -> http_server.Response:
        """Executes a command; the answer may be lost under a fault."""
        with self._lock:
            now = self._clock.read_monotonic()
            answer = worker.apply(self._worker, now, command)
        if answer is None:
            return self._lose_answer()
        self._delay_answer()
        match answer.result:
            case worker.CommandResult.STALE:
                return routes.answer_error(409, _STALE_COMMAND)
            case worker.CommandResult.UNKNOWN_TASK:
                return routes.answer_error(404, _UNKNOWN_TASK)
        if command.action in _CHECKPOINT_ACTIONS:
            return routes.answer_json({"checkpoint": answer.checkpoint})
        return routes.answer_json({})

    def _delay_answer(self) -> None:
        """Waits under the fault SLOW."""
        if self._worker.fault is worker.Fault.SLOW:
            self._pause(self._delay)

    def _lose_answer(self) -> http_server.Response:
        """Breaks the connection, under the fault SILENT after a long wait."""
        if self._worker.fault is worker.Fault.SILENT:
            self._pause(SILENCE_DURATION)
        return http_server.NO_ANSWER


_CHECKPOINT_ACTIONS = (timers.WorkerAction.CHECKPOINT, timers.WorkerAction.STOP)


def _render_run(run: worker.Run) -> dict[str, object]:
    ended = run.ended
    return {
        "task_id": run.task_id,
        "epoch": run.epoch,
        "started_ms": run.started // worker.MILLISECOND,
        "ended_ms": None if ended is None else ended // worker.MILLISECOND,
    }
