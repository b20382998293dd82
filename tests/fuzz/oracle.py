"""Checks the invariants of the design page against a simulated deployment.

The oracle records what the simulated store, workers and upstreams do. Of the
state of entries and agents, it reads only the committed resources and the
configuration in force, which the programs show to operators as well. The
letter in a message is the letter of the violated invariant.
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
# A request with one of these outcomes must not have run.
OUTCOMES_WITHOUT_RUN = (states.Outcome.NOT_RUN, states.Outcome.IN_PROGRESS)
# A change with one of these results must never take effect.
RESULTS_WITHOUT_EFFECT = (
    states.SubmissionResult.CONFLICT,
    states.SubmissionResult.UNAVAILABLE,
)


@dataclasses.dataclass(slots=True)
class ObservedWorker:
    """One incarnation of a worker.

    Attributes:
        instance: Name of its instance.
        worker: State of the worker.
        clock_offset: Time by which the clock of its instance is ahead of the
            virtual time of the deployment.
    """

    instance: str
    worker: worker.Worker
    clock_offset: datetime.timedelta


class Oracle:
    """Records the facts of one run and checks each new one against them.

    Attributes:
        requests: Every request that was sent.
        request_entries: Entry that has to answer each request. Requests of an
            entry that died are left out.
        results: Result of each answered request.
        run_counts: How often each request began to run on an upstream.
        ticket_answers: Answer to each ticket of an operation on tasks or the
            configuration; None until it is answered.
        ticket_entries: Entry that has to answer each ticket. Tickets of an
            entry that died are left out.
        changes: Committed change of each configuration version.
        configurations: Configuration of each version.
        tasks: Last committed row of each task.
    """

    def __init__(self) -> None:
        self.requests: dict[ids.RequestId, requests.Request] = {}
        self.request_entries: dict[ids.RequestId, str] = {}
        self.results: dict[ids.RequestId, requests.Result] = {}
        self.run_counts: collections.Counter[ids.RequestId] = (
            collections.Counter()
        )
        self.ticket_answers: dict[
            ids.TicketId, effects.AnswerTicket | None
        ] = {}
        self.ticket_entries: dict[ids.TicketId, str] = {}
        self.changes: dict[ids.ConfigVersion, declarations.Change] = {}
        self.configurations: dict[
            ids.ConfigVersion, declarations.Configuration
        ] = {ids.ConfigVersion(0): declarations.EMPTY}
        self.tasks: dict[ids.TaskId, rows.TaskRow] = {}
        self._answers_by_key: dict[str, requests.Answer] = {}
        self._run_counts_by_key: collections.Counter[str] = (
            collections.Counter()
        )
        self._assigned_rows: dict[Placement, rows.TaskRow] = {}
        self._checkpoints: dict[Placement, ids.CheckpointRef | None] = {}
        self._partition_epochs: dict[ids.RowKey, ids.Epoch] = {}
        self._workers: list[ObservedWorker] = []
        self._config_versions: dict[tuple[str, int], ids.ConfigVersion] = {}
        self._draining_agents: set[str] = set()
        self._draining_upstreams: set[str] = set()
        self._arrived_while_draining: set[requests.AttemptKey | Placement] = (
            set()
        )

    # Requests.

    def record_request(self, entry: str, request: requests.Request) -> None:
        """Records a request just before it arrives at an entry."""
        self.requests[request.request_id] = request
        self.request_entries[request.request_id] = entry

    def record_death(self, name: str) -> None:
        """Records that a process died.

        The process need no longer answer its requests and tickets. It no longer
        drains after a restart.
        """
        for entries in (self.request_entries, self.ticket_entries):
            for key in [key for key, entry in entries.items() if entry == name]:
                del entries[key]
        self._draining_agents.discard(name)
        self._draining_upstreams.discard(name)

    def record_event(self, name: str, event: events.Event) -> None:
        """Records drains, and the work that arrives at an agent after them."""
        if isinstance(event, events.DrainRequested):
            self._draining_agents.add(name)
        elif isinstance(event, events.UpstreamReported):
            if event.report.draining:
                self._draining_upstreams.add(name)
            else:
                self._draining_upstreams.discard(name)
        elif isinstance(event, events.DispatchArrived):
            dispatch = event.dispatch
            if name in self._draining_agents | self._draining_upstreams:
                key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
                self._arrived_while_draining.add(key)
        elif (
            isinstance(event, events.StartsArrived)
            and name in self._draining_agents
        ):
            self._arrived_while_draining.update(
                (start.task_id, start.epoch) for start in event.starts
            )

    def check_request_run(
        self,
        instance: str,
        target: upstream.Upstream,
        key: requests.AttemptKey,
    ) -> None:
        """Checks an attempt that the upstream of an instance begins to run."""
        request = self.requests[key.request_id]
        self.run_counts[key.request_id] += 1
        limit = min(target.options.slots, target.options.connections)
        assert target.busy <= limit, f"(a) {instance} overloads its upstream"
        result = self.results.get(key.request_id)
        assert result is None or result.outcome not in OUTCOMES_WITHOUT_RUN, (
            f"(d) {key} runs although its request was answered with {result}"
        )
        if request.kind == "pay":
            scoped_key = f"{request.organisation}/{request.key}"
            self._run_counts_by_key[scoped_key] += 1
            assert self._run_counts_by_key[scoped_key] == 1, (
                f"(e) {scoped_key} runs a second time as {key}"
            )
        assert key not in self._arrived_while_draining, (
            f"(i) {instance} runs {key}, which arrived while it drained"
        )

    def check_result(
        self, request_id: ids.RequestId, result: requests.Result
    ) -> None:
        """Checks the result with which an entry answers a request."""
        assert request_id in self.requests, f"(f) {request_id} was never sent"
        assert request_id not in self.results, (
            f"(f) {request_id} is answered a second time: {result}"
        )
        self.results[request_id] = result
        if result.outcome in OUTCOMES_WITHOUT_RUN:
            assert not self.run_counts[request_id], (
                f"(d) {request_id} ran but is answered with {result}"
            )
        if result.outcome is states.Outcome.COMPLETED:
            self._check_answer(self.requests[request_id], result)

    def _check_answer(
        self, request: requests.Request, result: requests.Result
    ) -> None:
        """Checks that the answer belongs to the request.

        Requests of the kind "pay" with the same key all get the answer of the
        only one that ran; other requests get their own.
        """
        assert result.answer is not None, (
            f"(f) {request} completed without an answer"
        )
        headers = {name.lower(): value for name, value in result.answer.headers}
        answered_id = headers["x-echo-gypsumhold-request-id"]
        assert result.answer.body == request.payload.body, (
            f"(f) {request} gets the answer of {answered_id}"
        )
        if request.kind != "pay":
            assert answered_id == request.request_id, (
                f"(f) the answer of {answered_id} goes to {request}"
            )
            return
        scoped_key = f"{request.organisation}/{request.key}"
        first = self._answers_by_key.setdefault(scoped_key, result.answer)
        assert first == result.answer, (
            f"(f) {scoped_key} gets two different answers"
        )

    # Tickets.

    def record_ticket(self, entry: str, ticket: ids.TicketId) -> None:
        """Records an operation on tasks or the configuration."""
        self.ticket_answers[ticket] = None
        self.ticket_entries[ticket] = entry

    def check_ticket_answer(
        self, entry: str, answer: effects.AnswerTicket
    ) -> None:
        """Checks that an operation is answered once, in line with the table.

        Args:
            entry: Entry that answers.
            answer: The answer.
        """
        assert answer.owner in self.ticket_answers, (
            f"(f) the ticket of {answer} is unknown"
        )
        assert self.ticket_answers[answer.owner] is None, (
            f"(f) the ticket of {answer} has been answered already"
        )
        self.ticket_answers[answer.owner] = answer
        accepted = answer.result is states.SubmissionResult.ACCEPTED
        if accepted and answer.task_id:
            assert answer.task_id in self.tasks, (
                f"{answer} precedes the commit of the task"
            )
        if accepted and answer.version:
            change = self.changes.get(answer.version)
            assert change is not None and change.author == answer.owner, (
                f"(g) {answer}, but the table has {change}"
            )
        if answer.result in RESULTS_WITHOUT_EFFECT:
            self._check_not_committed(answer.owner)

    def _check_not_committed(self, ticket: str) -> None:
        """Checks that no change of the ticket has been committed."""
        authors = {change.author for change in self.changes.values()}
        assert ticket not in authors, (
            f"(g) the change of {ticket} is committed, but was refused"
        )

    # Table.

    def check_commit(self, transaction: rows.Transaction) -> None:
        """Checks the rows of a committed transaction."""
        for write in transaction.writes:
            value = write.value
            if isinstance(value, rows.TaskRow):
                self._check_task(value)
            elif isinstance(value, rows.ChangeRow):
                self._check_change(value.change)
            elif isinstance(value, rows.PartitionRow):
                previous_epoch = self._partition_epochs.get(write.key, 0)
                assert value.epoch >= previous_epoch, (
                    f"the epoch of {write.key} decreases"
                )
                self._partition_epochs[write.key] = value.epoch

    def _check_task(self, row: rows.TaskRow) -> None:
        """Checks the transition of a task to its new row."""
        previous = self.tasks.get(row.task_id)
        if previous is not None:
            final = previous.state in states.FINAL_TASK_STATES
            assert not final or row == previous, (
                f"(h) final {previous} becomes {row}"
            )
            assert row.epoch >= previous.epoch, (
                f"(h) the epoch decreases: {previous} becomes {row}"
            )
            if row.evictions > previous.evictions:
                written = self._checkpoints.get((row.task_id, row.epoch))
                assert row.checkpoint == written, (
                    f"(c) {row} lacks the checkpoint {written}"
                )
        self.tasks[row.task_id] = row
        if row.state is states.TaskState.ASSIGNED:
            self._assigned_rows.setdefault((row.task_id, row.epoch), row)

    def _check_change(self, change: declarations.Change) -> None:
        """Checks that a change has the next version and was not refused."""
        assert change.version == len(self.changes) + 1, (
            f"(g) {change} follows version {len(self.changes)}"
        )
        self.changes[change.version] = change
        before = self.configurations[ids.ConfigVersion(change.version - 1)]
        after = declarations.apply_change(before, change)
        self.configurations[change.version] = after
        answer = self.ticket_answers.get(ids.TicketId(change.author))
        assert answer is None or answer.result not in RESULTS_WITHOUT_EFFECT, (
            f"(g) {answer} precedes the commit of {change}"
        )

    # Processes.

    def check_state(self, name: str, incarnation: int, state: object) -> None:
        """Checks the configuration in force and the committed resources."""
        configuration = state.configuration
        previous_version = self._config_versions.get((name, incarnation), 0)
        assert configuration.version >= previous_version, (
            f"(g) {name} goes back from version {previous_version}"
            f" to {configuration.version}"
        )
        if configuration.version != previous_version:
            committed = self.configurations[configuration.version]
            assert configuration == committed, (
                f"(g) {name} differs in its content of version"
                f" {configuration.version}"
            )
            self._config_versions[name, incarnation] = configuration.version
        if isinstance(state, agent.AgentState) and state.capacity is not None:
            self._check_committed_resources(name, state)

    def _check_committed_resources(
        self, name: str, state: agent.AgentState
    ) -> None:
        """Checks that reserved and committed resources fit in the capacity."""
        used = state.upstream.reserved if state.upstream else None
        if used is None:
            return
        for execution in state.executions.values():
            used = used + execution.committed
        assert used.fits_in(state.capacity), (
            f"(a) {name} commits {used} of {state.capacity}"
        )

    # Workers.

    def add_worker(
        self,
        instance: str,
        added: worker.Worker,
        clock_offset: datetime.timedelta,
    ) -> None:
        """Adds a new incarnation of the worker of an instance."""
        self._workers.append(ObservedWorker(instance, added, clock_offset))

    def end_worker_runs(
        self, ended: worker.Worker, clock: datetime.timedelta
    ) -> None:
        """Ends all runs of an incarnation of a worker at its restart.

        Args:
            ended: The worker.
            clock: Reading of its instance's clock at the restart.
        """
        worker.advance(ended, clock)
        for number, run in enumerate(ended.runs):
            if run.ended is None:
                ended.runs[number] = dataclasses.replace(run, ended=clock)
        ended.tasks.clear()

    def check_start(self, instance: str, start: object) -> None:
        """Checks a start on a worker against the committed assignment."""
        placement = (start.task_id, start.epoch)
        row = self._assigned_rows.get(placement)
        assert row is not None and row.instance == instance, (
            f"(b) {instance} starts {start} without an assignment: {row}"
        )
        assert row.checkpoint == start.checkpoint, (
            f"(c) {start} does not resume from {row.checkpoint}"
        )
        assert placement not in self._arrived_while_draining, (
            f"(i) {instance} starts {placement}, which arrived while it drained"
        )

    def record_checkpoint(
        self, commanded: worker.Worker, command: effects.CommandWorker
    ) -> None:
        """Records the checkpoint of a task after a command to its worker."""
        task = commanded.tasks.get(command.task_id)
        if task is not None:
            placement = (command.task_id, task.start.epoch)
            self._checkpoints[placement] = task.checkpoint

    def check_exclusive_runs(self, now: datetime.timedelta) -> None:
        """Checks that no task ran on two workers at the same time.

        Args:
            now: Present virtual time of the deployment.
        """
        spans = collections.defaultdict(list)
        for observed in self._workers:
            worker.advance(observed.worker, now + observed.clock_offset)
            for run in observed.worker.runs:
                ended = (
                    now
                    if run.ended is None
                    else run.ended - observed.clock_offset
                )
                span = (
                    run.started - observed.clock_offset,
                    ended,
                    observed.instance,
                )
                spans[run.task_id].append((*span, run.epoch))
        for task_id, task_spans in spans.items():
            task_spans.sort()
            for before, after in zip(task_spans, task_spans[1:], strict=False):
                assert before[1] <= after[0], (
                    f"(b) {task_id} runs twice at once: {before} and {after}"
                )
