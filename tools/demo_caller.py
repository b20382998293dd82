"""Calls the entries of a deployment as a client behind a balancer would."""

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


class Ending(enum.StrEnum):
    """How a request or task ended for its caller."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    INDETERMINATE = "indeterminate"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PARKED = "parked"
    UNKNOWN = "unknown"


FINAL_OUTCOMES = frozenset(
    {Ending.COMPLETED, Ending.NOT_RUN, Ending.INDETERMINATE}
)
FINAL_STATES = frozenset(
    {Ending.SUCCEEDED, Ending.FAILED, Ending.CANCELLED, Ending.PARKED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One request of the demo."""

    number: int
    organisation: str
    kind: str
    repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How a request ended.

    Attributes:
        work: The request.
        ending: Its final result.
        token: Path of the call that gave the result.
        answered: Whether the body was the answer to this very call.
    """

    work: Work
    ending: Ending
    token: str
    answered: bool = True


class Caller:
    """Calls the entries as a client behind a load balancer would.

    Args:
        urls: Caller listeners of the entries.
        until: Reading of `time.monotonic` after which nothing is repeated.
    """

    def __init__(self, urls: Sequence[str], until: float) -> None:
        self._urls = urls
        self._until = until
        self._http = urllib3.PoolManager(
            retries=False,
            maxsize=CONNECTIONS,
            timeout=urllib3.Timeout(connect=2, read=DEADLINE_MS / 1000 + 5),
        )

    def count_attempts(self) -> Iterator[int]:
        """Counts attempts from 0 as long as there is time."""
        return itertools.takewhile(
            lambda _: time.monotonic() < self._until, itertools.count()
        )

    def _send(
        self, work: Work, token: str, url: str
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            "Gypsumhold-Organisation": work.organisation,
            "Gypsumhold-Kind": work.kind,
            "Gypsumhold-Deadline-Ms": str(DEADLINE_MS),
        }
        if not work.repeatable:
            headers["Idempotency-Key"] = f"demo-{work.number}"
        return self._http.request(
            "POST", f"{url}{token}", body=token.encode(), headers=headers
        )

    def run(self, work: Work) -> Ended:
        """Calls until there is a final result.

        A repeat of a repeatable request has a path of its own, so that its
        result says nothing of an earlier call that was lost. A request that is
        not repeatable keeps its path and key; after a lost call, only a
        recorded result is final, because another entry that refuses a repeat
        need not know of the first call.
        """
        lost = False
        token = f"/demo/{work.number}/0"
        for attempt in self.count_attempts():
            if work.repeatable:
                token = f"/demo/{work.number}/{attempt}"
            url = self._urls[(work.number + attempt) % len(self._urls)]
            try:
                response = self._send(work, token, url)
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ):
                PAUSE.wait(PAUSE_S)
                continue
            except urllib3.exceptions.HTTPError:
                lost = not work.repeatable
                continue
            outcome = response.headers.get("Gypsumhold-Outcome", "")
            if outcome not in FINAL_OUTCOMES or (
                lost and outcome == Ending.NOT_RUN
            ):
                PAUSE.wait(PAUSE_S)
                continue
            answered = outcome != Ending.COMPLETED or (
                token in response.data.decode("utf-8", "replace")
            )
            return Ended(work, Ending(outcome), token, answered)
        return Ended(work, Ending.UNKNOWN, token)

    def submit(
        self, number: int, organisation: str, kind: str, payload: str
    ) -> str | None:
        """Submits a task until an entry has accepted it.

        Returns:
            The task id, or None if no entry accepted it.
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
        """Returns the state of each task; empty if no entry answers."""
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
