"""Callers, background load and checks for tests on real processes."""

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
REPEATABLE = "sketch"
ONCE = "plate"
CUT = "sketch-cut"
CUT_ONCE = "plate-cut"
TASK = "watch"
BROKEN = "broken"
"""The connection broke after it was established."""

UNREACHED = "unreached"
"""No connection, so the entry cannot have taken the request."""

FINAL = frozenset({"completed", "not-run", "indeterminate"})
FINAL_STATES = frozenset({"succeeded", "failed", "cancelled", "parked"})
PARTITIONS = 16
DEADLINE_MS = 16_000
ATTEMPTS = 100
PAUSE_S = 0.25
READ_TIMEOUT_S = 30.0

_pause = threading.Event()


def attempt_until(condition: Callable[[], Any], what: str) -> Any:
    """Returns the first true result of a bounded number of attempts."""
    for _ in range(ATTEMPTS):
        result = condition()
        if result:
            return result
        _pause.wait(PAUSE_S)
    raise AssertionError(f"after {ATTEMPTS} attempts: {what}")


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request; its path is unique, so that upstreams' records name it.

    Attributes:
        path: Path, also the body.
        kind: Kind of work.
        key: Idempotency key, for kinds that are not repeatable.
        delay_ms: Time that the upstream is told to take.
        headers: More headers, for example faults for the upstream.
        body: Body, if it is not the path.
    """

    path: str
    kind: str = REPEATABLE
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

    def read_body(self) -> bytes:
        """Returns the body."""
        return self.path.encode() if self.body is None else self.body


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got; outcome is BROKEN or UNREACHED without an answer."""

    outcome: str
    status: int = 0
    reason: str = ""
    retry_after: str | None = None
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """One request and every answer to it, the final one last."""

    request: Request
    answers: tuple[Answer, ...]

    @property
    def final(self) -> Answer:
        """The answer that counts."""
        return self.answers[-1]


class Client:
    """Calls a deployment's entries and reads the stand-ins' records."""

    def __init__(self, running: cluster.Cluster) -> None:
        self._running = running
        self.http = urllib3.PoolManager(
            retries=False,
            maxsize=64,
            timeout=urllib3.Timeout(connect=2, read=READ_TIMEOUT_S),
        )
        self.urls = [
            running.get_callers_url(member.index)
            for member in running.list_members(cluster_settings.Role.ENTRY)
        ]

    def call(self, entry: int, request: Request) -> Answer:
        """Sends a request to an entry, once."""
        try:
            response = self.http.request(
                "POST",
                f"{self.urls[entry]}{request.path}",
                body=request.read_body(),
                headers=request.build_headers(),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return Answer(UNREACHED)
        except urllib3.exceptions.HTTPError as problem:
            return Answer(BROKEN, reason=repr(problem))
        return Answer(
            response.headers.get("Gypsumhold-Outcome", ""),
            response.status,
            response.headers.get("Gypsumhold-Reason", ""),
            response.headers.get("Retry-After"),
            response.data,
        )

    def run(self, entries: Sequence[int], request: Request) -> Ended:
        """Calls the entries in turn until the outcome is known.

        A broken call of a repeatable request ends there: a repeat would be
        another run. A request with a key is repeated under its key. After a
        broken call a refusal is not final: the entry that refuses need not
        have read the claim.
        """
        answers: list[Answer] = []
        for number in range(ATTEMPTS):
            answer = self.call(entries[number % len(entries)], request)
            if answer.outcome == UNREACHED:
                _pause.wait(PAUSE_S)
                continue
            lost = any(item.outcome == BROKEN for item in answers)
            answers.append(answer)
            if answer.outcome == BROKEN and request.key is None:
                break
            if answer.outcome in FINAL and not (
                lost and answer.outcome == "not-run"
            ):
                break
            if answer.outcome not in (BROKEN, "in-progress", "not-run"):
                break
            _pause.wait(PAUSE_S)
        return Ended(request, tuple(answers) or (Answer(UNREACHED),))

    def submit(
        self, key: str, run_ms: int, entries: Sequence[int] = (0, 1)
    ) -> str:
        """Submits a task to entries in turn until one has accepted it."""
        turns = itertools.cycle(entries)

        def post() -> str | None:
            try:
                response = self.post_task(next(turns), key, run_ms)
            except urllib3.exceptions.HTTPError:
                return None
            accepted = response.status == 201
            return str(response.json()["task_id"]) if accepted else None

        return str(attempt_until(post, f"task {key} is not accepted"))

    def post_task(
        self, entry: int, key: str, run_ms: int
    ) -> urllib3.BaseHTTPResponse:
        """Submits a task to an entry, once."""
        return self.http.request(
            "POST",
            f"{self.urls[entry]}/gypsumhold/v1/tasks",
            json={
                "organisation": ORGANISATION,
                "kind": TASK,
                "payload": f'{{"run_ms": {run_ms}}}',
            },
            headers={"Idempotency-Key": key},
        )

    def list_tasks(self) -> dict[str, str]:
        """Returns the state of each task; empty if no entry answers."""
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
                return {item["task_id"]: item["state"] for item in tasks}
        return {}

    def wait_tasks(self, task_ids: Iterable[str]) -> dict[str, str]:
        """Waits until every task has ended and returns its state."""
        wanted = set(task_ids)

        def read() -> dict[str, str] | None:
            found = {
                name: state
                for name, state in self.list_tasks().items()
                if name in wanted and state in FINAL_STATES
            }
            return found if found.keys() == wanted else None

        ended: dict[str, str] = attempt_until(read, "tasks have not ended")
        return ended

    def find_holder(self) -> int:
        """Returns the entry that holds the organisation's partition."""
        number = zlib.crc32(ORGANISATION.encode()) % PARTITIONS
        found = self.read_rows(f"partition/{number:04d}")
        return int(str(found[0]["value"]["holder"]).removeprefix("entry-"))

    def read_epochs(self) -> dict[str, int]:
        """Returns how often each task was placed."""
        found = self.read_rows("task/")
        return {row["value"]["task_id"]: row["value"]["epoch"] for row in found}

    def read_rows(self, prefix: str) -> list[Any]:
        """Reads rows of the table."""
        platform = cluster_settings.Member(cluster_settings.Role.PLATFORM)
        url = self._running.get_health_url(platform)
        answer = self.http.request(
            "GET", f"{url}/v1/table/rows?prefix={prefix}"
        )
        return list(answer.json()["rows"])

    def call_operator(
        self, entry: int, target: str, document: Any = None
    ) -> urllib3.BaseHTTPResponse:
        """Calls an operator route, named by method and path, of an entry."""
        method, path = target.split()
        member = cluster_settings.Member(cluster_settings.Role.ENTRY, entry)
        token = f"Bearer {cluster_settings.OPERATOR_TOKEN}"
        return self.http.request(
            method,
            f"{self._running.get_health_url(member)}{path}",
            json=document,
            headers={"Authorization": token},
        )

    def read_seen(self, role: cluster_settings.Role, index: int) -> Any:
        """Returns the record of a stand-in."""
        member = cluster_settings.Member(role, index)
        url = self._running.get_health_url(member)
        return self.http.request("GET", f"{url}/v1/seen").json()

    def set_fault(
        self,
        role: cluster_settings.Role,
        index: int = 0,
        fault: str = "none",
        **options: Any,
    ) -> None:
        """Scripts a fault of a stand-in; the default ends it."""
        member = cluster_settings.Member(role, index)
        url = self._running.get_health_url(member)
        response = self.http.request(
            "POST", f"{url}/v1/faults", json={"fault": fault, **options}
        )
        assert response.status == 200, response.data

    def count_runs(self) -> collections.Counter[str]:
        """Returns how often upstreams ran each path."""
        runs: collections.Counter[str] = collections.Counter()
        role = cluster_settings.Role.UPSTREAM
        for member in self._running.list_members(role):
            seen = self.read_seen(role, member.index)
            runs.update(item["target"] for item in seen["requests"])
        return runs

    def read_task_runs(self) -> dict[str, list[tuple[int, int | None]]]:
        """Returns when each task ran on any worker, in order of its starts."""
        runs: dict[str, list[tuple[int, int | None]]] = {}
        role = cluster_settings.Role.WORKER
        for member in self._running.list_members(role):
            for run in self.read_seen(role, member.index)["runs"]:
                span = (run["started_ms"], run["ended_ms"])
                runs.setdefault(run["task_id"], []).append(span)
        return {name: sorted(spans) for name, spans in runs.items()}


class Load:
    """Sends requests from several threads until it is left.

    Args:
        client: Who calls.
        tag: Prefix of the paths and keys, unique for each test.
        threads: Requests at once.
        delay_ms: Time that upstreams are told to take.
        kinds: Kinds that take turns.
    """

    def __init__(
        self,
        client: Client,
        tag: str,
        threads: int = 16,
        delay_ms: int = 60,
        kinds: Sequence[str] = (REPEATABLE, ONCE),
    ) -> None:
        self._client = client
        self._tag = tag
        self._delay_ms = delay_ms
        self._kinds = kinds
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._changed = threading.Condition()
        self.ended: list[Ended] = []
        self._pool = concurrent.futures.ThreadPoolExecutor(threads)
        self._loops = [self._pool.submit(self._repeat) for _ in range(threads)]

    def _repeat(self) -> None:
        while not self._stopping.is_set():
            number = next(self._numbers)
            path = f"/{self._tag}/{number}"
            # Entries alternate with every second request, kinds with each.
            kind = self._kinds[number % len(self._kinds)]
            request = Request(
                path,
                kind,
                key=path if kind == ONCE else None,
                delay_ms=self._delay_ms,
            )
            entries = (0, 1) if number % 4 < 2 else (1, 0)
            ended = self._client.run(entries, request)
            with self._changed:
                self.ended.append(ended)
                self._changed.notify_all()

    def wait_more(self, count: int) -> None:
        """Waits until `count` more requests have completed."""
        with self._changed:
            wanted = self._count_completed() + count
            done = self._changed.wait_for(
                lambda: self._count_completed() >= wanted, READ_TIMEOUT_S
            )
        assert done, f"fewer than {count} further requests completed"

    def _count_completed(self) -> int:
        return sum(item.final.outcome == "completed" for item in self.ended)

    def __enter__(self) -> "Load":
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._pool.shutdown()
        for loop in self._loops:
            loop.result()


def find_violations(
    client: Client, ended: Sequence[Ended], killed_entries: bool = False
) -> list[str]:
    """Returns one line for each broken promise about requests.

    Args:
        client: Reads the upstreams' records.
        ended: The requests.
        killed_entries: Whether callers may have lost their connection.
    """
    runs = client.count_runs()
    found = []
    for item in ended:
        request, final = item.request, item.final
        count = runs[request.path]
        if final.outcome == BROKEN and killed_entries and not request.key:
            continue
        broken = [one for one in item.answers if one.outcome == BROKEN]
        if broken and not killed_entries:
            found.append(f"{request.path}: a connection broke: {broken}")
        if final.outcome not in FINAL:
            found.append(f"{request.path}: no known outcome: {final}")
        if final.outcome == "completed" and final.body != request.read_body():
            found.append(f"{request.path}: another request's answer")
        if final.outcome == "completed" and not count:
            found.append(f"{request.path}: completed, but it never ran")
        if final.outcome == "not-run" and count:
            found.append(f"{request.path}: not-run, but it ran: {item}")
        if request.key and count > 1:
            found.append(f"{request.path}: ran {count} times: {item}")
    return found


def find_task_overlaps(
    client: Client, task_ids: Iterable[str], run_ms: int | None = None
) -> list[str]:
    """Returns one line for each task that ran in two places at once.

    Args:
        client: Reads the workers' records.
        task_ids: The tasks, which have ended.
        run_ms: If given, each task has to have run this long exactly once.
    """
    runs = client.read_task_runs()
    found = []
    for name in task_ids:
        spans = runs.get(name, [])
        for (_, ended), (started, _) in itertools.pairwise(spans):
            if ended is None or ended > started:
                found.append(f"task {name} ran in two places: {spans}")
        whole = [
            span
            for span in spans
            if run_ms and span[1] is not None and span[1] - span[0] >= run_ms
        ]
        if run_ms and len(whole) != 1:
            found.append(f"task {name} ran {len(whole)} times: {spans}")
    return found
