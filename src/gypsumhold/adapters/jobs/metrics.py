"""Counters and histograms of the job subsystem."""

import datetime
from collections import Counter
from collections.abc import Callable
from typing import Any

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk.metrics import export

from gypsumhold.adapters import engine, http_routes, metrics
from gypsumhold.adapters.jobs import label_counters
from gypsumhold.adapters.listeners import observers
from gypsumhold.model import clients
from gypsumhold.model import clock as clocks
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import effects, events

COMMIT_TIME_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Bounds of the histogram buckets of commit times, in seconds.

A transaction from an entry takes about 25 ms.
"""


WAIT_BOUNDS = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 6.0, 10.0, 20.0)
"""Bounds of the histogram buckets of times without a run, in seconds."""

RETRY_BOUNDS = (1.0, 2.0, 5.0, 10.0, 20.0, 40.0, 80.0)
"""Bounds of the histogram buckets of `Retry-After`, in seconds."""

EVENT_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
"""Bounds of the histogram buckets of slow events, in seconds."""

SLOW_EVENT = datetime.timedelta(milliseconds=5)
"""Time from which an event counts as slow. Most take far less, and are left
out because a histogram costs more than they do."""


class JobRecorder(engine.Observer, observers.ClientObserver):
    """Counts events and effects of one role and renders them as text."""

    def __init__(self, role: str, name: str, clock: clocks.Clock) -> None:
        """Creates the instruments; the caller has to call `close`.

        Args:
            role: Role of the process, "entry" or "agent".
            name: Name of the instance.
            clock: Clock that times the commits.
        """
        self._clock = clock
        self._reader = export.InMemoryMetricReader()
        self._provider = sdk.MeterProvider(
            [self._reader],
            sdk_resources.Resource(
                {"service.name": role, "service.instance.id": name}
            ),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("gypsumhold.jobs")
        self._answers = meter.create_counter(
            "gypsumhold_job_answers", description="Answers to callers"
        )
        self._decisions = label_counters.LabelCounter(
            meter,
            "gypsumhold_job_decisions",
            "decision",
            "Decisions by kind",
        )
        self._retry_seconds = meter.create_histogram(
            "gypsumhold_job_retry_after_seconds",
            unit="s",
            description="Delays that refused callers were told, by verdict",
            explicit_bucket_boundaries_advisory=RETRY_BOUNDS,
        )
        self._commits = meter.create_counter(
            "gypsumhold_job_commits", description="Batches by result"
        )
        self._commit_seconds = meter.create_histogram(
            "gypsumhold_job_commit_seconds",
            unit="s",
            description="Time from sending a batch to the store's answer",
            explicit_bucket_boundaries_advisory=COMMIT_TIME_BOUNDS,
        )
        self._commands = meter.create_counter(
            "gypsumhold_job_orders", description="Worker commands by result"
        )
        self._reports = meter.create_counter(
            "gypsumhold_job_reports",
            description="Reports by whether they were answered",
        )
        self._clients = metrics.create_client_counter(meter)
        self._create_wait_instruments(meter)
        self._commit_sent_at: datetime.timedelta | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            effects.AnswerQuery: self._count_answer,
            effects.CommitBatch: self._record_commit_start,
            events.BatchCommitted: self._record_commit_end,
            events.CommandAnswered: self._count_command,
            events.ReportAnswered: self._count_report,
            effects.MeasureWait: self._record_wait,
            effects.SampleWaits: self._record_sample,
            effects.MeasureNearWait: self._record_near_wait,
        }

    def _create_wait_instruments(self, meter: api.Meter) -> None:
        self._wait_seconds = meter.create_histogram(
            "gypsumhold_job_wait_seconds",
            unit="s",
            description=(
                "Time without a run of jobs and long-running tasks, by the"
                " stage that took most of it"
            ),
            explicit_bucket_boundaries_advisory=WAIT_BOUNDS,
        )
        self._longest_wait = meter.create_gauge(
            "gypsumhold_job_longest_wait_seconds",
            unit="s",
            description="Longest present time without a run",
        )
        self._waiting = meter.create_gauge(
            "gypsumhold_jobs_waiting",
            description="Jobs and long-running tasks without a run",
        )
        self._near_waits_begun = meter.create_counter(
            "gypsumhold_job_near_waits_begun",
            description="Waits for a place near the data or the gang",
        )
        self._near_wait_seconds = meter.create_histogram(
            "gypsumhold_job_near_wait_seconds",
            unit="s",
            description=(
                "Time waited for a place near the data or the gang, by how the"
                " wait ended"
            ),
            explicit_bucket_boundaries_advisory=WAIT_BOUNDS,
        )
        self._event_seconds = meter.create_histogram(
            "gypsumhold_job_slow_event_seconds",
            unit="s",
            description=(
                "Time that slow events waited for the reducer, and time that"
                " it took to apply them"
            ),
            explicit_bucket_boundaries_advisory=EVENT_BOUNDS,
        )

    def observe(
        self,
        event: base_events.Event,
        emitted: base_effects.Effects,
        timing: engine.EventTiming = engine.NO_TIMING,
    ) -> None:
        """Counts an event and the effects that it led to."""
        self._record_timing(event, timing)
        decisions: Counter[str] = Counter()
        for item in (event, *emitted):
            if isinstance(item, effects.Log):
                decisions[item.decision] += 1
                continue
            handler = self._handlers.get(type(item))
            if handler is not None:
                handler(item)
        if decisions:
            self._decisions.add(decisions)

    def count_client(self, listener: str, reason: clients.Reason) -> None:
        """Counts a client that a listener closed or refused."""
        self._clients.add(1, {"listener": listener, "reason": reason.value})

    def _record_timing(
        self, event: base_events.Event, timing: engine.EventTiming
    ) -> None:
        """Records how long an event waited and took, if that was long."""
        if timing.waited < SLOW_EVENT and timing.applied < SLOW_EVENT:
            return
        kind = type(event).__name__
        for part, time in (
            ("waited", timing.waited),
            ("applied", timing.applied),
        ):
            if time >= SLOW_EVENT:
                self._event_seconds.record(
                    time.total_seconds(), {"event": kind, "part": part}
                )

    def _record_wait(self, effect: effects.MeasureWait) -> None:
        self._wait_seconds.record(
            effect.duration.total_seconds(), {"stage": effect.stage.value}
        )

    def _record_near_wait(self, effect: effects.MeasureNearWait) -> None:
        if effect.outcome is None:
            self._near_waits_begun.add(1)
            return
        self._near_wait_seconds.record(
            effect.duration.total_seconds(), {"outcome": effect.outcome.value}
        )

    def _record_sample(self, effect: effects.SampleWaits) -> None:
        self._longest_wait.set(effect.longest.total_seconds())
        self._waiting.set(effect.waiting)

    def _count_answer(self, effect: effects.AnswerQuery) -> None:
        answer = effect.answer
        verdict = {"verdict": answer.verdict.value}
        self._answers.add(1, verdict)
        if answer.retry_after_s:
            self._retry_seconds.record(answer.retry_after_s, verdict)

    def _record_commit_start(self, effect: effects.CommitBatch) -> None:
        self._commit_sent_at = self._clock.read_monotonic()

    def _record_commit_end(self, event: events.BatchCommitted) -> None:
        self._commits.add(1, {"result": event.write.result.value})
        if self._commit_sent_at is not None:
            elapsed = self._clock.read_monotonic() - self._commit_sent_at
            self._commit_seconds.record(elapsed.total_seconds())

    def _count_command(self, event: events.CommandAnswered) -> None:
        self._commands.add(
            1, {"order": event.kind.value, "result": event.result.value}
        )

    def _count_report(self, event: events.ReportAnswered) -> None:
        answered = "yes" if event.directives is not None else "no"
        self._reports.add(1, {"answered": answered})

    def render(self) -> str:
        """Returns all values as text, one per line."""
        return metrics.render_metrics(self._reader.get_metrics_data())

    def close(self) -> None:
        """Shuts the instruments down."""
        self._provider.shutdown()


class MetricsRoutes(http_routes.Routes):
    """Serves the metrics as text."""

    def __init__(self, recorder: JobRecorder) -> None:
        """Creates routes that serve the metrics of `recorder`."""
        self._recorder = recorder

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Answers every request with all values."""
        headers = (("Content-Type", "text/plain; charset=utf-8"),)
        return http_routes.HttpResponse(
            200, headers, self._recorder.render().encode()
        )
