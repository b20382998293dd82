"""Contract of the worker."""

import abc
import datetime
import json
import threading
from collections.abc import Callable

import pytest

from gypsumhold.adapters import clock, httpcalls
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
LONG = json.dumps({"run_ms": 10**9, "cpu_millis": 9000, "memory_mb": 7})
SHORT = json.dumps({"run_ms": 0})
FAILS = json.dumps({"run_ms": 0, "fail": True})
MILLISECOND = datetime.timedelta(milliseconds=1)


class Subject(abc.ABC):
    """A worker under test, with a way to script its faults."""

    worker: worker_adapter.Worker

    @abc.abstractmethod
    def script(self, fault: worker.Fault) -> None:
        """Puts a fault in force."""


class CoreWorker(Subject, worker_adapter.Worker):
    """The pure core on the system's clock, or on a fixed one."""

    def __init__(self) -> None:
        self.worker = self
        self.state = worker.Worker(CAPACITY)
        self.now: datetime.timedelta | None = None

    def script(self, fault: worker.Fault) -> None:
        self.state.fault = fault

    def read(self) -> tasks.WorkerReport | None:
        slow = self.state.fault is worker.Fault.SLOW
        report = worker.list_tasks(self.state, self.now or read_clock())
        return None if slow else report

    def command(self, command: effects.CommandWorker) -> events.WorkerAnswered:
        now = self.now or read_clock()
        answer = worker.apply(self.state, now, command)
        lost = answer is None or self.state.fault is worker.Fault.SLOW
        return events.WorkerAnswered(
            *(command.task_id, command.epoch, command.action),
            None if lost else answer.result is worker.CommandResult.DONE,
            None if lost else answer.checkpoint,
        )


class ServedWorker(Subject):
    """The HTTP client and a process."""

    def __init__(self, address: members.Address) -> None:
        self._address = address
        self.script(worker.Fault.NONE)

    def script(self, fault: worker.Fault) -> None:
        waits = fault in (worker.Fault.SLOW, worker.Fault.SILENT)
        caller = conftest.build_caller(self._address, 0.3 if waits else 20)
        self.worker = worker_adapter.HttpWorker(caller)
        body = {"fault": fault.value, "slow_ms": 60_000}
        sent = caller.call_json("POST", "/v1/faults", body)
        assert sent.unwrap().status == 200


def read_clock() -> datetime.timedelta:
    return clock.SystemClock().read_monotonic()


@pytest.fixture(scope="module")
def served(start_standin: conftest.Starter) -> members.Address:
    capacity = {"cpu_millis": 8000, "memory_mb": 16000, "accelerators": 1}
    return start_standin("worker", {"capacity": capacity})


@pytest.fixture(params=["core", "served"])
def subject(request: pytest.FixtureRequest, served: members.Address) -> Subject:
    return CoreWorker() if request.param == "core" else ServedWorker(served)


@pytest.fixture
def name(request: pytest.FixtureRequest) -> str:
    return f"task/{request.node.name}"


def build_start(
    name: str,
    epoch: int,
    payload: str = LONG,
    lease: datetime.timedelta = HOUR,
    checkpoint: str | None = None,
) -> effects.CommandWorker:
    expires = (read_clock() + lease) // MILLISECOND * MILLISECOND
    start = tasks.TaskStart(
        *(name, epoch, 0, 1, "o", "k", states.WorkClass.BATCH),
        *(resources.Resources(99_000, 5, 2), expires, payload, checkpoint),
    )
    return effects.CommandWorker(
        name, epoch, Action.START, start=start, expires=expires
    )


def find(subject: Subject, name: str) -> tasks.WorkerTask | None:
    report = subject.worker.read()
    assert report is not None and report.capacity == CAPACITY
    return next((task for task in report.tasks if task.task_id == name), None)


def send(
    subject: Subject, name: str, epoch: int, action: Action, **more: object
) -> bool | None:
    command = effects.CommandWorker(name, epoch, action, **more)
    return subject.worker.command(command).accepted


def test_it_starts_what_does_not_fit_once(subject: Subject, name: str) -> None:
    """Guards against a second run by a repeated start, and lost starts."""
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
        (SHORT, State.SUCCEEDED),
        (FAILS, State.FAILED),
        (LONG, State.RUNNING),
        ("no JSON", State.RUNNING),
        ('{"run_ms": 1e300}', State.RUNNING),
        ("[" * 100_000, State.RUNNING),
    ],
)
def test_tasks_end_as_their_payload_says(
    subject: Subject, name: str, payload: str, state: State
) -> None:
    """Guards against an end that is lost or a payload that stops it."""
    name = name[:40] + str(len(payload))
    subject.worker.command(build_start(name, 1, payload))
    task = find(subject, name)
    assert task is not None and task.state is state
    forgotten = send(subject, name, 1, Action.FORGET)
    assert forgotten is (state is not State.RUNNING)
    assert (find(subject, name) is None) is forgotten


def test_stop_fences_the_epoch(subject: Subject, name: str) -> None:
    """Guards against a late start that runs a task moved elsewhere."""
    assert send(subject, name, 3, Action.STOP) is True
    for epoch in (2, 3):
        late = subject.worker.command(build_start(name, epoch))
        assert late.accepted is False
    assert subject.worker.command(build_start(name, 4)).accepted is True
    assert send(subject, name, 3, Action.STOP) is False
    assert send(subject, name, 4, Action.STOP) is True
    assert subject.worker.command(build_start(name, 4)).accepted is False
    task = find(subject, name)
    assert task is not None and task.state is State.STOPPED
    assert send(subject, name, 4, Action.FORGET) is True
    assert send(subject, name, 4, Action.RENEW, expires=HOUR) is False
    assert subject.worker.command(build_start(name, 4)).accepted is False


def test_checkpoint_and_resume(subject: Subject, name: str) -> None:
    """Guards against evicted work that starts from the beginning."""
    done = f"checkpoint/x/1/{10**9}"
    first = build_start(name, 1, LONG, checkpoint=done)
    assert subject.worker.command(first).accepted is True
    task = find(subject, name)
    assert task is not None and task.state is State.SUCCEEDED
    subject.worker.command(build_start(name, 2))
    for action in (Action.CHECKPOINT, Action.STOP):
        command = effects.CommandWorker(name, 2, action)
        answer = subject.worker.command(command)
        assert answer.accepted is True and answer.checkpoint is not None


def test_lease_lapse_stops_the_task(subject: Subject, name: str) -> None:
    """Guards against a task that outlives its lease and runs twice."""
    lease = datetime.timedelta(seconds=0.1)
    expired = build_start(name, 1, LONG, -lease)
    assert subject.worker.command(expired).accepted is False
    start = build_start(name, 1, LONG, lease)
    renewed = build_start(name, 2, LONG, HOUR)
    accepted = subject.worker.command(start).accepted
    threading.Event().wait(0.2)
    # A slow machine may deliver the start after its lease: refused is right.
    task = find(subject, name)
    assert accepted is (task is not None)
    assert task is None or task.state is State.STOPPED
    assert subject.worker.command(renewed).accepted is True


@pytest.mark.parametrize(
    ("fault", "accepted", "runs"),
    [
        (worker.Fault.SLOW, None, True),
        (worker.Fault.SILENT, None, False),
        (worker.Fault.ANSWER_LOST, None, True),
        (worker.Fault.FAIL_ALL, True, True),
    ],
)
def test_faults_show_as_lost_or_failed(
    subject: Subject,
    name: str,
    fault: worker.Fault,
    accepted: bool | None,
    runs: bool,
) -> None:
    """Guards against a lost answer that is taken for a refusal."""
    subject.script(fault)
    assert subject.worker.command(build_start(name, 1)).accepted is accepted
    readable = fault is worker.Fault.FAIL_ALL
    assert (subject.worker.read() is not None) is readable
    subject.script(worker.Fault.NONE)
    task = find(subject, name)
    assert (task is not None) is runs
    if fault is worker.Fault.FAIL_ALL:
        assert task is not None and task.state is State.FAILED


def test_time_throttle_and_usage() -> None:
    """Guards against wrong instants: the core is exact on a given clock."""
    subject = CoreWorker()
    second = datetime.timedelta(seconds=1)
    subject.now = read_clock()
    begun = subject.now
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
    assert subject.state.runs[0].ended == begun + 7 * second


def test_refused_connection_is_a_lost_answer() -> None:
    """Guards against a worker that is down and taken for one refusing."""
    caller = conftest.build_caller(conftest.find_closed_port())
    client = worker_adapter.HttpWorker(caller)
    assert client.read() is None
    assert client.command(build_start("t", 1)).accepted is None


@pytest.mark.parametrize("name", conftest.INVALID_REPLIES)
def test_hostile_replies_are_lost_answers(
    answer_bytes: Callable[[bytes], httpcalls.HttpClient], name: str
) -> None:
    """Guards against a crash or a false answer on malformed replies."""
    raw = conftest.INVALID_REPLIES[name]
    client = worker_adapter.HttpWorker(answer_bytes(raw))
    assert client.command(build_start("t", 1)).accepted is None
    client = worker_adapter.HttpWorker(answer_bytes(raw))
    assert client.read() is None


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
def test_hostile_commands_are_refused(
    served: members.Address, target: str, body: bytes
) -> None:
    """Guards against a malformed command that changes the worker."""
    caller = conftest.build_caller(served)
    assert caller.call("POST", target, body).unwrap().status == 400
