"""One agent whose calls a fake worker takes when the test says so.

The incarnations of the worker share a name, so each takes any of the calls.
"""

import math

from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, events, messages, runs
from tests.jobs import lone_agent, worker_fake

UPTIME_MS = 300_000
"""Reading of the worker's clock when the agent starts."""

AGE_MS = 60_000
"""Time for which the agent has run when a test begins; more than that for
which leases of a former process count."""

STEP_MS = 50


class LinkedAgent(lone_agent.LoneAgent):
    """An executor with a fake worker that has answered its first poll.

    Attributes:
        worker: The worker.
    """

    def __init__(self, rate: float = 1.0, age_ms: float = AGE_MS) -> None:
        self.worker = worker_fake.FakeWorker(
            lone_agent.WORKER.name, lone_agent.WORKER.started_ms, rate=rate
        )
        self.worker.up_at_ms = (
            lone_agent.NOW / lone_agent.MILLISECOND - UPTIME_MS
        )
        super().__init__()
        self.wait(age_ms)
        self.poll()

    def read_ms(self) -> float:
        return self.now / lone_agent.MILLISECOND

    def read_clock(self) -> events.WorkerClock:
        clock_ms = self.worker.read_clock(self.read_ms())
        return events.WorkerClock(clock_ms, self.now, self.now)

    def request(self, ref: runs.RunRef) -> effects.StartRun:
        """Lets the holder request a run; returns the start command."""
        directives = self.build_directives(self.state.sequence + 1, (ref,))
        emitted = self.answer_report(self.report(), directives)
        return find_start(emitted)

    def restart(self) -> None:
        """Begins the next incarnation, of which the agent has not heard."""
        self.worker.restart(self.read_ms(), 0)

    def hear(self) -> base_effects.Effects:
        """Delivers the first heartbeat of the incarnation that is up."""
        self.incarnation = runs.WorkerIncarnation(
            self.worker.name, self.worker.started_ms
        )
        self.heartbeats = 0
        return self.deliver_heartbeat()

    def take_start(self, start: effects.StartRun) -> events.CommandAnswered:
        """Lets the worker take a start now; returns its answer."""
        self.worker.advance(self.read_ms())
        result = self.worker.start(
            start, self.read_ms(), math.inf, runs.RunEnd.DONE
        )
        return events.CommandAnswered(
            start.worker.incarnation,
            events.CommandKind.START,
            start.command.ref,
            start.fence,
            result,
            self.read_clock(),
            start.until_ms,
        )

    def take_poll(self, poll: effects.PollWorker) -> events.WorkerPolled:
        """Lets the worker take a poll now; returns its answer."""
        self.worker.advance(self.read_ms())
        result = self.worker.poll(poll, self.read_ms())
        return events.WorkerPolled(
            poll.worker.incarnation,
            poll.fence,
            result,
            self.read_clock(),
            self.worker.started_ms,
            self.worker.list_runs(),
            self.worker.list_ends(),
            until_ms=poll.until_ms,
            acknowledged=poll.acknowledged,
        )

    def fail_start(self, start: effects.StartRun) -> base_effects.Effects:
        return self.deliver(
            events.CommandAnswered(
                start.worker.incarnation,
                events.CommandKind.START,
                start.command.ref,
                start.fence,
                events.CommandResult.UNANSWERED,
                until_ms=start.until_ms,
            )
        )

    def fail_poll(self) -> base_effects.Effects:
        return self.deliver(
            events.WorkerPolled(
                self.incarnation,
                self.state.fence,
                events.CommandResult.UNANSWERED,
            )
        )

    def build_poll(self, fence: int | None = None) -> effects.PollWorker:
        """Returns a poll without a lease or an acknowledgement."""
        assert self.state.worker is not None
        return effects.PollWorker(
            self.state.worker,
            self.state.fence if fence is None else fence,
            runs.EndNumber(0),
            None,
            effects.NO_DELAY,
        )

    def poll_now(self, fence: int | None = None) -> base_effects.Effects:
        """Lets the worker answer a poll without lease or acknowledgement."""
        return self.deliver(self.take_poll(self.build_poll(fence)))

    def measure_cut(self, ref: runs.RunRef, limit_ms: float) -> float:
        """Cuts the worker off until the run counts as ended.

        Returns:
            The time until then, in milliseconds.

        Raises:
            AssertionError: The run goes on on the worker then, or it still
                counts after the limit.
        """
        cut_at_ms = self.read_ms()
        while self.read_ms() - cut_at_ms < limit_ms:
            self.wait(STEP_MS)
            self.fail_poll()
            report = self.report()
            if is_counted_as_ended(report, ref):
                self.worker.advance(self.read_ms())
                assert ref.task not in self.worker.running
                return self.read_ms() - cut_at_ms
        raise AssertionError(f"{ref} still counts after {limit_ms} ms")


def is_counted_as_ended(report: messages.Report, ref: runs.RunRef) -> bool:
    return report.runs_ended and ref not in {row.ref for row in report.rows}


def find_start(emitted: base_effects.Effects) -> effects.StartRun:
    (found,) = (
        effect for effect in emitted if isinstance(effect, effects.StartRun)
    )
    return found


def find_poll(emitted: base_effects.Effects) -> effects.PollWorker:
    (found,) = (
        effect for effect in emitted if isinstance(effect, effects.PollWorker)
    )
    return found
