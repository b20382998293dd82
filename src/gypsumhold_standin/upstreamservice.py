"""HTTP service of an upstream and its reports to the agent."""

import datetime
import threading
from collections.abc import Callable
from typing import Any

from gypsumhold.adapters import documents, httpcalls
from gypsumhold.model import members, requests
from gypsumhold_standin import routes, upstream, web

REPORT_INTERVAL = datetime.timedelta(seconds=1)


class UpstreamService(web.Service):
    """Serves any request with an echo.

    Args:
        options: Options of the upstream.
        pause: Waits for a time, to the end: a stop cuts off no request.
    """

    def __init__(
        self,
        options: upstream.Options,
        pause: Callable[[datetime.timedelta], None],
    ) -> None:
        self._pause = pause
        self._lock = threading.Lock()
        self._upstream = upstream.build_upstream(options)
        self._slow = datetime.timedelta(0)

    def serve(self, payload: requests.Payload) -> web.Response:
        """Serves one request."""
        match payload.method, payload.target:
            case "POST", "/v1/faults":
                return routes.answer_result(
                    routes.read_fault(payload.body).map(self._set_fault)
                )
            case "GET", "/v1/seen":
                return self._list_seen()
            case _:
                return self._echo(payload)

    def build_report(self, address: members.Address) -> dict[str, Any]:
        """Returns the JSON document that the agent is sent."""
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
            "reserved": documents.render_resources(report.reserved),
        }

    def drain(self) -> None:
        """Says in later reports that the upstream is leaving."""
        with self._lock:
            self._upstream.draining = True

    def _set_fault(self, document: routes.FaultDocument) -> web.Response:
        known = [item.value for item in upstream.Fault]
        if document.fault not in known:
            return routes.answer_unknown_fault(document.fault, known)
        with self._lock:
            self._slow = datetime.timedelta(milliseconds=document.slow_ms)
            self._upstream.fault = upstream.Fault(document.fault)
            self._upstream.draining = document.draining
            self._upstream.service_percent = document.service_percent
        return routes.answer_json({})

    def _list_seen(self) -> web.Response:
        with self._lock:
            seen = tuple(self._upstream.seen)
            peak_busy = self._upstream.peak_busy
            busy = self._upstream.busy
        return routes.answer_json(
            {
                "requests": [_render_seen(item) for item in seen],
                "busy": busy,
                "peak_busy": peak_busy,
            }
        )

    def _echo(self, payload: requests.Payload) -> web.Response:
        with self._lock:
            plan = upstream.begin_request(self._upstream, payload, self._slow)
        if plan.runs:
            self._pause(plan.delay)
            with self._lock:
                upstream.finish_request(self._upstream, plan)
        return web.Response(plan.answer, plan.break_point)


def _render_seen(item: upstream.SeenRequest) -> dict[str, str]:
    return {
        "request_id": item.request_id,
        "attempt": item.attempt,
        "method": item.method,
        "target": item.target,
        "digest": item.digest,
    }


class Reporter:
    """Reports the upstream to its agent each second, on a thread of its own.

    Args:
        service: The upstream.
        address: Where the upstream listens.
        agent: The agent's local listener.
    """

    def __init__(
        self,
        service: UpstreamService,
        address: members.Address,
        agent: members.Address,
    ) -> None:
        self._service = service
        self._address = address
        self._caller = httpcalls.HttpClient(
            httpcalls.CallOptions(agent, connections=1)
        )
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="reporter")

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Sends a last report, that the upstream is leaving, and ends."""
        self._service.drain()
        self._stopping.set()
        self._thread.join()
        self._report()
        self._caller.close()

    def _run(self) -> None:
        self._report()
        while not self._stopping.wait(REPORT_INTERVAL.total_seconds()):
            self._report()

    def _report(self) -> None:
        # A lost report is not repeated: the next one replaces it.
        document = self._service.build_report(self._address)
        self._caller.call_json("POST", "/v1/upstream", document)
