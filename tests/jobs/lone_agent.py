"""One agent whose worker and holder are played by the test."""

import datetime

from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import policy_sets, report_timers
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    runs,
)
from tests.jobs import builders

NOW = datetime.timedelta(seconds=10)
MILLISECOND = datetime.timedelta(milliseconds=1)
GRANT_MS = 7000
WORKER = runs.WorkerIncarnation("i-1", 1_000_000)
HOLDER = messages.Endpoint("10.0.0.3", 1)


class LoneAgent:
    """An executor with a worker that has answered its first poll."""

    def __init__(self) -> None:
        self.state = executor.ExecutorState(
            executor.ExecutorOptions(
                ids.InstanceId("agent"),
                ids.Incarnation(1000),
                messages.Endpoint("10.0.0.1", 1),
            ),
            policy_sets.build_executor_policies(),
        )
        self.now = NOW
        self.heartbeats = 0
        self.incarnation = WORKER
        self.deliver(events.ExecutorStarted())
        self.deliver_heartbeat()
        self.poll()

    def outlive_former_starts(self) -> None:
        """Waits until no start of a former process can be carried out."""
        limits = self.state.options.limits
        self.now += limits.measure_longest_late_run() + MILLISECOND
        self.poll()

    def deliver_heartbeat(self) -> base_effects.Effects:
        self.heartbeats += 1
        worker = builders.build_worker(self.incarnation, self.heartbeats)
        return self.deliver(events.HeartbeatReceived(worker))

    def restart_worker(self, started_ms: int) -> None:
        """Lets the agent hear of the next incarnation, and poll it."""
        self.incarnation = runs.WorkerIncarnation("i-1", started_ms)
        self.deliver_heartbeat()
        self.poll()

    def deliver(self, event: events.Event) -> base_effects.Effects:
        """Delivers an event; returns what the agent does."""
        self.now += MILLISECOND
        return reducer.reduce(self.state, event, self.now)

    def wait(self, for_ms: float) -> None:
        self.now += for_ms * MILLISECOND

    def read_clock(self) -> events.WorkerClock:
        elapsed_ms = (self.now - NOW) // MILLISECOND
        return events.WorkerClock(elapsed_ms, self.now, self.now)

    def poll(
        self, ends: tuple[runs.EndRow, ...] = (), *, is_complete: bool = True
    ) -> None:
        """Answers a poll that was sent just now."""
        self.now += MILLISECOND
        self.deliver(
            events.WorkerPolled(
                self.incarnation,
                self.state.fence,
                events.CommandResult.DONE,
                self.read_clock(),
                self.incarnation.started_ms,
                (),
                ends,
                is_complete,
            )
        )

    def build_directives(
        self,
        sequence: int,
        starts: tuple[runs.RunRef, ...] = (),
        stops: tuple[runs.RunRef, ...] = (),
        withdrawn: tuple[runs.RunRef, ...] = (),
        *,
        late_starts: tuple[runs.RunRef, ...] = (),
        grants: bool = True,
    ) -> messages.Directives:
        return messages.Directives(
            ids.Epoch(1),
            "entry",
            HOLDER,
            ids.Incarnation(1000),
            sequence,
            self.incarnation,
            GRANT_MS if grants else 0,
            starts=tuple(
                runs.StartCommand(ref, "p", runs.Checkpoint(""), 1, 1, 0)
                for ref in starts
            ),
            stops=stops,
            withdrawn=withdrawn,
            late_starts=late_starts,
        )

    def report(self) -> messages.Report:
        """Makes the agent send a report, and returns it."""
        self.state.report_due = True
        self.state.report_pending = False
        self.state.holder = HOLDER.build_address()
        timer = base_events.TimerFired(report_timers.REPORT_TIMER)
        sent = [
            effect.report
            for effect in self.deliver(timer)
            if isinstance(effect, effects.SendReport)
        ]
        return sent[-1]

    def answer_report(
        self, report: messages.Report, directives: messages.Directives
    ) -> base_effects.Effects:
        """Answers a report that was sent just now."""
        answer = events.ReportAnswered(
            HOLDER.build_address(), report.sequence, self.now, directives
        )
        return self.deliver(answer)

    def push(self, directives: messages.Directives) -> base_effects.Effects:
        return self.deliver(events.DirectivesArrived(directives))

    def direct(
        self,
        *,
        starts: tuple[runs.RunRef, ...] = (),
        withdrawn: tuple[runs.RunRef, ...] = (),
    ) -> None:
        """Sends a report and answers it with these directives."""
        directives = self.build_directives(
            self.state.sequence + 1, starts, (), withdrawn
        )
        self.answer_report(self.report(), directives)

    def answer_start(
        self, ref: runs.RunRef, result: events.CommandResult
    ) -> None:
        self.deliver(
            events.CommandAnswered(
                self.incarnation,
                events.CommandKind.START,
                ref,
                self.state.fence,
                result,
                self.read_clock(),
            )
        )
