"""The platform on loopback: its table and machines, and checking workers."""

import datetime
import random
import threading
import time
import types
import urllib.parse
from typing import Any

import msgspec
import urllib3

from gypsumhold.adapters import http_routes, http_server
from gypsumhold.model import members
from gypsumhold.model.jobs import events, runs
from gypsumhold.platform import documents, worker
from tests.jobs import worker_fake

ANY_PORT = members.Address("127.0.0.1", 0)
THREADS = 40
MAX_BODY_BYTES = 1024 * 1024
SILENCE_DURATION_S = 4.0
SLOW_DELAY_S = (0.2, 0.9)
DOWN_MS = 700
LATE_PROBABILITY = 0.3
MACHINES_PER_PAGE = 4
CANCELLATION_GRACE_S = 12.0
"""Time after which grants from before a cancellation have expired."""

LATE_START_S = 1.0
"""How long after a done run was acknowledged an order under way may arrive."""

HEARTBEAT_INTERVAL_S = 0.5
POOL = "pool"
MEMORY_MB = 64_000
LABELS = ("a", "r1-1")
HOST = "queue.example"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": HOST,
            "prefix": "/q/",
            "service": POOL,
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 1.5,
            "latencyTargetMs": 300,
        }
    ],
}

RowKey = tuple[str, str, str]


class TableStandin(http_routes.Routes):
    """The table service, which also lists the machines of the workers.

    Attributes:
        fault: Name of the simulated fault, or empty. `busy` refuses requests,
            `silent` refuses them after a long wait, and `slow` delays them.
            `lost` sends some answers, and `late` executes some requests,
            only after their callers have timed out.
        address: Address at which the table listens.
    """

    def __init__(self, seed: int, checker: "InvariantChecker") -> None:
        self.fault = ""
        self._checker = checker
        self._random = random.Random(seed)
        self._changed = threading.Condition()
        self._version = 1
        config = msgspec.json.encode(CONFIG)
        self._rows: dict[RowKey, tuple[int, bytes]] = {
            ("op", "", "config"): (1, config)
        }
        self._history: list[tuple[int, RowKey]] = [(1, ("op", "", "config"))]
        self._dropped_version = 0
        self._listener = http_server.Listener(
            ANY_PORT, self, THREADS, MAX_BODY_BYTES
        )
        self.address = self._listener.read_address()

    def close(self) -> None:
        self._listener.close()

    def answer(
        self, request: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        fault = self.fault
        if fault == "busy":
            return http_routes.HttpResponse(503)
        if fault == "silent":
            time.sleep(SILENCE_DURATION_S)
            return http_routes.HttpResponse(503)
        if fault == "slow":
            time.sleep(self._random.uniform(*SLOW_DELAY_S))
        if fault == "late" and self._random.random() < LATE_PROBABILITY:
            time.sleep(SILENCE_DURATION_S)
        answer = self._serve(request)
        if fault == "lost" and self._random.random() < 0.3:
            time.sleep(SILENCE_DURATION_S)
        return answer

    def _serve(
        self, request: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        path = request.read_path()
        query = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(
                request.target.partition("?")[2]
            ).items()
        }
        if path == "/machines":
            return self._list_machines(int(query.get("pageToken", "0")))
        if path == "/rows-tx":
            return self._transact(request.body)
        if path == "/rows-get":
            return self._read(query)
        return self._follow(query)

    def _list_machines(self, first: int) -> http_routes.HttpResponse:
        """Returns the page of the list of machines from a number on."""
        end = first + MACHINES_PER_PAGE
        with self._checker.lock:
            workers = self._checker.workers
            page: dict[str, Any] = {
                "machines": [
                    worker.describe_machine() for worker in workers[first:end]
                ]
            }
            if end < len(workers):
                page["nextToken"] = str(end)
        return http_routes.render_json(200, page)

    def _transact(self, body: bytes) -> http_routes.HttpResponse:
        """Commits a transaction, or answers 412 with the present rows."""
        change = msgspec.json.decode(body, type=documents.Transaction)
        with self._changed:
            expected_versions = [
                ((row.table, row.part, row.key), row.row_version)
                for row in change.expected_revision
            ]
            if any(
                self._find(key) != version for key, version in expected_versions
            ):
                keys = [
                    key for key, _ in expected_versions if key in self._rows
                ]
                return self._render(412, keys)
            self._version += 1
            for put in change.put:
                key = (put.table, put.part, put.key)
                self._rows[key] = (self._version, put.value)
                self._history.append((self._version, key))
            for name in change.remove:
                self._rows.pop((name.table, name.part, name.key), None)
            self._changed.notify_all()
            return self._render(200, [])

    def drop_history(self) -> None:
        """Drops all changes; readers waiting for them must read all rows."""
        with self._changed:
            self._dropped_version = self._version
            self._history.clear()
            self._changed.notify_all()

    def _find(self, key: RowKey) -> int:
        return self._rows.get(key, (0, b""))[0]

    def _read(self, query: dict[str, str]) -> http_routes.HttpResponse:
        with self._changed:
            keys = sorted(
                key
                for key in self._rows
                if key[0] == query["table"]
                and key[1] == query.get("part", "")
                and key[2] >= query.get("from", "")
                and ("to" not in query or key[2] < query["to"])
            )
            return self._render(200, keys)

    def _follow(self, query: dict[str, str]) -> http_routes.HttpResponse:
        """Waits for changes after a version; answers 410 if they are gone."""
        after = int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        with self._changed:
            while True:
                if after < self._dropped_version:
                    return http_routes.HttpResponse(410)
                keys = [
                    key
                    for version, key in self._history
                    if version > after
                    and key[0] == query["table"]
                    and key in self._rows
                ]
                remaining_s = deadline - time.monotonic()
                if keys or remaining_s <= 0:
                    return self._render(200, list(dict.fromkeys(keys)))
                self._changed.wait(remaining_s)

    def _render(
        self, status: int, keys: list[RowKey]
    ) -> http_routes.HttpResponse:
        rows = tuple(
            documents.Row(
                table=key[0],
                part=key[1],
                key=key[2],
                row_version=self._rows[key][0],
                value=self._rows[key][1],
            )
            for key in keys
        )
        body = documents.render(documents.Rows(rows, self._version))
        return http_routes.HttpResponse(status, http_routes.JSON_HEADERS, body)


class InvariantChecker:
    """Checks the invariants of all jobs at every start on any worker.

    Attributes:
        lock: Held while a worker serves a request or restarts.
        workers: All workers.
        problems: Messages about violated invariants.
        started: Jobs of which a task has started.
        refused: Jobs that were refused.
        cancelled: Time on the monotonic clock at which jobs were cancelled.
        done: Tasks of each job that have ended successfully.
        noted_done: When such an end was acknowledged, by task.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.workers: list[WorkerStandin] = []
        self.problems: list[str] = []
        self.started: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: dict[str, float] = {}
        self.done: dict[str, set[runs.TaskRef]] = {}
        self.noted_done: dict[runs.TaskRef, float] = {}

    def record_refused(self, job: str) -> None:
        """Records a refused job, which must neither have run nor run later."""
        with self.lock:
            self.refused.add(job)
            if job in self.started:
                self.problems.append(f"{job} ran before it was refused")

    def record_cancelled(self, job: str) -> None:
        """Records a cancelled job; none of its tasks may start much later."""
        with self.lock:
            self.cancelled[job] = time.monotonic()

    def check_completed(self, job: str) -> None:
        """Checks that every step of a job reported as completed is done."""
        with self.lock:
            steps = {ref.step for ref in self.done.get(job, set())}
            if steps != {0, 1}:
                self.problems.append(
                    f"{job} is reported as completed too early"
                )

    def record_ends(self, worker: "WorkerStandin") -> None:
        """Records the tasks that are done on a worker."""
        for row in worker.fake.ends:
            if row.end is runs.RunEnd.DONE:
                task = row.ref.task
                self.done.setdefault(task.job_id, set()).add(task)

    def record_noted(self, worker: "WorkerStandin", last_seen: int) -> None:
        """Records the done runs whose ends a poll acknowledges."""
        for row in worker.fake.ends:
            if row.number <= last_seen and row.end is runs.RunEnd.DONE:
                self.noted_done.setdefault(row.ref.task, time.monotonic())

    def check_start(self, started: "WorkerStandin", ref: runs.RunRef) -> None:
        """Checks the invariants when a run starts."""
        job = ref.task.job_id
        self.started.add(job)
        if job in self.refused:
            self.problems.append(f"{ref.task} of a refused job runs")
        cancelled_at = self.cancelled.get(job)
        if (
            cancelled_at is not None
            and time.monotonic() > cancelled_at + CANCELLATION_GRACE_S
        ):
            self.problems.append(f"{ref.task} of a cancelled job runs")
        for other in self.workers:
            if other is started:
                continue
            other.advance()
            self.record_ends(other)
            if ref.task in other.fake.running:
                self.report_second_run(started, ref, other)
        self.check_not_done(started, ref)
        used_millis = sum(
            run.cpu_millis for run in started.fake.running.values()
        )
        if used_millis > started.fake.cpu_millis:
            self.problems.append(f"{started.fake.name} is over its capacity")

    def report_second_run(
        self, started: "WorkerStandin", ref: runs.RunRef, other: "WorkerStandin"
    ) -> None:
        """Reports a start while another worker runs the same task."""
        self.problems.append(f"{ref.task} runs twice")

    def check_not_done(
        self, started: "WorkerStandin", ref: runs.RunRef
    ) -> None:
        """Checks that no end as done was acknowledged long before a start."""
        noted_at = self.noted_done.get(ref.task)
        if noted_at is not None and time.monotonic() > noted_at + LATE_START_S:
            self.problems.append(f"{ref.task} runs again after it was done")


class WorkerStandin(http_routes.Routes):
    """Serves one fake worker over HTTP and sends its heartbeats.

    Attributes:
        threads: Number of calls that are served concurrently.
        lapsed_end: Highest number of an end that was listed when the lease
            expired last; 0 if there is none in this incarnation.
    """

    threads = 8

    def __init__(self, name: str, checker: InvariantChecker, seed: int) -> None:
        # The clock of a worker may be up to 2% slow.
        rate = random.Random(seed).choice((1.0, 0.98))
        self.fake = worker_fake.FakeWorker(
            name, int(time.time() * 1000), rate=rate
        )
        self.fake.up_at_ms = time.monotonic() * 1000
        self.agent = ""
        self.lapsed_end = 0
        self._checker = checker
        self._random = random.Random(seed)
        self._stopped = threading.Event()
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)
        checker.workers.append(self)
        self._listener = http_server.Listener(
            ANY_PORT, self, self.threads, MAX_BODY_BYTES
        )
        self.address = self._listener.read_address()
        self._thread = threading.Thread(
            target=self._send_heartbeats, daemon=True
        )

    def start(self, agent: str) -> None:
        self.agent = agent
        self._thread.start()

    def close(self) -> None:
        self._stopped.set()
        self._thread.join(5)
        self._listener.close()

    def is_cut(self) -> bool:
        """Tells whether the worker can't be reached."""
        return False

    def _is_down(self) -> bool:
        return time.monotonic() * 1000 < self.fake.up_at_ms

    def describe_machine(self) -> dict[str, Any]:
        """Returns the entry of the worker in the list of machines."""
        return {
            "machine": f"m-{self.fake.name}",
            "pool": POOL,
            "state": "down" if self._is_down() else "up",
            "zone": self.fake.zone,
            "labels": LABELS,
            "capacity": {
                "cpu": self.fake.cpu_millis,
                "memoryRequestMb": MEMORY_MB,
            },
            "id": self.fake.name,
        }

    def find_lease_end(self) -> float:
        """Returns the end of the lease in milliseconds of this process."""
        # The worker's clock is read in whole milliseconds, rounded down.
        return self.fake.up_at_ms + self.fake.until_ms / self.fake.rate + 1

    def advance(self) -> float:
        """Ends the runs that are over, and returns the time."""
        now_ms = time.monotonic() * 1000
        lease_end_ms = self.find_lease_end()
        if lease_end_ms < now_ms:
            # A run that was to finish after the lease has not finished.
            self.fake.advance(lease_end_ms)
            self.lapsed_end = self.fake.last_end
        self.fake.advance(now_ms)
        return now_ms

    def restart(self, down_ms: float = DOWN_MS) -> None:
        """Ends all runs; the next incarnation starts under the same name."""
        with self._checker.lock:
            now_ms = self.advance()
            self._checker.record_ends(self)
            self.fake.restart(now_ms, down_ms)
            self.lapsed_end = 0

    def _send_heartbeats(self) -> None:
        """Sends heartbeats until the worker is closed."""
        while not self._stopped.wait(HEARTBEAT_INTERVAL_S):
            if not self._is_down():
                self._send_heartbeat(*self._build_heartbeat())

    def _build_heartbeat(self) -> tuple[str, bytes]:
        """Returns the URL and the body of the next heartbeat."""
        with self._checker.lock:
            self.fake.heartbeats += 1
            heartbeat = documents.Heartbeat(
                POOL,
                str(self.address),
                self.fake.zone,
                "ready",
                self.fake.heartbeats,
                self.fake.started_ms,
                documents.Capacity(self.fake.cpu_millis, MEMORY_MB, 0),
                LABELS,
            )
            url = f"http://{self.agent}/instances/{self.fake.name}"
        return url, documents.render(heartbeat)

    def _send_heartbeat(self, url: str, body: bytes) -> None:
        """Sends one heartbeat to the agent."""
        try:
            self._pool.request("PUT", url, body=body, timeout=1.0)
        except urllib3.exceptions.HTTPError:
            # A fault of the soak test has killed or paused the agent.
            return

    def answer(
        self, request: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        body: Any = msgspec.json.decode(request.body)
        self._wait_for_ends(request.read_path(), body)
        return self._carry_out(request, body)

    def _wait_for_ends(self, path: str, body: Any) -> None:
        """Waits as long as a poll may wait for the next end."""
        if path == "/hold" and body.get("waitMs"):
            time.sleep(min(0.2, body["waitMs"] / 1000))

    def _carry_out(
        self, request: http_routes.HttpRequest, body: Any
    ) -> http_routes.HttpResponse:
        """Carries out a call if it names the incarnation that is up."""
        expected_name = dict(request.headers).get("X-Expected-Instance", "")
        with self._checker.lock:
            if self._is_down():
                return http_routes.HttpResponse(503)
            if expected_name and expected_name != self.fake.name:
                return http_routes.HttpResponse(421)
            now_ms = self.advance()
            self._checker.record_ends(self)
            result = self._apply(request.read_path(), body, now_ms)
            return self._render(request.read_path(), result, now_ms)

    def _apply(
        self, path: str, body: Any, now_ms: float
    ) -> events.CommandResult:
        call = types.SimpleNamespace(
            fence=body["fencingToken"],
            until_ms=body.get("untilMs"),
            acknowledged=body.get("lastSeen", 0),
        )
        if path == "/hold":
            if call.fence >= self.fake.fence:
                self._checker.record_noted(self, call.acknowledged)
            return self.fake.poll(call, now_ms)
        task = worker.parse_task_ref(body["task"])
        assert task is not None
        call.ref = runs.RunRef(task, runs.RunNumber(body["run"]))
        if path == "/run-stop":
            return self.fake.stop(call)
        if path == "/pace":
            return events.CommandResult.DONE
        call.command = types.SimpleNamespace(
            ref=call.ref,
            best_effort=False,
            cpu_millis=1000,
            memory_mb=100,
            accelerators=0,
        )
        current = self.fake.running.get(task)
        is_known = current is not None and current.ref == call.ref
        finish_ms = now_ms + self._draw_work_ms(task)
        result = self.fake.start(call, now_ms, finish_ms, runs.RunEnd.DONE)
        if result is events.CommandResult.DONE and not is_known:
            self._checker.check_start(self, call.ref)
        return result

    def _draw_work_ms(self, task: runs.TaskRef) -> float:
        """Returns how long a run of a task lasts."""
        return self._random.uniform(100, 900)

    def _measure_cpu_millis(self, run: worker_fake.FakeRun) -> int:
        """Returns the CPU in use; without any, a run counts as halted."""
        return 0

    def _render(
        self, path: str, result: events.CommandResult, now_ms: float
    ) -> http_routes.HttpResponse:
        clock_ms = self.fake.read_clock(now_ms)
        reasons = {
            events.CommandResult.FENCED: "fence",
            events.CommandResult.STALE: "old",
            events.CommandResult.LATE: "late",
        }
        if result in reasons:
            refusal = {"clockMs": clock_ms, "reason": reasons[result]}
            return http_routes.render_json(409, refusal)
        document: dict[str, Any] = {"clockMs": clock_ms}
        if path == "/hold":
            document["born"] = self.fake.started_ms
            document["running"] = [
                [
                    str(run.ref.task),
                    run.ref.run,
                    "",
                    50,
                    self._measure_cpu_millis(run),
                ]
                for run in self.fake.running.values()
            ]
            document["ended"] = [
                [row.number, str(row.ref.task), row.ref.run, row.end.value, ""]
                for row in self.fake.ends
            ]
        return http_routes.render_json(200, document)


def wait_until(limit: datetime.timedelta, check: Any) -> bool:
    """Waits for a condition; returns whether it became true in time."""
    deadline = time.monotonic() + limit.total_seconds()
    while time.monotonic() < deadline:
        if check():
            return True
        time.sleep(0.1)
    return False
