"""HTTP service of the upstream stand-in, and its reports to the agent."""

import datetime
import threading
from collections.abc import Callable
from typing import Any

from gypsumhold.adapters import declaration_documents, http_client
from gypsumhold.model import members, requests
from gypsumhold_standin import http_server, routes, upstream

REPORT_INTERVAL = datetime.timedelta(seconds=1)


class UpstreamService(http_server.Service):
    """Answers any request with an echo.

    Args:
        options: Options of the upstream.
        pause: Waits for the whole time, so that a stop cuts off no request.
    """

    def __init__(
        self,
        options: upstream.Options,
        pause: Callable[[datetime.timedelta], None],
    ) -> None:
        self._pause = pause
        self._lock = threading.Lock()
        self._fault_changed = threading.Condition(self._lock)
        self._upstream = upstream.build_upstream(options)
        self._slow_delay = datetime.timedelta(0)

    def serve(self, payload: requests.Payload) -> http_server.Response:
        """Serves one request: a fault, the record of requests or an echo."""
        match payload.method, payload.target:
            case "POST", "/v1/faults":
                return routes.answer_result(
                    routes.parse_fault(payload.body).map(self._set_fault)
                )
            case "GET", "/v1/seen":
                return self._list_requests()
            case _:
                return self._answer_with_echo(payload)

    def build_report(self, address: members.Address) -> dict[str, Any]:
        """Returns the JSON document that is sent to the agent."""
        with self._lock:
            report = upstream.build_report(self._upstream, address)
        return {
            "host": report.address.host,
            "port": report.address.port,
            "kinds": sorted(report.kinds),
            "slots": report.slots,
            "connections": report.connections,
            "busy": report.busy,
            "running": None
            if report.running is None
            else [[key.request_id, key.attempt] for key in report.running],
            "draining": report.draining,
            "reserved": declaration_documents.render_resources(report.reserved),
        }

    def drain(self) -> None:
        """Makes later reports announce that the upstream drains."""
        with self._lock:
            self._upstream.draining = True

    def _set_fault(
        self, document: routes.FaultDocument
    ) -> http_server.Response:
        known_names = [fault.value for fault in upstream.Fault]
        if document.fault not in known_names:
            return routes.answer_unknown_fault(document.fault, known_names)
        with self._lock:
            self._slow_delay = datetime.timedelta(milliseconds=document.slow_ms)
            self._upstream.fault = upstream.Fault(document.fault)
            self._upstream.draining = document.draining
            self._upstream.service_percent = document.service_percent
            self._fault_changed.notify_all()
        return routes.answer_json({})

    def _is_released(self) -> bool:
        return self._upstream.fault is not upstream.Fault.HELD

    def _list_requests(self) -> http_server.Response:
        with self._lock:
            recorded = tuple(self._upstream.recorded_requests)
            peak_busy = self._upstream.peak_busy
            busy = self._upstream.busy
            held = self._upstream.held
        return routes.answer_json(
            {
                "requests": [
                    _render_recorded_request(request) for request in recorded
                ],
                "busy": busy,
                "held": held,
                "peak_busy": peak_busy,
            }
        )

    def _answer_with_echo(
        self, payload: requests.Payload
    ) -> http_server.Response:
        with self._lock:
            plan = upstream.begin_request(
                self._upstream, payload, self._slow_delay
            )
            if not self._is_released():
                self._upstream.held += 1
                self._fault_changed.wait_for(self._is_released)
                self._upstream.held -= 1
        if plan.runs:
            self._pause(plan.delay)
            with self._lock:
                upstream.finish_request(self._upstream, plan)
        return http_server.Response(plan.answer, plan.break_point)


def _render_recorded_request(
    request: upstream.RecordedRequest,
) -> dict[str, str]:
    return {
        "request_id": request.request_id,
        "attempt": request.attempt,
        "method": request.method,
        "target": request.target,
        "digest": request.digest,
    }


class Reporter:
    """Sends a report to the agent each second, on its own thread.

    Args:
        service: Service of the upstream.
        address: Address at which the upstream listens.
        agent: Address of the agent's local listener.
    """

    def __init__(
        self,
        service: UpstreamService,
        address: members.Address,
        agent: members.Address,
    ) -> None:
        self._service = service
        self._address = address
        self._client = http_client.HttpClient(
            http_client.CallOptions(agent, connections=1)
        )
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(
            target=self._send_reports, name="reporter"
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Ends the thread and sends a last report, with the drain announced."""
        self._service.drain()
        self._stop_requested.set()
        self._thread.join()
        self._send_report()
        self._client.close()

    def _send_reports(self) -> None:
        self._send_report()
        while not self._stop_requested.wait(REPORT_INTERVAL.total_seconds()):
            self._send_report()

    def _send_report(self) -> None:
        # A lost report is not sent again, because the next one replaces it.
        document = self._service.build_report(self._address)
        self._client.call_json("POST", "/v1/upstream", document)
