"""Starts the programs of the deploy file as processes on loopback.

Each machine has a loopback address of its own, as the ports of the deployment
are the same on all machines. The stand-ins are the store, in this process, and
the runners, one process for each lifetime.
"""

import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

import store
import web

LIB = pathlib.Path(__file__).resolve().parent
ROOT = LIB.parent.parent
LIMIT_S = 115
"""Longest duration of a case."""

ENTRIES = 3
AGENTS = 11
PORTS = 4
"""Ports of a machine: callers or heartbeats, readiness, peers, runner."""

PASSED_VARIABLES = ("PATH", "HOME", "LANG")
SERVICE = "app"
HOST = "queue.example"
ZONE = "zone-a"
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "gracePeriodS": 6,
    "configApplyMs": 2000,
    "recoveryS": 12,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "checkpointIntervalS": 1,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
}


class SetupError(Exception):
    """The case could not run."""


class Machine:
    """An entry or an agent, and the runner beside an agent."""

    def __init__(self, system, role, number):
        self.system = system
        self.role = role
        self.name = f"{role}-{number}"
        self.host = (
            f"{system.prefix}.{number + (10 if role == 'entry' else 50)}"
        )
        self.ports = web.find_ports(self.host, PORTS)
        self.process = None
        self.runner = None
        self.runner_id = ""
        self.lifetimes = 0

    @property
    def front(self):
        return f"{self.host}:{self.ports[0]}"

    @property
    def ready(self):
        return f"{self.host}:{self.ports[1]}"

    def _build_settings(self):
        front, ready = self.front, self.ready
        is_entry = self.role == "entry"
        listen = {"front": front, "ready": ready}
        if not is_entry:
            listen = {"control": front}
        return {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "front" if is_entry else "side",
            "serves": ["front" if is_entry else "side"],
            "ipAddress": self.host,
            "zone": ZONE,
            "region": "region",
            "zones": {ZONE: "region"},
            "listen": listen,
            "internalPortRange": [self.ports[2], self.ports[2]],
            "seedNodes": [],
            "bootstrap": True,
            "countedForTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": 300,
                "fileDescriptors": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDirectory": None,
            "discovery": "local",
            "entry": "virtual_ip",
            "heartbeatIntervalMs": 1100,
            "contracts": ["base", "drain", "config", "recover", "sched"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": self.system.store.address,
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "transactionMs": 8.0,
                "partitionWritesS": 150,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
            },
            "cloudApi": {"address": "", "ratePerS": 60.0, "duties": []},
        }

    def start(self):
        """Starts the process of the deploy file; its output goes to a log."""
        file = self.system.folder / f"{self.name}.json"
        file.write_text(json.dumps(self._build_settings()))
        command = self.system.commands[self.role].split()
        environment = {
            name: os.environ[name]
            for name in PASSED_VARIABLES
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GYPSUMHOLD_NODE_FILE"] = str(file)
        with (self.system.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.system.processes.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)
        self.system.note(f"{signal.Signals(number).name} to {self.name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def start_runner(self):
        """Starts the next lifetime of the runner, under a new id."""
        self.lifetimes += 1
        self.runner_id = f"i-{self.name}-{self.lifetimes}"
        settings = {
            "id": self.runner_id,
            "host": self.host,
            "port": self.ports[3],
            "control": self.front,
            "service": SERVICE,
            "zone": ZONE,
            "labels": ["a", f"r1-{self.name}"],
            "capacity": self.system.capacity,
            "record": str(self.system.events),
            "peers": str(self.system.peers),
            "stopTimeoutMs": BOUNDS["stopTimeoutMs"],
            "gangTimeoutMs": BOUNDS["gangTimeoutMs"],
            "checkpointIntervalS": BOUNDS["checkpointIntervalS"],
        }
        file = self.system.folder / f"{self.runner_id}.json"
        file.write_text(json.dumps(settings))
        self.runner = subprocess.Popen(
            [sys.executable, "-B", str(LIB / "runner.py"), str(file)]
        )
        self.system.processes.append(self.runner)

    def crash_runner(self):
        """Kills the runner: what runs there ends, and nothing is announced."""
        self.runner.kill()
        self.runner.wait()
        self.system.add_event("down", self.runner_id)
        self.system.note(f"SIGKILL to runner {self.runner_id}")


class System:
    """A deployment of some entries and agents with their runners."""

    def __init__(self, case, entries=ENTRIES, agents=AGENTS, capacity=None):
        self.record = pathlib.Path(case).resolve() / "record.txt"
        self.record.write_text("")
        self._lock = threading.Lock()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.capacity = capacity or {
            "cpu": 32000,
            "memoryRequestMb": 128000,
            "gpus": 0,
        }
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.events = self.folder / "events.jsonl"
        self.events.touch()
        self.processes = []
        first, second = random.randint(1, 250), random.randint(0, 250)
        self.prefix = f"127.{first}.{second}"
        self.started = time.monotonic()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role: deploy["roles"][role]["run"] for role in deploy["roles"]
        }
        self.store = store.Store(f"{self.prefix}.1")
        self.entries = [Machine(self, "entry", n) for n in range(entries)]
        self.agents = [Machine(self, "agent", n) for n in range(agents)]
        self.peers = self.folder / "runners.json"
        self.peers.write_text(
            json.dumps(
                [f"{agent.host}:{agent.ports[3]}" for agent in self.agents]
            )
        )

    def note(self, text):
        """Writes a line to the record."""
        at = time.monotonic() - self.started
        with self._lock, self.record.open("a") as file:
            file.write(f"{at:8.3f}  {text}\n")

    def add_event(self, what, runner):
        """Adds an event of a runner that it can't record itself."""
        event = {"at": time.monotonic(), "what": what, "runner": runner}
        with self.events.open("a") as file:
            file.write(json.dumps(event) + "\n")

    def start(self):
        """Starts everything; returns once a first job has been done."""
        routes = [
            {
                "name": "r-batch",
                "host": HOST,
                "prefix": "/batch/",
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "latencyTargetMs": 1000,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": 3,
                "stretch": 2.0,
            }
        ]
        services = [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConnections": 64,
                "protocol": "h1",
                "tls": False,
                "enforcesCapacity": False,
                "standby": False,
            }
        ]
        self.store.put_operator_row(
            "config",
            {
                "version": 7,
                "routes": routes,
                "services": services,
                "limits": {},
            },
        )
        for machine in [*self.entries, *self.agents]:
            machine.start()
        for machine in self.agents:
            machine.start_runner()
        if not self.wait(35, self._are_ready):
            raise SetupError("the entries are not ready")
        first = new_id()
        self.wait(
            15, lambda: self.submit(first, [{"count": 9, "cpu": 100}], 50)
        )
        if not self.wait(20, lambda: self.read_state(first) == "completed"):
            raise SetupError("the first job is not done")
        time.sleep(2)

    def _are_ready(self):
        return all(
            web.call(entry.ready, "GET", "/readiness", timeout_s=1)[0] == 200
            for entry in self.entries
        )

    @staticmethod
    def wait(limit_s, check):
        """Waits until a check is true; returns whether it was in time."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if check():
                return True
            time.sleep(0.1)
        return False

    def call(self, method, path, document=None, entry=None):
        """Sends a caller's request to an entry and records the answer."""
        chosen = entry or random.choice(self.entries)
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        status, answer = web.call(
            chosen.front, method, path, document, headers, 3.0
        )
        sent = "" if document is None else f" {json.dumps(document)}"
        self.note(f"{method} {path} at {chosen.name}{sent}: {status} {answer}")
        return status, answer

    def submit(self, job_id, steps, work_ms, entry=None, work=None, **fields):
        """Hands a job in, again until it is accepted; tells whether it was."""
        work = dict(work or {})
        if work_ms is not None:
            work["workMs"] = work_ms
        document = {"specification": json.dumps(work), "steps": steps, **fields}
        for _ in range(5):
            status, _ = self.call("POST", f"/batch/{job_id}", document, entry)
            if status == 200:
                return True
            time.sleep(0.5)
        return False

    def read_state(self, job_id, entry=None):
        """Returns the shown state of a job; None without a 200."""
        status, answer = self.call("GET", f"/batch/{job_id}", None, entry)
        return answer.get("state") if status == 200 else None

    def read_events(self):
        """Returns what the runners have recorded, in the order of time."""
        lines = self.events.read_text().splitlines()
        events = []
        for line in lines:
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return sorted(events, key=lambda event: event["at"])

    def close(self):
        """Ends all processes and adds the runners' events to the record."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        for event in self.read_events():
            at = event.pop("at") - self.started
            with self.record.open("a") as file:
                file.write(f"{at:8.3f}  {json.dumps(event)}\n")
        self.store.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    """Returns a fresh id of a job."""
    return f"{random.getrandbits(64):016x}"


def main(case, check, **options):
    """Runs a case: `check(system)` returns the violations that it saw.

    Returns the exit code: 1 if there are any, 0 if there are none, 2 if the
    case could not run.
    """
    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(2))
    signal.alarm(LIMIT_S)
    system = None
    try:
        system = System(case, **options)
        system.start()
        violations = check(system)
        for text in violations[:20]:
            system.note(f"VIOLATION {text}")
        system.note(f"{len(violations)} violations")
        print(f"{len(violations)} violations")
        for text in violations[:5]:
            print(text)
        return 1 if violations else 0
    except Exception as problem:
        traceback.print_exc()
        print(f"the case could not run: {problem!r}")
        return 2
    finally:
        if system is not None:
            system.close()
