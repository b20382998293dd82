"""Client, background load and checks for tests with real processes."""

import collections
import concurrent.futures
import dataclasses
import itertools
import threading
import zlib
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import cluster
import cluster_settings
import urllib3

ORGANISATION = "print-house"
REPEATABLE_KIND = "sketch"
NON_REPEATABLE_KIND = "plate"
FORWARDED_KIND = "sketch-cut"
FORWARDED_NON_REPEATABLE_KIND = "plate-cut"
TASK_KIND = "watch"
LONG_LEASE_TASK_KIND = "watch-long"
"""Kind of tasks whose lease outlasts any restart of an agent."""

BROKEN = "broken"
"""Outcome of a call whose connection broke after it was established."""

UNREACHABLE = "unreached"
"""Outcome without a connection: the entry cannot have received the request."""

FINAL_OUTCOMES = frozenset({"completed", "not-run", "indeterminate"})
FINAL_STATES = frozenset({"succeeded", "failed", "cancelled", "parked"})
PARTITIONS = 16
DEADLINE_MS = 16_000
ATTEMPTS = 100
RETRY_PAUSE_S = 0.25
READ_TIMEOUT_S = 30.0

# Waiting for this event pauses the calling thread.
_never_set = threading.Event()


def wait_until(condition: Callable[[], Any], description: str) -> Any:
    """Returns the first true result of a condition.

    The condition is checked ATTEMPTS times, every RETRY_PAUSE_S seconds.

    Raises:
        AssertionError: It was never true; the message has the description.
    """
    for _ in range(ATTEMPTS):
        result = condition()
        if result:
            return result
        _never_set.wait(RETRY_PAUSE_S)
    raise AssertionError(f"after {ATTEMPTS} attempts: {description}")


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request; its unique path identifies it in the upstreams' records.

    Attributes:
        path: Path, and also the body if no other is given.
        kind: Kind of work.
        key: Idempotency key, for kinds that are not repeatable.
        delay_ms: Service time that a header requests from the upstream.
        headers: More headers, for example faults for the upstream.
        body: Body; None for the path.
    """

    path: str
    kind: str = REPEATABLE_KIND
    key: str | None = None
    delay_ms: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None

    def build_headers(self) -> dict[str, str]:
        """Returns all headers."""
        headers = {
            "Gypsumhold-Organisation": ORGANISATION,
            "Gypsumhold-Kind": self.kind,
            "Gypsumhold-Deadline-Ms": str(DEADLINE_MS),
            **dict(self.headers),
        }
        if self.key is not None:
            headers["Idempotency-Key"] = self.key
        if self.delay_ms is not None:
            headers["X-Standin-Delay-Ms"] = str(self.delay_ms)
        return headers

    def build_body(self) -> bytes:
        """Returns the body."""
        return self.path.encode() if self.body is None else self.body


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a caller; without one, the outcome is BROKEN or UNREACHABLE."""

    outcome: str
    status: int = 0
    reason: str = ""
    retry_after: str | None = None
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CallHistory:
    """One request and all answers to it, the final one last."""

    request: Request
    answers: tuple[Answer, ...]

    @property
    def final_answer(self) -> Answer:
        """The last answer, which has the final outcome."""
        return self.answers[-1]


class Client:
    """Calls the entries of a deployment and reads the stand-ins' records."""

    def __init__(self, deployment: cluster.Cluster) -> None:
        self._deployment = deployment
        self.http = urllib3.PoolManager(
            retries=False,
            maxsize=64,
            timeout=urllib3.Timeout(connect=2, read=READ_TIMEOUT_S),
        )
        self.urls = [
            deployment.get_callers_url(member.index)
            for member in deployment.list_members(cluster_settings.Role.ENTRY)
        ]

    def call(self, entry: int, request: Request) -> Answer:
        """Sends a request to an entry, once."""
        try:
            response = self.http.request(
                "POST",
                f"{self.urls[entry]}{request.path}",
                body=request.build_body(),
                headers=request.build_headers(),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return Answer(UNREACHABLE)
        except urllib3.exceptions.HTTPError as problem:
            return Answer(BROKEN, reason=repr(problem))
        return Answer(
            response.headers.get("Gypsumhold-Outcome", ""),
            response.status,
            response.headers.get("Gypsumhold-Reason", ""),
            response.headers.get("Retry-After"),
            response.data,
        )

    def call_until_final(
        self, entries: Sequence[int], request: Request
    ) -> CallHistory:
        """Calls the entries in turn until the outcome is final.

        A request without a key is not sent again after a broken call, because
        it would run again. A request with a key is sent again under its key.
        After a broken call a refusal is not final, because the entry that
        refuses may not have read the claim.
        """
        answers: list[Answer] = []
        for attempt in range(ATTEMPTS):
            answer = self.call(entries[attempt % len(entries)], request)
            if answer.outcome == UNREACHABLE:
                _never_set.wait(RETRY_PAUSE_S)
                continue
            was_broken = any(item.outcome == BROKEN for item in answers)
            answers.append(answer)
            if answer.outcome == BROKEN and request.key is None:
                break
            if answer.outcome in FINAL_OUTCOMES and not (
                was_broken and answer.outcome == "not-run"
            ):
                break
            if answer.outcome not in (BROKEN, "in-progress", "not-run"):
                break
            _never_set.wait(RETRY_PAUSE_S)
        return CallHistory(request, tuple(answers) or (Answer(UNREACHABLE),))

    def submit_task(
        self,
        key: str,
        run_ms: int,
        entries: Sequence[int] = (0, 1),
        kind: str = TASK_KIND,
    ) -> str:
        """Submits a task to entries in turn until one accepts it.

        Returns:
            The id of the task.
        """
        next_entries = itertools.cycle(entries)

        def post() -> str | None:
            try:
                response = self.post_task(next(next_entries), key, run_ms, kind)
            except urllib3.exceptions.HTTPError:
                return None
            is_accepted = response.status == 201
            return str(response.json()["task_id"]) if is_accepted else None

        return str(wait_until(post, f"task {key} was not accepted"))

    def post_task(
        self, entry: int, key: str, run_ms: int, kind: str = TASK_KIND
    ) -> urllib3.BaseHTTPResponse:
        """Submits a task to an entry, once."""
        return self.http.request(
            "POST",
            f"{self.urls[entry]}/gypsumhold/v1/tasks",
            json={
                "organisation": ORGANISATION,
                "kind": kind,
                "payload": f'{{"run_ms": {run_ms}}}',
            },
            headers={"Idempotency-Key": key},
        )

    def list_tasks(self) -> dict[str, str]:
        """Returns the state of each task by id; empty if no entry answers."""
        for url in self.urls:
            try:
                response = self.http.request(
                    "GET",
                    f"{url}/gypsumhold/v1/tasks?organisation={ORGANISATION}",
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                tasks = response.json()["tasks"]
                return {task["task_id"]: task["state"] for task in tasks}
        return {}

    def wait_for_tasks(self, task_ids: Iterable[str]) -> dict[str, str]:
        """Waits until every task has ended; returns the state of each by id."""
        expected_ids = set(task_ids)

        def read() -> dict[str, str] | None:
            ended_tasks = {
                task_id: state
                for task_id, state in self.list_tasks().items()
                if task_id in expected_ids and state in FINAL_STATES
            }
            return ended_tasks if ended_tasks.keys() == expected_ids else None

        final_states: dict[str, str] = wait_until(
            read, "not every task has ended"
        )
        return final_states

    def find_holder(self) -> int:
        """Returns the entry that holds the organisation's partition."""
        partition = zlib.crc32(ORGANISATION.encode()) % PARTITIONS
        rows = self.read_rows(f"partition/{partition:04d}")
        return int(str(rows[0]["value"]["holder"]).removeprefix("entry-"))

    def read_epochs(self) -> dict[str, int]:
        """Returns the epoch of each task, which counts its placements."""
        rows = self.read_rows("task/")
        return {row["value"]["task_id"]: row["value"]["epoch"] for row in rows}

    def read_rows(self, prefix: str) -> list[Any]:
        """Reads the rows of the table whose keys have a prefix."""
        platform = cluster_settings.Member(cluster_settings.Role.PLATFORM)
        url = self._deployment.get_health_url(platform)
        answer = self.http.request(
            "GET", f"{url}/v1/table/rows?prefix={prefix}"
        )
        return list(answer.json()["rows"])

    def call_operator(
        self, entry: int, target: str, document: Any = None
    ) -> urllib3.BaseHTTPResponse:
        """Calls an operator route of an entry.

        Args:
            entry: Index of the entry.
            target: Method and path.
            document: JSON body, if any.
        """
        method, path = target.split()
        member = cluster_settings.Member(cluster_settings.Role.ENTRY, entry)
        token = f"Bearer {cluster_settings.OPERATOR_TOKEN}"
        return self.http.request(
            method,
            f"{self._deployment.get_health_url(member)}{path}",
            json=document,
            headers={"Authorization": token},
        )

    def read_records(self, role: cluster_settings.Role, index: int) -> Any:
        """Returns what a worker or upstream stand-in has recorded."""
        member = cluster_settings.Member(role, index)
        url = self._deployment.get_health_url(member)
        return self.http.request("GET", f"{url}/v1/seen").json()

    def set_fault(
        self,
        role: cluster_settings.Role,
        index: int = 0,
        fault: str = "none",
        **options: Any,
    ) -> None:
        """Sets the fault of a stand-in; the default ends it."""
        member = cluster_settings.Member(role, index)
        url = self._deployment.get_health_url(member)
        response = self.http.request(
            "POST", f"{url}/v1/faults", json={"fault": fault, **options}
        )
        assert response.status == 200, response.data

    def count_runs(self) -> collections.Counter[str]:
        """Returns how often the upstreams ran each path."""
        runs: collections.Counter[str] = collections.Counter()
        role = cluster_settings.Role.UPSTREAM
        for member in self._deployment.list_members(role):
            records = self.read_records(role, member.index)
            runs.update(request["target"] for request in records["requests"])
        return runs

    def read_task_runs(self) -> dict[str, list[tuple[int, int | None]]]:
        """Returns the start and end of each run by task id, ordered by start.

        Times are in milliseconds; the end is None for a run that goes on.
        """
        runs: dict[str, list[tuple[int, int | None]]] = {}
        role = cluster_settings.Role.WORKER
        for member in self._deployment.list_members(role):
            for run in self.read_records(role, member.index)["runs"]:
                span = (run["started_ms"], run["ended_ms"])
                runs.setdefault(run["task_id"], []).append(span)
        return {task_id: sorted(spans) for task_id, spans in runs.items()}


class BackgroundLoad:
    """Sends requests from several threads until the context is left.

    Args:
        client: Sends the requests.
        tag: Prefix of the paths and keys, unique for each test.
        threads: Number of concurrent requests.
        delay_ms: Service time requested from the upstreams.
        kinds: Kinds of work, used in turn.
    """

    def __init__(
        self,
        client: Client,
        tag: str,
        threads: int = 16,
        delay_ms: int = 60,
        kinds: Sequence[str] = (REPEATABLE_KIND, NON_REPEATABLE_KIND),
    ) -> None:
        self._client = client
        self._tag = tag
        self._delay_ms = delay_ms
        self._kinds = kinds
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._changed = threading.Condition()
        self.histories: list[CallHistory] = []
        self._pool = concurrent.futures.ThreadPoolExecutor(threads)
        self._senders = [
            self._pool.submit(self._send_requests) for _ in range(threads)
        ]

    def _send_requests(self) -> None:
        while not self._stopping.is_set():
            number = next(self._numbers)
            path = f"/{self._tag}/{number}"
            # Kinds alternate with each request, entries with every second one.
            kind = self._kinds[number % len(self._kinds)]
            request = Request(
                path,
                kind,
                key=path if kind == NON_REPEATABLE_KIND else None,
                delay_ms=self._delay_ms,
            )
            entries = (0, 1) if number % 4 < 2 else (1, 0)
            history = self._client.call_until_final(entries, request)
            with self._changed:
                self.histories.append(history)
                self._changed.notify_all()

    def wait_for_completed(self, count: int) -> None:
        """Waits until `count` more requests have completed.

        Raises:
            AssertionError: They did not complete in time.
        """
        with self._changed:
            target = self._count_completed() + count
            is_reached = self._changed.wait_for(
                lambda: self._count_completed() >= target, READ_TIMEOUT_S
            )
        assert is_reached, f"fewer than {count} more requests completed"

    def _count_completed(self) -> int:
        return sum(
            history.final_answer.outcome == "completed"
            for history in self.histories
        )

    def __enter__(self) -> "BackgroundLoad":
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._pool.shutdown()
        for sender in self._senders:
            sender.result()


def find_violations(
    client: Client,
    histories: Sequence[CallHistory],
    killed_entries: bool = False,
) -> list[str]:
    """Returns a message for each violated guarantee about requests.

    Args:
        client: Reads the records of the upstreams.
        histories: The requests and their answers.
        killed_entries: Whether an entry was killed, so that callers may have
            lost their connections.
    """
    runs = client.count_runs()
    violations = []
    for history in histories:
        request, final = history.request, history.final_answer
        count = runs[request.path]
        if final.outcome == BROKEN and killed_entries and not request.key:
            continue
        broken = [
            answer for answer in history.answers if answer.outcome == BROKEN
        ]
        if broken and not killed_entries:
            violations.append(f"{request.path}: a connection broke: {broken}")
        if final.outcome not in FINAL_OUTCOMES:
            violations.append(f"{request.path}: no final outcome: {final}")
        if final.outcome == "completed" and final.body != request.build_body():
            violations.append(
                f"{request.path}: answered with the body of another request"
            )
        if final.outcome == "completed" and not count:
            violations.append(f"{request.path}: completed, but it never ran")
        if final.outcome == "not-run" and count:
            violations.append(f"{request.path}: not-run, but it ran: {history}")
        if request.key and count > 1:
            violations.append(f"{request.path}: ran {count} times: {history}")
    return violations


def find_task_overlaps(
    client: Client, task_ids: Iterable[str], run_ms: int | None = None
) -> list[str]:
    """Returns a message for each task that ran in two places at once.

    Args:
        client: Reads the records of the workers.
        task_ids: The tasks, which must have ended.
        run_ms: If given, each task must have had exactly one run of at least
            this time in milliseconds.
    """
    runs = client.read_task_runs()
    violations = []
    for task_id in task_ids:
        spans = runs.get(task_id, [])
        for (_, ended), (started, _) in itertools.pairwise(spans):
            if ended is None or ended > started:
                violations.append(f"task {task_id} ran in two places: {spans}")
        complete = [
            span
            for span in spans
            if run_ms and span[1] is not None and span[1] - span[0] >= run_ms
        ]
        if run_ms and len(complete) != 1:
            violations.append(
                f"task {task_id} ran {len(complete)} times: {spans}"
            )
    return violations
