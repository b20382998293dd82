"""Tests of the modules that a program loads when it starts."""

import subprocess
import sys

import pytest
from opentelemetry.sdk.metrics import export

from gypsumhold.adapters import settings
from gypsumhold.programs import process

LIST_MODULES = "import sys, {0}; print(*sys.modules)"


@pytest.mark.parametrize(
    "program", ["gypsumhold.programs.agent", "gypsumhold.programs.entry"]
)
def test_program_loads_no_exporter(program: str) -> None:
    """Guards against a start that is slowed down by unused libraries.

    They belong to the export of metrics, which few settings ask for.
    """
    modules = list_modules(program)
    assert program in modules
    assert modules.isdisjoint(
        {"opentelemetry.exporter", "google.protobuf", "requests"}
    )


def test_agent_loads_no_client_of_an_entry() -> None:
    """Guards against a start that is slowed down by parts of the other role."""
    modules = list_modules("gypsumhold.programs.agent")
    adapters = "gypsumhold.adapters"
    assert modules.isdisjoint(
        f"{adapters}.{name}" for name in ("peers", "row_codec", "store")
    )


def test_endpoint_gets_an_exporter() -> None:
    """Guards against metrics that are not exported although settings ask."""
    metrics = settings.MetricsSettings(otlp_url="http://127.0.0.1:9/metrics")
    (exporter,) = process.build_metric_exporters(metrics)
    assert isinstance(exporter, export.PeriodicExportingMetricReader)
    exporter.shutdown()
    assert process.build_metric_exporters(settings.MetricsSettings()) == ()


def list_modules(program: str) -> set[str]:
    """Returns the modules that are loaded once a program is imported."""
    completed = subprocess.run(
        [sys.executable, "-c", LIST_MODULES.format(program)],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    return set(completed.stdout.split())
