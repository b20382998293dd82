"""The steps among which the search chooses."""

import abc
import collections
import dataclasses
from typing import ClassVar

from gypsumhold.model.jobs import effects, runs
from tests.jobs.order_search import processes, small_world, worker_link

PAUSES_MS = (300, 1500, 4000, 11_500)
"""Pauses: a new incarnation is heard and polled; a call without an answer is
given up and its task placed elsewhere; a silent agent gets no more starts;
confirmed leases end, and a successor of the holder places tasks again."""

MAX_WAIT_FOR_CALL_MS = 3000
WAIT_STEP_MS = 1.0
LATE_HEARTBEAT_MS = 3000.0

HELD_KINDS = {
    effects.StartRun: "held_starts",
    effects.StopRun: "held_stops",
    effects.PollWorker: "held_polls",
    effects.SendReport: "lost_reports",
}
"""Names of the limits of the calls that can be held."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How often an order may have each kind of step.

    Attributes:
        held_starts: Starts that are held.
        held_stops: Stops that are held.
        held_polls: Polls that are held.
        held_acknowledgements: Polls that acknowledge ends and are held.
        restarts: Restarts of workers.
        worker_losses: Losses of workers, which come back by a step. Where it is
            above 0, the platform lists the workers that are up.
        late_heartbeats: Restarts whose first heartbeat is late.
        worker_cuts: Cuts between an agent and its worker.
        agent_cuts: Cuts between an agent and the holder.
        agent_restarts: Restarts of agents.
        lost_reports: Reports that are lost.
        ends: Runs that finish.
        lost_holders: Losses of the holder.
        pauses: Pauses.
        pause_lengths_ms: How long pauses may be, shortest first.
    """

    held_starts: int = 2
    held_stops: int = 0
    held_polls: int = 0
    held_acknowledgements: int = 0
    restarts: int = 2
    worker_losses: int = 0
    late_heartbeats: int = 0
    worker_cuts: int = 0
    agent_cuts: int = 0
    agent_restarts: int = 0
    lost_reports: int = 0
    ends: int = 0
    lost_holders: int = 0
    pauses: int = 3
    pause_lengths_ms: tuple[float, ...] = PAUSES_MS


class Step(abc.ABC):
    """One step of an order.

    Attributes:
        kind: Name of the limit that it counts against; empty for none.
        may_start_runs: Whether a run may begin while the step is taken.
    """

    kind: ClassVar[str] = ""
    may_start_runs: ClassVar[bool] = False

    @abc.abstractmethod
    def take(self, world: small_world.SmallWorld) -> bool:
        """Takes the step; tells whether that was possible."""

    @abc.abstractmethod
    def describe(self) -> str:
        """Returns the step in words."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause(Step):
    """Time passes; whatever is due happens.

    Attributes:
        until_ms: When it ends.
        for_ms: How long it lasts.
    """

    until_ms: float
    for_ms: float
    kind: ClassVar[str] = "pauses"
    may_start_runs: ClassVar[bool] = True

    def take(self, world: small_world.SmallWorld) -> bool:
        world.run(self.until_ms - world.now_ms)
        return True

    def describe(self) -> str:
        return f"{self.for_ms / 1000:g} s pass"


@dataclasses.dataclass(frozen=True, slots=True)
class HoldCall(Step):
    """Time passes until the next call of a type is sent, which is held.

    A report is lost instead.

    Attributes:
        effect: Type of the call.
        node: Who sends it; None for anyone.
        acknowledges: Whether it has to be a poll that acknowledges ends.
    """

    effect: type
    node: str | None = None
    acknowledges: bool = False
    may_start_runs: ClassVar[bool] = True

    @property
    def kind(self) -> str:
        if self.acknowledges:
            return "held_acknowledgements"
        return HELD_KINDS[self.effect]

    def take(self, world: small_world.SmallWorld) -> bool:
        world.trap = processes.Trap(self.effect, self.node, self.acknowledges)
        until_ms = world.now_ms + MAX_WAIT_FOR_CALL_MS
        while world.trap is not None and world.now_ms < until_ms:
            world.run(WAIT_STEP_MS)
        was_sent = world.trap is None
        world.trap = None
        return was_sent

    def describe(self) -> str:
        by = "" if self.node is None else f" of {self.node}"
        is_report = self.effect is effects.SendReport
        if self.acknowledges:
            by += " that acknowledges ends"
        what = "is lost" if is_report else "gets no answer and is under way"
        return f"the next {self.effect.__name__}{by} {what}"


@dataclasses.dataclass(frozen=True, slots=True)
class CarryOut(Step):
    """A held call is carried out now."""

    index: int
    may_start_runs: ClassVar[bool] = True

    def take(self, world: small_world.SmallWorld) -> bool:
        world.carry_out_held(self.index)
        return True

    def describe(self) -> str:
        number = ("first", "second", "third", "fourth")[self.index]
        return f"the {number} call under way is carried out"


@dataclasses.dataclass(frozen=True, slots=True)
class RestartWorker(Step):
    """A worker restarts under its name."""

    node: str
    heartbeat_ms: float
    kind: ClassVar[str] = "restarts"

    def take(self, world: small_world.SmallWorld) -> bool:
        world.restart_worker(self.node, self.heartbeat_ms)
        return True

    def describe(self) -> str:
        late = self.heartbeat_ms >= LATE_HEARTBEAT_MS
        suffix = ", its first heartbeat is late" if late else ""
        return f"the worker of {self.node} restarts{suffix}"


@dataclasses.dataclass(frozen=True, slots=True)
class LoseWorker(Step):
    """A worker is down, with all that ran on it."""

    node: str
    kind: ClassVar[str] = "worker_losses"

    def take(self, world: small_world.SmallWorld) -> bool:
        world.lose_worker(self.node)
        return True

    def describe(self) -> str:
        return f"the worker of {self.node} is lost"


@dataclasses.dataclass(frozen=True, slots=True)
class BringBackWorker(Step):
    """A lost worker is up under its name."""

    node: str

    def take(self, world: small_world.SmallWorld) -> bool:
        world.bring_back_worker(self.node, worker_link.FIRST_HEARTBEAT_MS)
        return True

    def describe(self) -> str:
        return f"the worker of {self.node} is back under its name"


@dataclasses.dataclass(frozen=True, slots=True)
class CutWorker(Step):
    """An agent and its worker no longer reach each other."""

    node: str
    kind: ClassVar[str] = "worker_cuts"

    def take(self, world: small_world.SmallWorld) -> bool:
        world.processes[self.node].cut_worker = True
        return True

    def describe(self) -> str:
        return f"the worker of {self.node} is cut off"


@dataclasses.dataclass(frozen=True, slots=True)
class CutAgent(Step):
    """An agent no longer reaches the entries."""

    node: str
    kind: ClassVar[str] = "agent_cuts"

    def take(self, world: small_world.SmallWorld) -> bool:
        node = world.processes[self.node]
        node.cut = node.cut_store = True
        return True

    def describe(self) -> str:
        return f"{self.node} is cut off from the entries and the store"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejoin(Step):
    """An agent reaches its worker and the entries again."""

    node: str

    def take(self, world: small_world.SmallWorld) -> bool:
        node = world.processes[self.node]
        node.cut = node.cut_store = node.cut_worker = False
        return True

    def describe(self) -> str:
        return f"{self.node} reaches its worker and the entries again"


@dataclasses.dataclass(frozen=True, slots=True)
class RestartAgent(Step):
    """An agent's process is killed and starts again."""

    node: str
    kind: ClassVar[str] = "agent_restarts"

    def take(self, world: small_world.SmallWorld) -> bool:
        world.restart_process(self.node)
        return True

    def describe(self) -> str:
        return f"{self.node} restarts"


@dataclasses.dataclass(frozen=True, slots=True)
class LoseHolder(Step):
    """The holder is lost for good."""

    kind: ClassVar[str] = "lost_holders"

    def take(self, world: small_world.SmallWorld) -> bool:
        holder = world.find_holder()
        if holder is None:
            return False
        world.kill_process(holder)
        return True

    def describe(self) -> str:
        return "the holder is lost for good"


@dataclasses.dataclass(frozen=True, slots=True)
class FinishRun(Step):
    """A run finishes by itself."""

    node: str
    task: runs.TaskRef
    end: runs.RunEnd
    kind: ClassVar[str] = "ends"

    def take(self, world: small_world.SmallWorld) -> bool:
        world.end_run(self.node, self.task, self.end)
        return True

    def describe(self) -> str:
        return (
            f"the run of task {self.task.index} on the worker of {self.node}"
            f" ends as {self.end.value}"
        )


def list_steps(
    world: small_world.SmallWorld, path: tuple[Step, ...], limits: Limits
) -> list[Step]:
    """Returns the steps that may follow an order."""
    last = path[-1] if path else None
    steps = [
        *_list_held_calls(world, limits),
        *(
            CarryOut(index)
            for index, call in enumerate(world.held)
            if world.is_up(call.node)
        ),
        *_list_faults(world, limits),
        *_list_ends(world),
        *_list_pauses(world.now_ms, last, limits),
    ]
    used = count_steps(path)
    return [
        step
        for step in steps
        if all(used[kind] < getattr(limits, kind) for kind in _list_kinds(step))
    ]


def count_steps(path: tuple[Step, ...]) -> collections.Counter[str]:
    """Returns how often an order has the steps of each limit."""
    return collections.Counter(
        kind for step in path for kind in _list_kinds(step)
    )


def describe_rest(path: tuple[Step, ...]) -> str:
    """Returns what decides which steps may follow, apart from the world."""
    used = sorted(count_steps(path).items())
    return f"{used} {bool(path) and isinstance(path[-1], Pause)}"


def _list_kinds(step: Step) -> list[str]:
    """Returns the limits that a step counts against."""
    kinds = [step.kind] if step.kind else []
    return [*kinds, "late_heartbeats"] if _is_heard_late(step) else kinds


def _is_heard_late(step: Step) -> bool:
    return (
        isinstance(step, RestartWorker)
        and step.heartbeat_ms >= LATE_HEARTBEAT_MS
    )


def _list_pauses(
    now_ms: float, last: Step | None, limits: Limits
) -> list[Step]:
    """Returns the pauses by length; after a pause only the longest one."""
    lengths = limits.pause_lengths_ms
    if isinstance(last, Pause):
        lengths = lengths[-1:]
    return [Pause(now_ms + for_ms, for_ms) for for_ms in lengths]


def _list_held_calls(
    world: small_world.SmallWorld, limits: Limits
) -> list[Step]:
    steps: list[Step] = [HoldCall(effects.StartRun)]
    if limits.held_stops:
        steps.append(HoldCall(effects.StopRun))
    if limits.held_acknowledgements:
        steps.append(HoldCall(effects.PollWorker, acknowledges=True))
    for name in world.workers:
        if limits.held_polls:
            steps.append(HoldCall(effects.PollWorker, name))
        if limits.lost_reports:
            steps.append(HoldCall(effects.SendReport, name))
    return steps


def _list_faults(world: small_world.SmallWorld, limits: Limits) -> list[Step]:
    steps: list[Step] = []
    for name in world.workers:
        node = world.processes[name]
        if world.is_up(name):
            steps.append(RestartWorker(name, worker_link.FIRST_HEARTBEAT_MS))
            steps.append(RestartWorker(name, LATE_HEARTBEAT_MS))
            steps.append(LoseWorker(name))
        else:
            steps.append(BringBackWorker(name))
        if not node.cut_worker:
            steps.append(CutWorker(name))
        if not node.cut:
            steps.append(CutAgent(name))
        if node.cut or node.cut_worker:
            steps.append(Rejoin(name))
        if node.alive:
            steps.append(RestartAgent(name))
    if limits.lost_holders:
        steps.append(LoseHolder())
    return steps


def _list_ends(world: small_world.SmallWorld) -> list[Step]:
    steps: list[Step] = []
    for name, worker in world.workers.items():
        worker.advance(world.now_ms)
        for task in worker.running:
            steps.append(FinishRun(name, task, runs.RunEnd.DONE))
            steps.append(FinishRun(name, task, runs.RunEnd.FAILED))
    return steps
