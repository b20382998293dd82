"""Health check and metrics of every stand-in."""

import collections
import threading

from gypsumhold.model import requests
from gypsumhold_standin import http_server, routes, upstream


class MonitoredService(http_server.Service):
    """Adds the routes `/health` and `/metrics` to a service.

    Requests that an agent sends to an upstream carry a request id. They
    always reach the service, because they may have any path.

    Args:
        role: Role of the stand-in, a label of its metrics.
        service: Serves all other requests.
    """

    def __init__(self, role: str, service: http_server.Service) -> None:
        self._role = role
        self._service = service
        self._lock = threading.Lock()
        self._status_counts: collections.Counter[int] = collections.Counter()

    def serve(self, payload: requests.Payload) -> http_server.Response:
        """Serves one request; counts the answers of the service by status."""
        header_names = {name.lower() for name, _ in payload.headers}
        if (
            payload.method == "GET"
            and upstream.REQUEST_HEADER not in header_names
        ):
            if payload.target == "/health":
                return routes.answer_json({"status": "ok"})
            if payload.target == "/metrics":
                return self._render_metrics()
        response = self._service.serve(payload)
        with self._lock:
            self._status_counts[response.answer.status] += 1
        return response

    def _render_metrics(self) -> http_server.Response:
        with self._lock:
            counts = sorted(self._status_counts.items())
        lines = [
            f'gypsumhold_standin_requests{{role="{self._role}",'
            f'status="{status}"}} {count}'
            for status, count in counts
        ]
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        body = "\n".join([*lines, ""]).encode()
        return http_server.Response(requests.Answer(200, headers, body))
