"""A small deployment: entries, and agents with a worker each."""

import datetime
import functools
import random
from collections.abc import Callable
from typing import Any

from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    scheduler,
    scheduler_options,
    specs,
)
from tests.jobs import (
    job_specs,
    nodes,
)
from tests.jobs.order_search import peer_link, processes, worker_link

PROCESS_RESTART_MS = 100.0
AGE_MS = 60_000.0
"""Time for which all processes have run when a search begins."""

WORK_MS = 15_000
JOB = specs.JobId("j")


class FixedRandom(random.Random):
    """A source without randomness, so that equal states go on equally."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, _k: int, /) -> int:
        return 0

    def __reduce__(self) -> tuple[type, tuple[()]]:
        return (FixedRandom, ())


class SmallWorld(peer_link.PeerLink, worker_link.WorkerLink):
    """Entries, and agents with a worker each, around one queue.

    A job with tasks that end by themselves has just been submitted.

    Attributes:
        lists_workers: Whether the platform lists the workers that are up.
    """

    def __init__(
        self,
        agents: int,
        entries: int,
        tasks: int,
        *,
        lists_workers: bool = False,
    ) -> None:
        super().__init__()
        self.lists_workers = lists_workers
        for number in range(entries):
            self._add_process(f"entry-{number}", number)
            self.run(5000)
        for number in range(agents):
            name = f"agent-{number}"
            self._add_worker(name, number)
            self._add_process(name, 100 + number)
            self._send_heartbeat(name)
        self.run(AGE_MS)
        self._submit(tasks)

    def _submit(self, tasks: int) -> None:
        cpu_millis = 8000 if tasks > 1 else 1000
        step = specs.StepSpec(tasks, cpu_millis, 100, estimate_ms=WORK_MS)
        spec = job_specs.build_job_of(JOB, (step,))
        wait = datetime.timedelta(seconds=3)
        submitted = events.SubmitArrived(ids.TicketId("s"), spec, wait)
        self.deliver("entry-0", submitted)

    def _add_process(self, name: str, number: int) -> None:
        address = members.Address("10.0.0.1", 1000 + number)
        self.processes[name] = nodes.Node(name, address, None)
        self._start_process(name)

    def _start_process(self, name: str) -> None:
        node = self.processes[name]
        node.alive = True
        node.incarnation += 1
        node.timers.clear()
        endpoint = messages.Endpoint(node.address.host, node.address.port)
        incarnation = ids.Incarnation(
            processes.WALL_OFFSET_MS + int(self.now_ms)
        )
        if name.startswith("entry"):
            node.state = scheduler.SchedulerState(
                scheduler_options.SchedulerOptions(
                    name,
                    incarnation,
                    endpoint,
                    lists_workers=self.lists_workers,
                ),
                policy_sets.build_scheduler_policies(),
                rng=FixedRandom(),
            )
            self.deliver(name, events.SchedulerStarted())
        else:
            node.state = executor.ExecutorState(
                executor.ExecutorOptions(
                    ids.InstanceId(name), incarnation, endpoint
                ),
                policy_sets.build_executor_policies(),
            )
            self.deliver(name, events.ExecutorStarted())

    def restart_process(self, name: str) -> None:
        self.kill_process(name)
        self.after(
            PROCESS_RESTART_MS, functools.partial(self._start_process, name)
        )

    def kill_process(self, name: str) -> None:
        node = self.processes[name]
        node.alive = False
        node.incarnation += 1

    def find_holder(self) -> str | None:
        """Returns the name of the entry that holds the queue, if any."""
        for name, node in self.processes.items():
            is_entry = isinstance(node.state, scheduler.SchedulerState)
            if is_entry and node.alive and node.state.holder_state is not None:
                return name
        return None

    def _perform(self, name: str, effect: base_effects.Effect) -> None:
        performers: dict[type, Callable[[str, Any], None]] = {
            base_effects.SetTimer: self._set_timer,
            effects.Log: self._log,
            effects.ReplyReport: self._reply_report,
            effects.SendReport: self._send_report,
            effects.PushDirectives: self._push,
            effects.ListWorkers: self._list_workers,
            effects.PollWorker: self._call_worker,
            effects.StartRun: self._call_worker,
            effects.StopRun: self._call_worker,
            effects.ThrottleRun: self._call_worker,
        }
        if isinstance(
            effect,
            effects.AnswerQuery
            | effects.MeasureWait
            | effects.SampleWaits
            | effects.MeasureNearWait
            | base_effects.Stopped,
        ):
            return
        performers.get(type(effect), self._call_store)(name, effect)
