"""Stand-in for a runner: one lifetime in one process, ended by a signal.

Usage: runner.py SETTINGS, a JSON file with `id`, `host`, `port`, `control`,
`service`, `zone`, `labels`, `capacity`, `record`, `peers` and the bounds
`stopTimeoutMs`, `gangTimeoutMs` and `checkpointIntervalS`.

It follows the pages: fences, rising runs, leases on its own clock, ends that
are listed 500 at a time until `lastSeen` reaches them. It does not guard its
capacity. The specification of a task is JSON text:

    workMs   how long it works, or a list of that by step; without it, the task
             lasts
    how      how it ends, `done` by default
    savedChars  length of its checkpoints, of which there is a new one for each
             `checkpointIntervalS` of work; without it, there are none
    failsOn  ids of runners on which it fails at once
    gang     number of members: the tasks of one run work from the moment when
             all are there, end `done` together, and are `broken` as soon as
             one of them ends otherwise

Every start and end is appended to the record with the time of the system's
monotonic clock, which all processes of the machine share. Runners tell each
other of the members of a gang by calls of their own, /gang.
"""

import json
import os
import pathlib
import random
import sys
import threading
import time

import web

BEAT_S = 1.1
MAX_HOLD_MS = 10_000
LISTED_ENDS = 500
MAX_WAIT_MS = 2000
STOP_SHARE = 0.25
"""Part of `stopTimeoutMs` that a stop takes."""

PRESENT = "present"


class Runner:
    """State of one lifetime."""

    def __init__(self, settings):
        self._settings = settings
        self._born = int(time.time() * 1000)
        self._started = time.monotonic()
        self._changed = threading.Condition()
        self._fence = 0
        self._until_ms = 0
        self._running = {}
        self._highest = {}
        self._ends = []
        self._last_end = 0
        self._sequence = 0
        self._members = {}
        self._broken = set()
        self._late_share = 0.0
        self._interval_s = settings["checkpointIntervalS"]
        self._record = open(settings["record"], "a", buffering=1)
        self._write("up")

    def _write(self, what, **fields):
        line = {
            "at": round(time.monotonic(), 4),
            "what": what,
            "runner": self._settings["id"],
            **fields,
        }
        self._record.write(json.dumps(line) + "\n")

    def _read_clock(self):
        return int((time.monotonic() - self._started) * 1000)

    def run(self):
        """Serves calls and beats until the process is killed."""
        settings = self._settings
        web.Server(settings["host"], self._answer, settings["port"])
        threading.Thread(target=self._finish_tasks, daemon=True).start()
        while True:
            self._beat()
            time.sleep(BEAT_S)

    def _beat(self):
        settings = self._settings
        self._sequence += 1
        document = {
            "service": settings["service"],
            "address": f"{settings['host']}:{settings['port']}",
            "zone": settings["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": settings["capacity"],
            "labels": settings["labels"],
            "clockMs": self._read_clock(),
            "sequence": self._sequence,
            "born": self._born,
        }
        path = f"/instances/{settings['id']}"
        web.call(settings["control"], "PUT", path, document, timeout_s=1.0)

    def _finish_tasks(self):
        held = False
        while True:
            with self._changed:
                now = time.monotonic()
                lapsed = self._read_clock() >= self._until_ms
                if lapsed and held:
                    self._write("lapse")
                held = not lapsed
                for name, run in list(self._running.items()):
                    how = self._find_end(run, now, lapsed)
                    if how is not None:
                        self._end(name, how)
            time.sleep(0.005)

    def _find_end(self, run, now, lapsed):
        if run["stop_at"] is not None and now >= run["stop_at"]:
            return "stopped"
        if run["end_at"] is not None and now >= run["end_at"]:
            return run["how"]
        if lapsed:
            return "lapsed"
        if run["gang"] in self._broken:
            return "broken"
        if run["alone_at"] is not None and now >= run["alone_at"]:
            return "alone"
        return None

    def _end(self, name, how):
        run = self._running.pop(name)
        self._last_end += 1
        saved = self._read_saved(run, time.monotonic())
        self._ends.append([self._last_end, name, run["run"], how, saved])
        self._write(
            "end", task=name, run=run["run"], how=how, number=self._last_end
        )
        if run["gang"] is not None and how != "done":
            self._tell_gang(run["gang"], "broken")
        self._changed.notify_all()

    def _answer(self, method, target, headers, body):
        if target == "/health":
            return 200, {}
        call = json.loads(body)
        if target == "/gang":
            with self._changed:
                self._hear_of_gang(call["gang"], call["what"], call["at"])
            return 200, {}
        if target == "/late":
            self._late_share = call["share"]
            return 200, {}
        expected = headers.get("x-expected-instance", "")
        if expected and expected != self._settings["id"]:
            return 421, {"clockMs": self._read_clock()}
        if random.random() < self._late_share:
            threading.Timer(
                random.uniform(2, 12), self._carry_out, (target, call)
            ).start()
            time.sleep(3)
            return None
        return self._carry_out(target, call)

    def _carry_out(self, target, call):
        with self._changed:
            fence = call.get("fencingToken", 0)
            if fence < self._fence:
                return self._refuse("fence")
            self._fence = fence
            if target == "/run-start":
                return self._start(call)
            if target == "/run-stop":
                return self._stop(call)
            if target == "/pace":
                return 200, {"clockMs": self._read_clock()}
            if target == "/hold":
                return self._hold(call)
        return 404, {"clockMs": self._read_clock()}

    def _refuse(self, reason):
        return 409, {"clockMs": self._read_clock(), "reason": reason}

    def _extend(self, until_ms):
        latest = self._read_clock() + MAX_HOLD_MS
        self._until_ms = max(self._until_ms, min(until_ms, latest))

    def _start(self, call):
        self._extend(call["untilMs"])
        name, run = call["task"], call["run"]
        current = self._running.get(name)
        if current is not None and current["run"] == run:
            return 200, {"clockMs": self._read_clock()}
        if run <= self._highest.get(name, 0):
            return self._refuse("old")
        if call["untilMs"] <= self._read_clock():
            return self._refuse("late")
        work = json.loads(call["specification"])
        work_ms = work.get("workMs")
        if isinstance(work_ms, list):
            work_ms = work_ms[int(name.split(".")[2])]
        self._highest[name] = run
        entry = {
            "run": run,
            "work_ms": work_ms,
            "how": work.get("how", "done"),
            "from": time.monotonic(),
            "end_at": None,
            "stop_at": None,
            "alone_at": None,
            "gang": None,
            "saved_chars": work.get("savedChars", 0),
            "saved": call.get("checkpoint", ""),
        }
        if entry["saved"] and entry["work_ms"] is not None:
            # The number of intervals of work that the checkpoint stands for.
            done_s = int(entry["saved"][:16], 16) * self._interval_s
            entry["work_ms"] = max(0, entry["work_ms"] - done_s * 1000)
        self._running[name] = entry
        self._write("start", task=name, run=run)
        if self._settings["id"] in work.get("failsOn", ()):
            entry["how"] = "failed"
            entry["end_at"] = time.monotonic()
        elif "gang" in work:
            step = name.rpartition(".")[0]
            entry["gang"] = f"{step}:{run}:{work['gang']}"
            limit_s = self._settings["gangTimeoutMs"] / 1000
            entry["alone_at"] = time.monotonic() + limit_s
            self._tell_gang(entry["gang"], PRESENT)
        else:
            self._begin_work(entry, time.monotonic())
        return 200, {"clockMs": self._read_clock()}

    def _begin_work(self, entry, at):
        entry["from"] = at
        if entry["work_ms"] is not None:
            entry["end_at"] = at + entry["work_ms"] / 1000

    def _tell_gang(self, gang, what):
        """Tells all runners, this one included, of a member of a gang."""
        at = time.monotonic()
        self._hear_of_gang(gang, what, at)
        document = {"gang": gang, "what": what, "at": at}
        own = f"{self._settings['host']}:{self._settings['port']}"
        peers = json.loads(pathlib.Path(self._settings["peers"]).read_text())
        for address in peers:
            if address != own:
                threading.Thread(
                    target=web.call,
                    args=(address, "POST", "/gang", document, None, 1.0),
                    daemon=True,
                ).start()

    def _hear_of_gang(self, gang, what, at):
        if what != PRESENT:
            self._broken.add(gang)
            return
        times = self._members.setdefault(gang, [])
        times.append(at)
        if len(times) < int(gang.rpartition(":")[2]):
            return
        for entry in self._running.values():
            if entry["gang"] == gang:
                entry["alone_at"] = None
                self._begin_work(entry, max(times))

    def _stop(self, call):
        name, run = call["task"], call["run"]
        self._highest[name] = max(self._highest.get(name, 0), run)
        current = self._running.get(name)
        is_running = current is not None and current["run"] == run
        if is_running and current["stop_at"] is None:
            limit_s = self._settings["stopTimeoutMs"] / 1000
            current["stop_at"] = time.monotonic() + limit_s * STOP_SHARE
        return 200, {"clockMs": self._read_clock()}

    def _hold(self, call):
        if "untilMs" in call:
            self._extend(call["untilMs"])
        last_seen = call.get("lastSeen", 0)
        if self._ends and self._ends[0][0] <= last_seen:
            self._ends = [end for end in self._ends if end[0] > last_seen]
            self._write("noted", number=last_seen)
        wait_s = min(call.get("waitMs", 0), MAX_WAIT_MS) / 1000
        if not self._ends and wait_s:
            self._changed.wait_for(lambda: self._ends, wait_s)
        return 200, {
            "clockMs": self._read_clock(),
            "born": self._born,
            "running": [
                [
                    name,
                    run["run"],
                    self._read_saved(run, time.monotonic()),
                    self._read_percent(run),
                    0,
                ]
                for name, run in self._running.items()
            ],
            "ended": self._ends[:LISTED_ENDS],
        }

    def _read_saved(self, run, now):
        """Returns the latest checkpoint of a run; empty if it has none."""
        if not run["saved_chars"] or run["end_at"] is None:
            return run["saved"]
        former = int(run["saved"][:16], 16) if run["saved"] else 0
        count = former + int((now - run["from"]) / self._interval_s)
        if not count:
            return ""
        return f"{count:016x}".ljust(run["saved_chars"], "0")

    def _read_percent(self, run):
        if run["work_ms"] is None:
            return 100
        if run["end_at"] is None:
            return 0
        spent = time.monotonic() - run["from"]
        return min(99, int(100 * spent / (run["end_at"] - run["from"] + 1e-9)))


def main():
    with open(sys.argv[1]) as file:
        settings = json.load(file)
    settings["record"] = os.path.abspath(settings["record"])
    Runner(settings).run()


main()
