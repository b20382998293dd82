"""Renders previews of jobs as JSON documents for operators."""

from typing import Any

from gypsumhold.model.jobs import previews


def render_preview(preview: previews.JobPreview) -> dict[str, Any]:
    """Returns the document of a preview; durations are in milliseconds."""
    retry_delay = preview.retry_delay
    return {
        "term": preview.term,
        "accepted": retry_delay is None,
        "retry_after_ms": (
            None if retry_delay is None else _to_ms(retry_delay.total_seconds())
        ),
        "jobs_before": preview.jobs_before,
        "oldest_report_ms": _to_ms(preview.oldest_report.total_seconds()),
        "steps": [_render_step(step) for step in preview.steps],
    }


def _render_step(step: previews.StepPreview) -> dict[str, Any]:
    return {
        "step": step.number,
        "verdict": step.verdict.value,
        "tasks": step.tasks,
        "chosen": [_render_worker(worker) for worker in step.chosen],
        "runners_up": [_render_worker(worker) for worker in step.runners_up],
        "excluded": [
            {"reason": obstacle.value, "instances": list(instances)}
            for obstacle, instances in step.excluded
        ],
    }


def _render_worker(worker: previews.WorkerChoice) -> dict[str, Any]:
    return {
        "instance": worker.instance,
        "rack": worker.rack,
        "tasks": worker.tasks,
        "free_millis": worker.free_millis,
        "free_mb": worker.free_mb,
    }


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)
