"""Export of metrics to an OTLP endpoint.

Programs import this module only if their settings name an endpoint, because its
libraries (requests, protobuf) make the start of a process slower.
"""

from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.sdk.metrics import export

EXPORT_INTERVAL_MS = 10_000


def build_exporter(url: str) -> export.MetricReader:
    """Returns a reader that exports to the OTLP endpoint at `url`."""
    return export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=url),
        export_interval_millis=EXPORT_INTERVAL_MS,
    )
