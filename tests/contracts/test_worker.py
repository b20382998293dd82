"""Contract tests of the worker.

Each contract runs against the simulation alone and against the HTTP client with
a stand-in process.
"""

import abc
import datetime
import json
import threading
from collections.abc import Callable

import pytest

from gypsumhold.adapters import clock, http_client
from gypsumhold.adapters import worker as worker_adapter
from gypsumhold.model import (
    effects,
    events,
    members,
    resources,
    states,
    tasks,
    timers,
)
from gypsumhold_standin import worker
from tests.contracts import conftest

CAPACITY = resources.Resources(8000, 16000, 1)
Action = timers.WorkerAction
State = states.ExecutionState
HOUR = datetime.timedelta(hours=1)
LONG_PAYLOAD = json.dumps({"run_ms": 10**9, "cpu_millis": 9000, "memory_mb": 7})
SHORT_PAYLOAD = json.dumps({"run_ms": 0})
FAILING_PAYLOAD = json.dumps({"run_ms": 0, "fail": True})
MILLISECOND = datetime.timedelta(milliseconds=1)


class WorkerSubject(abc.ABC):
    """A worker under test whose faults can be set."""

    worker: worker_adapter.Worker

    @abc.abstractmethod
    def set_fault(self, fault: worker.Fault) -> None:
        """Sets the fault of the worker."""


class SimulatedWorker(WorkerSubject, worker_adapter.Worker):
    """The simulation, without HTTP, on the system clock or at a fixed time."""

    def __init__(self) -> None:
        self.worker = self
        self.state = worker.Worker(CAPACITY)
        self.now: datetime.timedelta | None = None

    def set_fault(self, fault: worker.Fault) -> None:
        self.state.fault = fault

    def read_report(self) -> tasks.WorkerReport | None:
        is_slow = self.state.fault is worker.Fault.SLOW
        report = worker.list_tasks(self.state, self.now or read_clock())
        return None if is_slow else report

    def command(self, command: effects.CommandWorker) -> events.WorkerAnswered:
        now = self.now or read_clock()
        answer = worker.apply(self.state, now, command)
        is_lost = answer is None or self.state.fault is worker.Fault.SLOW
        return events.WorkerAnswered(
            *(command.task_id, command.epoch, command.action),
            None if is_lost else answer.result is worker.CommandResult.DONE,
            None if is_lost else answer.checkpoint,
        )


class ServedWorker(WorkerSubject):
    """The HTTP client of a process; faults that delay set a short timeout."""

    def __init__(self, address: members.Address) -> None:
        self._address = address
        self.set_fault(worker.Fault.NONE)

    def set_fault(self, fault: worker.Fault) -> None:
        is_delayed = fault in (worker.Fault.SLOW, worker.Fault.SILENT)
        caller = conftest.build_caller(self._address, 0.3 if is_delayed else 20)
        self.worker = worker_adapter.HttpWorker(caller)
        body = {"fault": fault.value, "slow_ms": 60_000}
        sent = caller.call_json("POST", "/v1/faults", body)
        assert sent.unwrap().status == 200


def read_clock() -> datetime.timedelta:
    """Returns the time on CLOCK_BOOTTIME, on which leases end."""
    return clock.SystemClock().read_monotonic()


@pytest.fixture(scope="module")
def served(start_standin: conftest.Starter) -> members.Address:
    """Returns the address of a worker stand-in."""
    capacity = {"cpu_millis": 8000, "memory_mb": 16000, "accelerators": 1}
    return start_standin("worker", {"capacity": capacity})


@pytest.fixture(params=["core", "served"])
def subject(
    request: pytest.FixtureRequest, served: members.Address
) -> WorkerSubject:
    """Returns a worker: the simulation or a client of a process."""
    return (
        SimulatedWorker() if request.param == "core" else ServedWorker(served)
    )


@pytest.fixture
def name(request: pytest.FixtureRequest) -> str:
    """Returns a task id that is unique for each test."""
    return f"task/{request.node.name}"


def build_start(
    name: str,
    epoch: int,
    payload: str = LONG_PAYLOAD,
    lease: datetime.timedelta = HOUR,
    checkpoint: str | None = None,
) -> effects.CommandWorker:
    """Builds the command that starts a task."""
    expires = (read_clock() + lease) // MILLISECOND * MILLISECOND
    start = tasks.TaskStart(
        *(name, epoch, 0, 1, "o", "k", states.WorkClass.BATCH),
        *(resources.Resources(99_000, 5, 2), expires, payload, checkpoint),
    )
    return effects.CommandWorker(
        name, epoch, Action.START, start=start, expires=expires
    )


def find(subject: WorkerSubject, name: str) -> tasks.WorkerTask | None:
    """Returns a task that the worker lists, or None."""
    report = subject.worker.read_report()
    assert report is not None and report.capacity == CAPACITY
    return next((task for task in report.tasks if task.task_id == name), None)


def send(
    subject: WorkerSubject,
    name: str,
    epoch: int,
    action: Action,
    **more: object,
) -> bool | None:
    """Sends a command; returns whether it is accepted, None if unanswered."""
    command = effects.CommandWorker(name, epoch, action, **more)
    return subject.worker.command(command).accepted


def test_repeated_start_runs_once(subject: WorkerSubject, name: str) -> None:
    """Guards against a second run after a repeated start.

    The task exceeds the capacity, which must not prevent its start.
    """
    start = build_start(name, 2)
    for _ in range(2):
        assert subject.worker.command(start).accepted is True
    task = find(subject, name)
    assert task is not None
    assert (task.state, task.start) == (State.RUNNING, start.start)
    assert subject.worker.command(build_start(name, 1)).accepted is False


@pytest.mark.parametrize(
    ("payload", "state"),
    [
        (SHORT_PAYLOAD, State.SUCCEEDED),
        (FAILING_PAYLOAD, State.FAILED),
        (LONG_PAYLOAD, State.RUNNING),
        ("no JSON", State.RUNNING),
        ('{"run_ms": 1e300}', State.RUNNING),
        ("[" * 100_000, State.RUNNING),
    ],
)
def test_payload_decides_the_end(
    subject: WorkerSubject, name: str, payload: str, state: State
) -> None:
    """Guards against a lost end, or an exception on a malformed payload."""
    name = name[:40] + str(len(payload))
    subject.worker.command(build_start(name, 1, payload))
    task = find(subject, name)
    assert task is not None and task.state is state
    was_forgotten = send(subject, name, 1, Action.FORGET)
    assert was_forgotten is (state is not State.RUNNING)
    assert (find(subject, name) is None) is was_forgotten


def test_stop_fences_the_epoch(subject: WorkerSubject, name: str) -> None:
    """Guards against a delayed start of a task that has moved elsewhere."""
    assert send(subject, name, 3, Action.STOP) is True
    for epoch in (2, 3):
        delayed = subject.worker.command(build_start(name, epoch))
        assert delayed.accepted is False
    assert subject.worker.command(build_start(name, 4)).accepted is True
    assert send(subject, name, 3, Action.STOP) is False
    assert send(subject, name, 4, Action.STOP) is True
    assert subject.worker.command(build_start(name, 4)).accepted is False
    task = find(subject, name)
    assert task is not None and task.state is State.STOPPED
    assert send(subject, name, 4, Action.FORGET) is True
    assert send(subject, name, 4, Action.RENEW, expires=HOUR) is False
    assert subject.worker.command(build_start(name, 4)).accepted is False


def test_start_resumes_from_checkpoint(
    subject: WorkerSubject, name: str
) -> None:
    """Guards against evicted work that starts again from the beginning."""
    last_checkpoint = f"checkpoint/x/1/{10**9}"
    first = build_start(name, 1, LONG_PAYLOAD, checkpoint=last_checkpoint)
    assert subject.worker.command(first).accepted is True
    task = find(subject, name)
    assert task is not None and task.state is State.SUCCEEDED
    subject.worker.command(build_start(name, 2))
    for action in (Action.CHECKPOINT, Action.STOP):
        command = effects.CommandWorker(name, 2, action)
        answer = subject.worker.command(command)
        assert answer.accepted is True and answer.checkpoint is not None


def test_lease_expiry_stops_the_task(subject: WorkerSubject, name: str) -> None:
    """Guards against a task that outlives its lease and runs twice."""
    lease = datetime.timedelta(seconds=0.1)
    expired = build_start(name, 1, LONG_PAYLOAD, -lease)
    assert subject.worker.command(expired).accepted is False
    start = build_start(name, 1, LONG_PAYLOAD, lease)
    renewed = build_start(name, 2, LONG_PAYLOAD, HOUR)
    accepted = subject.worker.command(start).accepted
    threading.Event().wait(0.2)
    # On a slow machine the start may arrive after the lease has expired; then
    # the worker must refuse it.
    task = find(subject, name)
    assert accepted is (task is not None)
    assert task is None or task.state is State.STOPPED
    assert subject.worker.command(renewed).accepted is True


@pytest.mark.parametrize(
    ("fault", "accepted", "is_started"),
    [
        (worker.Fault.SLOW, None, True),
        (worker.Fault.SILENT, None, False),
        (worker.Fault.ANSWER_LOST, None, True),
        (worker.Fault.FAIL_ALL, True, True),
    ],
)
def test_faults_lose_answers_or_fail_tasks(
    subject: WorkerSubject,
    name: str,
    fault: worker.Fault,
    accepted: bool | None,
    is_started: bool,
) -> None:
    """Guards against reporting a lost answer as a refusal."""
    subject.set_fault(fault)
    assert subject.worker.command(build_start(name, 1)).accepted is accepted
    is_readable = fault is worker.Fault.FAIL_ALL
    assert (subject.worker.read_report() is not None) is is_readable
    subject.set_fault(worker.Fault.NONE)
    task = find(subject, name)
    assert (task is not None) is is_started
    if fault is worker.Fault.FAIL_ALL:
        assert task is not None and task.state is State.FAILED


def test_throttling_changes_usage_and_end() -> None:
    """Guards against wrong times: the simulation is exact at a given time."""
    subject = SimulatedWorker()
    second = datetime.timedelta(seconds=1)
    subject.now = read_clock()
    started = subject.now
    payload = json.dumps({"run_ms": 4000, "cpu_millis": 1000})
    subject.worker.command(build_start("t", 1, payload))
    subject.now += second
    send(subject, "t", 1, Action.THROTTLE, share=50)
    task = find(subject, "t")
    assert task is not None and task.state is State.THROTTLED
    assert task.usage.cpu_millis == 1000
    subject.now += second
    task = find(subject, "t")
    assert task is not None and task.usage.cpu_millis == 500
    subject.now += HOUR / 2
    task = find(subject, "t")
    assert task is not None and task.state is State.SUCCEEDED
    assert subject.state.runs[0].ended == started + 7 * second


def test_refused_connection_is_a_lost_answer() -> None:
    """Guards against reporting a worker that is down as one that refuses."""
    caller = conftest.build_caller(conftest.find_closed_port())
    client = worker_adapter.HttpWorker(caller)
    assert client.read_report() is None
    assert client.command(build_start("t", 1)).accepted is None


@pytest.mark.parametrize("name", conftest.INVALID_REPLIES)
def test_invalid_replies_are_lost_answers(
    answer_bytes: Callable[[bytes], http_client.HttpClient], name: str
) -> None:
    """Guards against an exception or a wrong answer on malformed replies."""
    raw = conftest.INVALID_REPLIES[name]
    client = worker_adapter.HttpWorker(answer_bytes(raw))
    assert client.command(build_start("t", 1)).accepted is None
    client = worker_adapter.HttpWorker(answer_bytes(raw))
    assert client.read_report() is None


@pytest.mark.parametrize(
    ("target", "body"),
    [
        ("/v1/tasks/t/start", b"{}"),
        ("/v1/tasks/t/start", b"\xff"),
        ("/v1/tasks/t/renew", b'{"epoch": 1}'),
        ("/v1/tasks/t/renew", b'{"epoch": 1, "expires_ms": %d}' % 10**40),
        ("/v1/tasks/t/throttle", b'{"epoch": 1, "share": 0}'),
        ("/v1/tasks/t/stop", b"[" * 100_000),
        ("/v1/faults", b'{"fault": "other"}'),
    ],
)
def test_malformed_commands_are_refused(
    served: members.Address, target: str, body: bytes
) -> None:
    """Guards against accepting a malformed command."""
    caller = conftest.build_caller(served)
    assert caller.call("POST", target, body).unwrap().status == 400
