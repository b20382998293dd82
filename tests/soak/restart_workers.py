"""Workers that hold messages back, restart and are cut off."""

import dataclasses
import random
import threading
import time
from typing import Any

import msgspec

from gypsumhold.adapters import http_routes
from gypsumhold.model.jobs import events, runs
from tests.jobs import worker_fake
from tests.soak import event_logs, restart_checks, standins, traffic

SERVED_CALLS = 64
"""Calls that a worker serves at a time, with those held back or unanswered."""

LATE_COMMAND_SHARE = 0.7
"""Share of the commands that are held back over a restart."""

AFTER_RESTART_S = (0.0, 1.0)
"""Time after a restart at which the next incarnation takes these commands."""

MAX_DELAY_S = 12.0
"""Longest time that the platform delays a call."""

NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Traits:
    """What the workers of a play have in common.

    Attributes:
        holds: How long messages are held back.
        cut_rule: What becomes of the calls that arrive during a cut.
        durations: How long runs last.
        halted_share: Share of the runs that seem to be halted. The holder moves
            each of them to another worker after about two seconds.
        fails_held_commands: Whether the caller of a held command gets an error
            at once, while the command is carried out later.
        new_names: Whether a worker gets a new name at each restart.
    """

    holds: traffic.Holds
    cut_rule: traffic.CutRule
    durations: traffic.Durations
    halted_share: float
    fails_held_commands: bool = False
    new_names: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCall:
    """A call that may be held back.

    Attributes:
        request: The call.
        body: Its decoded body.
        life: Number of the incarnation at which it arrived.
        arrived_at: When it arrived, on the monotonic clock.
    """

    request: http_routes.HttpRequest
    body: Any
    life: int
    arrived_at: float

    def is_poll(self) -> bool:
        """Tells whether the call is a poll."""
        return self.request.read_path() == "/hold"


class RestartWorker(standins.WorkerStandin):
    """A worker that holds calls and heartbeats back and can be cut off."""

    threads = SERVED_CALLS

    def __init__(
        self,
        name: str,
        checker: restart_checks.RestartChecker,
        seed: int,
        traits: Traits,
        zone: str,
    ) -> None:
        self._traits = traits
        self._are_faults_over = False
        self._first_name = name
        self._log = checker.log
        self._lives = 1
        self._logged_ends = 0
        self._cut_from = self._cut_until = self._late_until = NEVER
        self._delays = random.Random(seed)
        super().__init__(name, checker, seed)
        self.fake.zone = zone

    def is_cut(self) -> bool:
        """Tells whether the worker can't be reached."""
        return self._cut_from <= time.monotonic() < self._cut_until

    def is_cut_soon(self) -> bool:
        """Tells whether the worker is cut off or will be."""
        return time.monotonic() < self._cut_until

    def cut(self, delay_s: float, duration_s: float) -> None:
        """Cuts the worker off after a delay; its runs go on."""
        self._cut_from = time.monotonic() + delay_s
        self._cut_until = self._cut_from + duration_s
        for event, at_s in (
            ("cut off", self._cut_from),
            ("back in reach", self._cut_until),
        ):
            self._log.write(self.fake.name, event, at_ms=at_s * 1000)

    def hold_commands(self, duration_s: float) -> None:
        """Holds most commands back that arrive before a restart."""
        self._late_until = time.monotonic() + duration_s
        self._log.write(self.fake.name, "commands late", seconds=duration_s)

    def end_faults(self) -> None:
        """Ends the cut, and holds nothing back any more."""
        self._are_faults_over = True
        self._cut_from = self._cut_until = NEVER

    def restart(self, down_ms: float = standins.DOWN_MS) -> None:
        """Starts the next incarnation, under a new name if that is set."""
        with self._checker.lock:
            # Runs that are over have ended by themselves, not by the restart.
            self.advance()
            refs = [run.ref for run in self.fake.running.values()]
            ended = ",".join(map(event_logs.format_run, refs))
            self._log.write(self.fake.name, "restart", runs=ended)
            for ref in refs:
                self._log_end(ref, "restart", time.monotonic() * 1000)
        super().restart(down_ms)
        with self._checker.lock:
            self.fake.started_ms = int(time.time() * 1000 + down_ms)
            self.fake.heartbeats = 0
            self._lives += 1
            if self._traits.new_names:
                self.fake.name = f"{self._first_name}-{self._lives}"
            born = {"born_ms": self.fake.started_ms, "down_ms": int(down_ms)}
            self._log.write(self.fake.name, "born", **born)

    def advance(self) -> float:
        """Ends the runs that are over and logs them; returns the time."""
        running = dict(self.fake.running)
        lease_end_ms = self.find_lease_end()
        now_ms = super().advance()
        rows = self.fake.finished[self._logged_ends :]
        lapsed = [row for row in rows if row.end is runs.RunEnd.EXPIRED]
        if lapsed:
            inputs = {"runs": len(lapsed), "cut": self.is_cut()}
            self._log.write(
                self.fake.name, "lapse", at_ms=lease_end_ms, **inputs
            )
        for row in rows:
            run = running.get(row.ref.task)
            at_ms = now_ms
            if row.end is runs.RunEnd.EXPIRED:
                at_ms = lease_end_ms
            elif run is not None and row.end is not runs.RunEnd.STOPPED:
                at_ms = run.finish_ms
            self._log_end(row.ref, row.end.value, at_ms)
        self._logged_ends = len(self.fake.finished)
        return now_ms

    def _log_end(self, ref: runs.RunRef, end: str, at_ms: float) -> None:
        """Logs the end of a run."""
        run = event_logs.describe_run(ref)
        self._log.write(self.fake.name, "end", at_ms=at_ms, **run, end=end)

    def _draw_hold_s(self) -> float:
        """Returns for how long the next message is held back."""
        if self._are_faults_over:
            return 0.0
        return self._traits.holds.draw_s(self._delays)

    def _send_heartbeat(self, url: str, body: bytes) -> None:
        """Sends a heartbeat, possibly after later ones."""
        if self.is_cut():
            return
        hold_s = self._draw_hold_s()
        if not hold_s:
            super()._send_heartbeat(url, body)
            return
        timer = threading.Timer(hold_s, super()._send_heartbeat, (url, body))
        timer.daemon = True
        timer.start()

    def answer(
        self, request: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Carries out a call, possibly late and on another incarnation.

        Calls that were held back before a cut are carried out during it, but
        their answers are dropped.
        """
        body: Any = msgspec.json.decode(request.body)
        arrival_life, arrived_at = self._lives, time.monotonic()
        if self.is_cut() and not self._traits.cut_rule.await_delivery(
            self._cut_until - arrived_at, self._stopped.wait
        ):
            return self._leave_unanswered()
        call = HeldCall(request, body, arrival_life, arrived_at)
        hold_s = self._draw_hold_s()
        late_s = self._late_until - arrived_at
        is_late = late_s > 0 and self._delays.random() < LATE_COMMAND_SHARE
        if is_late and not call.is_poll():
            hold_s = late_s + self._delays.uniform(*AFTER_RESTART_S)
        if hold_s and self._traits.fails_held_commands and not call.is_poll():
            timer = threading.Timer(hold_s, self._carry_out_held, (call,))
            timer.daemon = True
            timer.start()
            # The agent takes this status for no answer.
            return http_routes.HttpResponse(504)
        self._stopped.wait(hold_s)
        return self._carry_out_held(call)

    def _carry_out_held(self, call: HeldCall) -> http_routes.HttpResponse:
        """Carries out a call on the present incarnation."""
        request, body = call.request, call.body
        if call.life != self._lives:
            self._await_incarnation(call)
        life = self._lives
        self._wait_for_ends(request.read_path(), body)
        if self._lives != life or self._stopped.is_set():
            # A process that ends closes the connections of its callers.
            return http_routes.HttpResponse(503)
        clock_ms = self.fake.read_clock(time.monotonic() * 1000)
        latest_ms = clock_ms + worker_fake.MAX_HOLD_MS
        response = self._carry_out(request, body)
        is_late = life != call.life or (body.get("untilMs") or 0) > latest_ms
        if is_late and response.status != 503:
            self._log_late_call(call, clock_ms, response)
        return self._leave_unanswered() if self.is_cut() else response

    def _await_incarnation(self, call: HeldCall) -> None:
        """Holds a call on while the worker is down, up to the longest delay."""
        up_at = self.fake.up_at_ms / 1000 + self._delays.uniform(
            *AFTER_RESTART_S
        )
        if self._is_down() and up_at - call.arrived_at < MAX_DELAY_S:
            self._stopped.wait(up_at - time.monotonic())

    def _apply(
        self, path: str, body: Any, now_ms: float
    ) -> events.CommandResult:
        """Applies a call, and logs the runs that it ends or replaces."""
        former = dict(self.fake.running)
        result = super()._apply(path, body, now_ms)
        self.advance()
        for task, run in former.items():
            if self.fake.running.get(task, run) is not run:
                self._log_end(run.ref, "replaced", now_ms)
        return result

    def _log_late_call(
        self,
        call: HeldCall,
        clock_ms: int,
        response: http_routes.HttpResponse,
    ) -> None:
        """Logs a call that was meant for a former incarnation."""
        names = ("task", "run", "untilMs", "lastSeen", "fencingToken")
        fields = {
            name: str(call.body[name]) for name in names if name in call.body
        }
        self._log.write(
            self.fake.name,
            "late call",
            path=call.request.read_path(),
            **fields,
            clock_ms=clock_ms,
            held_ms=int((time.monotonic() - call.arrived_at) * 1000),
            cut=self.is_cut(),
            status=response.status,
        )

    def _leave_unanswered(self) -> http_routes.HttpResponse:
        """Waits until the caller has given up."""
        self._stopped.wait(standins.SILENCE_DURATION_S)
        return http_routes.HttpResponse(503)

    def _measure_cpu_millis(self, run: worker_fake.FakeRun) -> int:
        """Returns the same amount whenever it is asked of a run."""
        draw = random.Random(event_logs.format_run(run.ref)).random()
        return 0 if draw < self._traits.halted_share else run.cpu_millis

    def _draw_work_ms(self, task: runs.TaskRef) -> float:
        """Returns how long a run of a task lasts."""
        return self._traits.durations.choose_ms(task)
