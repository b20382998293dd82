"""Metrics of one role, derived from its events and effects."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk.metrics import export

from gypsumhold.adapters import engine
from gypsumhold.adapters.listeners import observers
from gypsumhold.model import (
    clients,
    declarations,
    effects,
    events,
    ids,
    rows,
    states,
)

# Bucket bounds in seconds. The lowest ones resolve the overhead of a dispatch
# over loopback.
LATENCY_BOUNDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
)

Classifier = Callable[
    [ids.OrganisationId, ids.KindName], states.WorkClass | None
]
AttemptId = tuple[ids.RequestId, ids.Attempt]


class Recorder(engine.Observer, observers.ClientObserver):
    """Updates the metrics of one role and renders them as text."""

    def __init__(
        self,
        role: str,
        name: str,
        classify: Classifier = lambda organisation, kind: None,
        exporters: Sequence[export.MetricReader] = (),
    ) -> None:
        """Creates the instruments; the caller has to call `close`.

        Args:
            role: Role of the process: `entry` or `agent`.
            name: Name of the entry, or of the instance of the agent.
            classify: Returns the work class of a kind of an organisation, or
                None if it is not declared.
            exporters: Readers that export the metrics as well; `close` ends
                them.
        """
        self._reader = export.InMemoryMetricReader()
        self._provider = sdk.MeterProvider(
            [self._reader, *exporters],
            sdk_resources.Resource(
                {"service.name": role, "service.instance.id": name}
            ),
            shutdown_on_exit=False,
        )
        self._classify = classify
        self._lock = threading.Lock()
        # Requests, dispatches and transactions that are in progress. Their
        # entries are removed when they end.
        self._class_names: dict[ids.RequestId, str] = {}
        self._dispatch_times: dict[AttemptId, float] = {}
        self._open_commits: dict[ids.OperationId, Counter[str]] = {}
        self._slot_count = 0
        self._task_states: set[str] = set()
        self._create_instruments()
        self._handlers: dict[type, Callable[..., None]] = {
            events.CallArrived: self._start_call,
            effects.AnswerCall: self._end_call,
            effects.SendDispatch: self._start_dispatch,
            events.DispatchAnswered: self._end_dispatch,
            events.DispatchFailed: self._end_dispatch,
            effects.Commit: self._start_commit,
            events.CommitAnswered: self._end_commit,
            effects.ReplyDispatch: self._end_attempt,
            events.UpstreamReported: self._record_slots,
            effects.Announce: self._record_announcement,
            events.AnnouncementReceived: self._count_received,
            events.WorkerReported: self._record_tasks,
            effects.PushConfig: self._record_pushed_config,
            events.ConfigPushed: self._record_pushed_config,
            effects.PushChanges: self._record_pushed_changes,
            events.ChangesPushed: self._record_pushed_changes,
        }

    def _create_instruments(self) -> None:
        meter = self._provider.get_meter("gypsumhold")
        self._requests = meter.create_counter(
            "gypsumhold_requests", description="Requests by final outcome"
        )
        self._attempts = meter.create_counter(
            "gypsumhold_attempts", description="Attempts by final outcome"
        )
        self._latency = meter.create_histogram(
            "gypsumhold_dispatch_seconds",
            unit="s",
            description="Time from sending a dispatch to its reply",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS,
        )
        self._commit_results = meter.create_counter(
            "gypsumhold_commits", description="Transactions by result"
        )
        self._task_writes = meter.create_counter(
            "gypsumhold_task_writes", description="Committed states of tasks"
        )
        self._announcements = meter.create_counter(
            "gypsumhold_announcements", description="Sent and received"
        )
        self._queue_length = meter.create_gauge(
            "gypsumhold_queue_length", description="Attempts that wait"
        )
        self._taken_slots = meter.create_gauge(
            "gypsumhold_slots_taken", description="Slots that are not free"
        )
        self._tasks = meter.create_gauge(
            "gypsumhold_tasks", description="Tasks on the worker by state"
        )
        self._config_version = meter.create_gauge(
            "gypsumhold_config_version", description="Version in force"
        )
        self._clients = create_client_counter(meter)

    def observe(
        self,
        event: events.Event,
        emitted: effects.Effects,
        timing: engine.EventTiming = engine.NO_TIMING,
    ) -> None:
        """Updates the instruments from an event and its effects."""
        for item in (event, *emitted):
            handler = self._handlers.get(type(item))
            if handler is not None:
                handler(item)

    def count_client(self, listener: str, reason: clients.Reason) -> None:
        """Counts a client that a listener closed or refused."""
        self._clients.add(1, {"listener": listener, "reason": reason.value})

    def set_config_version(self, version: ids.ConfigVersion) -> None:
        """Sets the gauge of the configuration version in force."""
        self._config_version.set(version)

    def _start_call(self, event: events.CallArrived) -> None:
        request = event.request
        work_class = self._classify(request.organisation, request.kind)
        name = "unknown" if work_class is None else work_class.value
        with self._lock:
            self._class_names[request.request_id] = name

    def _end_call(self, effect: effects.AnswerCall) -> None:
        with self._lock:
            name = self._class_names.pop(effect.owner, "unknown")
        self._requests.add(
            1,
            {
                "class": name,
                "outcome": effect.result.outcome.value,
                "reason": effect.result.reason.value,
            },
        )

    def _start_dispatch(self, effect: effects.SendDispatch) -> None:
        key = (effect.dispatch.request_id, effect.dispatch.attempt)
        with self._lock:
            self._dispatch_times[key] = time.monotonic()

    def _end_dispatch(
        self, event: events.DispatchAnswered | events.DispatchFailed
    ) -> None:
        with self._lock:
            sent_at = self._dispatch_times.pop(
                (event.request_id, event.attempt), None
            )
        if sent_at is not None:
            result = (
                "answered"
                if isinstance(event, events.DispatchAnswered)
                else "lost"
            )
            self._latency.record(time.monotonic() - sent_at, {"result": result})

    def _start_commit(self, effect: effects.Commit) -> None:
        """Stores how many tasks of each state a transaction writes."""
        state_counts = Counter(
            write.value.state.value
            for write in effect.transaction.writes
            if isinstance(write.value, rows.TaskRow)
        )
        with self._lock:
            self._open_commits[effect.transaction.operation] = state_counts

    def _end_commit(self, event: events.CommitAnswered) -> None:
        with self._lock:
            state_counts = self._open_commits.pop(event.operation, Counter())
        self._commit_results.add(1, {"result": event.answer.result.value})
        if event.answer.result is states.CommitResult.COMMITTED:
            for state, count in state_counts.items():
                self._task_writes.add(count, {"state": state})

    def _end_attempt(self, effect: effects.ReplyDispatch) -> None:
        self._attempts.add(
            1,
            {
                "outcome": effect.reply.outcome.value,
                "reason": effect.reply.reason.value,
            },
        )

    def _record_slots(self, event: events.UpstreamReported) -> None:
        self._slot_count = event.report.slots

    def _record_announcement(self, effect: effects.Announce) -> None:
        announcement = effect.announcement
        self._announcements.add(1, {"direction": "sent"})
        self._queue_length.set(announcement.queued)
        self._taken_slots.set(
            max(0, self._slot_count - announcement.free_slots)
        )
        self._config_version.set(announcement.config_version)

    def _count_received(self, _event: events.AnnouncementReceived) -> None:
        self._announcements.add(1, {"direction": "received"})

    def _record_tasks(self, event: events.WorkerReported) -> None:
        """Sets the number of tasks by state; states without tasks get 0."""
        if event.report is None:
            return
        counts = Counter(task.state.value for task in event.report.tasks)
        with self._lock:
            self._task_states |= set(counts)
            all_states = sorted(self._task_states)
        for state in all_states:
            self._tasks.set(counts[state], {"state": state})

    def _record_pushed_config(
        self, item: effects.PushConfig | events.ConfigPushed
    ) -> None:
        self._config_version.set(item.configuration.version)

    def _record_pushed_changes(
        self, item: effects.PushChanges | events.ChangesPushed
    ) -> None:
        if item.changes:
            self._config_version.set(item.changes[-1].version)

    def render(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        return render_metrics(self._reader.get_metrics_data())

    def close(self) -> None:
        """Exports the last values and stops the exporter."""
        self._provider.shutdown()


def create_client_counter(meter: api.Meter) -> api.Counter:
    """Returns the counter of closed and refused clients."""
    return meter.create_counter(
        "gypsumhold_refused_clients",
        description="Clients closed or refused by listener and reason",
    )


def find_work_class(
    configuration: declarations.Configuration,
    organisation: ids.OrganisationId,
    kind: ids.KindName,
) -> states.WorkClass | None:
    """Returns the work class of a kind of an organisation.

    Returns:
        The class, or None if the organisation does not declare the kind.
    """
    template = configuration.resolve(organisation, kind)
    return None if template is None else template.work_class


def render_metrics(data: export.MetricsData | None) -> str:
    """Returns metrics in the Prometheus text format, the shortest first.

    A reader that keeps only the first part of a page then has the gauges and
    counters, and loses the buckets of histograms.
    """
    if data is None:
        return ""
    rendered = [
        _render_metric(metric)
        for resource in data.resource_metrics
        for scope in resource.scope_metrics
        for metric in scope.metrics
    ]
    lines = [line for lines in sorted(rendered, key=len) for line in lines]
    return "\n".join(lines) + "\n"


def _render_metric(metric: export.Metric) -> list[str]:
    lines = [f"# HELP {metric.name} {metric.description}"]
    for point in metric.data.data_points:
        labels = point.attributes or {}
        if isinstance(point, export.HistogramDataPoint):
            lines += _render_histogram(metric.name, labels, point)
        elif isinstance(point, export.NumberDataPoint):
            lines.append(f"{metric.name}{_render_labels(labels)} {point.value}")
    return lines


def _render_histogram(
    name: str,
    labels: Mapping[str, object],
    point: export.HistogramDataPoint,
) -> list[str]:
    lines = []
    total = 0
    bounds = [*map(str, point.explicit_bounds), "+Inf"]
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        total += count
        labels_text = _render_labels({**labels, "le": bound})
        lines.append(f"{name}_bucket{labels_text} {total}")
    labels_text = _render_labels(labels)
    lines.append(f"{name}_sum{labels_text} {point.sum}")
    lines.append(f"{name}_count{labels_text} {point.count}")
    return lines


def _render_labels(labels: Mapping[str, object]) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{labels[name]}"' for name in sorted(labels))
    return f"{{{pairs}}}"
