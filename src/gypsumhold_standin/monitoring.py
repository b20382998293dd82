"""Health and metrics of every stand-in."""

import collections
import threading

from gypsumhold.model import requests
from gypsumhold_standin import routes, upstream, web


class MonitoredService(web.Service):
    """Answers `/health` and `/metrics` beside the routes of a service.

    Calls of an agent to an upstream always reach the service, since any path
    may be one of its requests.
    """

    def __init__(self, role: str, service: web.Service) -> None:
        self._role = role
        self._service = service
        self._lock = threading.Lock()
        self._counts: collections.Counter[int] = collections.Counter()

    def serve(self, payload: requests.Payload) -> web.Response:
        """Serves one request and counts it by status."""
        names = {name.lower() for name, _ in payload.headers}
        if payload.method == "GET" and upstream.REQUEST_HEADER not in names:
            if payload.target == "/health":
                return routes.answer_json({"status": "ok"})
            if payload.target == "/metrics":
                return self._render()
        response = self._service.serve(payload)
        with self._lock:
            self._counts[response.answer.status] += 1
        return response

    def _render(self) -> web.Response:
        with self._lock:
            counted = sorted(self._counts.items())
        lines = [
            f'gypsumhold_standin_requests{{role="{self._role}",'
            f'status="{status}"}} {count}'
            for status, count in counted
        ]
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        body = "\n".join([*lines, ""]).encode()
        return web.Response(requests.Answer(200, headers, body))
