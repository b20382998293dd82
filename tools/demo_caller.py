"""Calls the entries of a deployment like a client behind a load balancer."""

import dataclasses
import enum
import itertools
import json
import threading
import time
from collections.abc import Iterator, Sequence

import urllib3

DEADLINE_MS = 5000
PAUSE_S = 0.5
PAUSE = threading.Event()
CONNECTIONS = 32


class FinalResult(enum.StrEnum):
    """Final result of a request or task as its caller sees it.

    UNKNOWN means that the time was over before there was a final result.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    INDETERMINATE = "indeterminate"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PARKED = "parked"
    UNKNOWN = "unknown"


FINAL_OUTCOMES = frozenset(
    {FinalResult.COMPLETED, FinalResult.NOT_RUN, FinalResult.INDETERMINATE}
)
FINAL_STATES = frozenset(
    {
        FinalResult.SUCCEEDED,
        FinalResult.FAILED,
        FinalResult.CANCELLED,
        FinalResult.PARKED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class DemoRequest:
    """One request of the demo.

    Attributes:
        number: Number of the request, which is part of its path and key.
        organisation: Organisation that it is sent for.
        kind: Kind of request.
        repeatable: Whether the declarations allow it to run more than once.
    """

    number: int
    organisation: str
    kind: str
    repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a request after all its calls.

    Attributes:
        request: The request.
        result: Its final result.
        path: Path of the call that returned the result.
        body_matches: Whether the body belongs to this call; true if the
            request was not completed.
    """

    request: DemoRequest
    result: FinalResult
    path: str
    body_matches: bool = True


class Caller:
    """Calls the entries in turn and repeats calls that had no final result.

    Args:
        urls: Caller listeners of the entries.
        give_up_at: Reading of `time.monotonic` after which no call is repeated.
    """

    def __init__(self, urls: Sequence[str], give_up_at: float) -> None:
        self._urls = urls
        self._give_up_at = give_up_at
        self._http = urllib3.PoolManager(
            retries=False,
            maxsize=CONNECTIONS,
            timeout=urllib3.Timeout(connect=2, read=DEADLINE_MS / 1000 + 5),
        )

    def count_attempts(self) -> Iterator[int]:
        """Yields the numbers of attempts from 0 until the time is over."""
        return itertools.takewhile(
            lambda _: time.monotonic() < self._give_up_at, itertools.count()
        )

    def _send(
        self, request: DemoRequest, path: str, url: str
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            "Gypsumhold-Organisation": request.organisation,
            "Gypsumhold-Kind": request.kind,
            "Gypsumhold-Deadline-Ms": str(DEADLINE_MS),
        }
        if not request.repeatable:
            headers["Idempotency-Key"] = f"demo-{request.number}"
        return self._http.request(
            "POST", f"{url}{path}", body=path.encode(), headers=headers
        )

    def run(self, request: DemoRequest) -> CallResult:
        """Calls the entries until there is a final result.

        Each attempt of a repeatable request has its own path, so its result
        cannot be confused with the result of an earlier attempt that got no
        answer. A request that is not repeatable keeps its path and key. After
        an attempt without an answer, the outcome "not run" is not final for
        it: the entry that refuses the repeat may not know about the first
        attempt.
        """
        outcome_unknown = False
        path = f"/demo/{request.number}/0"
        for attempt in self.count_attempts():
            if request.repeatable:
                path = f"/demo/{request.number}/{attempt}"
            url = self._urls[(request.number + attempt) % len(self._urls)]
            try:
                response = self._send(request, path, url)
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ):
                PAUSE.wait(PAUSE_S)
                continue
            except urllib3.exceptions.HTTPError:
                outcome_unknown = not request.repeatable
                continue
            outcome = response.headers.get("Gypsumhold-Outcome", "")
            if outcome not in FINAL_OUTCOMES or (
                outcome_unknown and outcome == FinalResult.NOT_RUN
            ):
                PAUSE.wait(PAUSE_S)
                continue
            body_matches = outcome != FinalResult.COMPLETED or (
                path in response.data.decode("utf-8", "replace")
            )
            return CallResult(request, FinalResult(outcome), path, body_matches)
        return CallResult(request, FinalResult.UNKNOWN, path)

    def submit(
        self, number: int, organisation: str, kind: str, payload: str
    ) -> str | None:
        """Submits a task repeatedly until an entry accepts it.

        Returns:
            The task id, or None if no entry accepted it in time.
        """
        body = {
            "organisation": organisation,
            "kind": kind,
            "payload": payload,
        }
        for attempt in self.count_attempts():
            url = self._urls[(number + attempt) % len(self._urls)]
            try:
                response = self._http.request(
                    "POST",
                    f"{url}/gypsumhold/v1/tasks",
                    body=json.dumps(body).encode(),
                    headers={"Idempotency-Key": f"demo-task-{number}"},
                )
            except urllib3.exceptions.HTTPError:
                PAUSE.wait(PAUSE_S)
                continue
            if response.status == 201:
                return str(response.json()["task_id"])
            PAUSE.wait(PAUSE_S)
        return None

    def list_tasks(self, organisations: Sequence[str]) -> dict[str, str]:
        """Returns the states of the organisations' tasks by task id.

        Tasks of an organisation for which no entry answers are left out.
        """
        states: dict[str, str] = {}
        for organisation in organisations:
            path = f"/gypsumhold/v1/tasks?organisation={organisation}"
            for url in self._urls:
                try:
                    response = self._http.request("GET", f"{url}{path}")
                except urllib3.exceptions.HTTPError:
                    continue
                if response.status == 200:
                    for task in response.json()["tasks"]:
                        states[task["task_id"]] = task["state"]
                    break
        return states
