"""Judges what the fakes saw against the invariants of the design page.

It knows nothing of the reducer's state but committed resources and the
configuration in force, which the programs show to operators.
"""

import collections
import dataclasses
import datetime

from gypsumhold.model import (
    agent,
    declarations,
    effects,
    events,
    ids,
    requests,
    rows,
    states,
)
from gypsumhold_standin import upstream, worker

Placement = tuple[ids.TaskId, ids.Epoch]
NOT_STARTED = (states.Outcome.NOT_RUN, states.Outcome.IN_PROGRESS)
NOT_ACCEPTED = (
    states.SubmissionResult.CONFLICT,
    states.SubmissionResult.UNAVAILABLE,
)


@dataclasses.dataclass(slots=True)
class Machine:
    """A worker with the offset of its clock and where it is."""

    instance: str
    worker: worker.Worker
    offset: datetime.timedelta


class Oracle:
    """Facts recorded so far; each `see_` method checks one more."""

    def __init__(self) -> None:
        self.sent: dict[ids.RequestId, requests.Request] = {}
        self.homes: dict[ids.RequestId, str] = {}
        self.results: dict[ids.RequestId, requests.Result] = {}
        self.runs: collections.Counter[ids.RequestId] = collections.Counter()
        self.ticket_answers: dict[
            ids.TicketId, effects.AnswerTicket | None
        ] = {}
        self.ticket_homes: dict[ids.TicketId, str] = {}
        self.changes: dict[ids.ConfigVersion, declarations.Change] = {}
        self.configurations: dict[
            ids.ConfigVersion, declarations.Configuration
        ] = {ids.ConfigVersion(0): declarations.EMPTY}
        self.tasks: dict[ids.TaskId, rows.TaskRow] = {}
        self._answers: dict[str, requests.Answer] = {}
        self._keyed: collections.Counter[str] = collections.Counter()
        self._placed: dict[Placement, rows.TaskRow] = {}
        self._checkpoints: dict[Placement, ids.CheckpointRef | None] = {}
        self._partitions: dict[ids.RowKey, ids.Epoch] = {}
        self._machines: list[Machine] = []
        self._versions: dict[tuple[str, int], ids.ConfigVersion] = {}
        self._drained: set[str] = set()
        self._leaving: set[str] = set()
        self._late: set[requests.AttemptKey | Placement] = set()

    # Requests.

    def record_request(self, home: str, request: requests.Request) -> None:
        """Notes a request before its entry gets it."""
        self.sent[request.request_id] = request
        self.homes[request.request_id] = home

    def see_death(self, name: str) -> None:
        """A dead process owes no answers; a restart is not drained."""
        for homes in (self.homes, self.ticket_homes):
            for key in [key for key, home in homes.items() if home == name]:
                del homes[key]
        self._drained.discard(name)
        self._leaving.discard(name)

    def see_event(self, name: str, event: events.Event) -> None:
        """Notes which work reaches an agent that is already leaving."""
        if isinstance(event, events.DrainRequested):
            self._drained.add(name)
        elif isinstance(event, events.UpstreamReported):
            if event.report.draining:
                self._leaving.add(name)
            else:
                self._leaving.discard(name)
        elif isinstance(event, events.DispatchArrived):
            sent = event.dispatch
            if name in self._drained | self._leaving:
                key = requests.AttemptKey(sent.request_id, sent.attempt)
                self._late.add(key)
        elif isinstance(event, events.StartsArrived) and name in self._drained:
            self._late.update(
                (item.task_id, item.epoch) for item in event.starts
            )

    def see_run(
        self,
        name: str,
        found: upstream.Upstream,
        key: requests.AttemptKey,
    ) -> None:
        """Checks a request that an upstream begins to run."""
        request = self.sent[key.request_id]
        self.runs[key.request_id] += 1
        limit = min(found.options.slots, found.options.connections)
        assert found.busy <= limit, f"(a) {name} overloads its upstream"
        result = self.results.get(key.request_id)
        assert result is None or result.outcome not in NOT_STARTED, (
            f"(d) {key} runs after the answer {result}"
        )
        if request.kind == "pay":
            name_of_key = f"{request.organisation}/{request.key}"
            self._keyed[name_of_key] += 1
            assert self._keyed[name_of_key] == 1, (
                f"(e) {name_of_key} runs a second time as {key}"
            )
        assert key not in self._late, f"(i) {name} takes {key} while leaving"

    def see_answer(
        self, request_id: ids.RequestId, result: requests.Result
    ) -> None:
        """Checks the final outcome of a request."""
        assert request_id in self.sent, f"(f) {request_id} was never sent"
        assert request_id not in self.results, (
            f"(f) {request_id} is answered again: {result}"
        )
        self.results[request_id] = result
        if result.outcome in NOT_STARTED:
            assert not self.runs[request_id], (
                f"(d) {request_id} ran and ends as {result}"
            )
        if result.outcome is states.Outcome.COMPLETED:
            self._check_whole(self.sent[request_id], result)

    def _check_whole(
        self, request: requests.Request, result: requests.Result
    ) -> None:
        assert result.answer is not None, f"(f) {request} lacks its answer"
        headers = {name.lower(): text for name, text in result.answer.headers}
        runner = headers["x-echo-gypsumhold-request-id"]
        assert result.answer.body == request.payload.body, (
            f"(f) {request} gets the answer of {runner}"
        )
        if request.kind != "pay":
            assert runner == request.request_id, f"(f) {runner}: {request}"
            return
        name = f"{request.organisation}/{request.key}"
        first = self._answers.setdefault(name, result.answer)
        assert first == result.answer, f"(f) {name} has two answers"

    # Tickets.

    def record_ticket(self, home: str, ticket: ids.TicketId) -> None:
        """Notes an operation on tasks or the configuration."""
        self.ticket_answers[ticket] = None
        self.ticket_homes[ticket] = home

    def see_ticket(self, name: str, answer: effects.AnswerTicket) -> None:
        """Checks that an operation is answered once, and truthfully."""
        assert answer.owner in self.ticket_answers, f"(f) unknown {answer}"
        assert self.ticket_answers[answer.owner] is None, f"(f) again {answer}"
        self.ticket_answers[answer.owner] = answer
        accepted = answer.result is states.SubmissionResult.ACCEPTED
        if accepted and answer.task_id:
            assert answer.task_id in self.tasks, (
                f"{answer} before the task is committed"
            )
        if accepted and answer.version:
            change = self.changes.get(answer.version)
            assert change is not None and change.author == answer.owner, (
                f"(g) {answer} but the table has {change}"
            )
        if answer.result in NOT_ACCEPTED:
            self._check_refused(answer.owner)

    def _check_refused(self, ticket: str) -> None:
        authors = {change.author for change in self.changes.values()}
        assert ticket not in authors, f"(g) refused {ticket} is in force"

    # Table.

    def see_commit(self, transaction: rows.Transaction) -> None:
        """Checks the rows of a committed transaction."""
        for write in transaction.writes:
            value = write.value
            if isinstance(value, rows.TaskRow):
                self._check_task(value)
            elif isinstance(value, rows.ChangeRow):
                self._check_change(value.change)
            elif isinstance(value, rows.PartitionRow):
                known = self._partitions.get(write.key, 0)
                assert value.epoch >= known, f"{write.key} epoch goes down"
                self._partitions[write.key] = value.epoch

    def _check_task(self, row: rows.TaskRow) -> None:
        known = self.tasks.get(row.task_id)
        if known is not None:
            final = known.state in states.FINAL_TASK_STATES
            assert not final or row == known, f"(h) {known} becomes {row}"
            assert row.epoch >= known.epoch, f"(h) {known} becomes {row}"
            if row.evictions > known.evictions:
                kept = self._checkpoints.get((row.task_id, row.epoch))
                assert row.checkpoint == kept, f"(c) {row} loses {kept}"
        self.tasks[row.task_id] = row
        if row.state is states.TaskState.ASSIGNED:
            self._placed.setdefault((row.task_id, row.epoch), row)

    def _check_change(self, change: declarations.Change) -> None:
        assert change.version == len(self.changes) + 1, (
            f"(g) {change} follows version {len(self.changes)}"
        )
        self.changes[change.version] = change
        before = self.configurations[ids.ConfigVersion(change.version - 1)]
        after = declarations.apply_change(before, change)
        self.configurations[change.version] = after
        answer = self.ticket_answers.get(ids.TicketId(change.author))
        assert answer is None or answer.result not in NOT_ACCEPTED, (
            f"(g) {answer} and then {change}"
        )

    # Processes.

    def see_state(self, name: str, life: int, state: object) -> None:
        """Checks committed resources and the configuration in force."""
        configuration = state.configuration
        known = self._versions.get((name, life), 0)
        assert configuration.version >= known, (
            f"(g) {name} goes back from {known} to {configuration.version}"
        )
        if configuration.version != known:
            right = self.configurations[configuration.version]
            assert configuration == right, (
                f"(g) {name} has another content of {configuration.version}"
            )
            self._versions[name, life] = configuration.version
        if isinstance(state, agent.AgentState) and state.capacity is not None:
            self._check_committed(name, state)

    def _check_committed(self, name: str, state: agent.AgentState) -> None:
        held = state.upstream.reserved if state.upstream else None
        if held is None:
            return
        for execution in state.executions.values():
            held = held + execution.committed
        assert held.fits_in(state.capacity), (
            f"(a) {name} commits {held} of {state.capacity}"
        )

    # Workers.

    def see_worker(
        self, instance: str, found: worker.Worker, offset: datetime.timedelta
    ) -> None:
        """Watches one more life of a worker."""
        self._machines.append(Machine(instance, found, offset))

    def see_worker_end(
        self, found: worker.Worker, clock: datetime.timedelta
    ) -> None:
        """Notes that nothing of this life of a worker goes on."""
        worker.advance(found, clock)
        for number, run in enumerate(found.runs):
            if run.ended is None:
                found.runs[number] = dataclasses.replace(run, ended=clock)
        found.tasks.clear()

    def see_start(self, instance: str, start: object) -> None:
        """Checks a start against the committed assignment."""
        placement = (start.task_id, start.epoch)
        row = self._placed.get(placement)
        assert row is not None and row.instance == instance, (
            f"(b) {instance} starts {start} without an assignment: {row}"
        )
        assert row.checkpoint == start.checkpoint, (
            f"(c) {start} does not resume from {row.checkpoint}"
        )
        assert placement not in self._late, (
            f"(i) {instance} starts {placement} while it drains"
        )

    def see_commanded(
        self, found: worker.Worker, command: effects.CommandWorker
    ) -> None:
        """Notes the checkpoint that a worker has after a command."""
        task = found.tasks.get(command.task_id)
        if task is not None:
            placement = (command.task_id, task.start.epoch)
            self._checkpoints[placement] = task.checkpoint

    def check_exclusive_runs(self, now: datetime.timedelta) -> None:
        """Checks that no task runs in two workers at one instant."""
        spans = collections.defaultdict(list)
        for machine in self._machines:
            worker.advance(machine.worker, now + machine.offset)
            for run in machine.worker.runs:
                ended = now if run.ended is None else run.ended - machine.offset
                span = (run.started - machine.offset, ended, machine.instance)
                spans[run.task_id].append((*span, run.epoch))
        for task_id, found in spans.items():
            found.sort()
            for before, after in zip(found, found[1:], strict=False):
                assert before[1] <= after[0], (
                    f"(b) {task_id} runs twice: {before} and {after}"
                )
