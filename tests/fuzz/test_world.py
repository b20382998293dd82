"""Random events against the invariants; see oracle.py for the checks."""

import datetime
import itertools
import json

import world
from hypothesis import stateful
from hypothesis import strategies as st

from gypsumhold.model import (
    declarations,
    events,
    ids,
    requests,
    resources,
    tasks,
)
from gypsumhold_standin import store, upstream, worker

SECOND = datetime.timedelta(seconds=1)
INDEX = st.integers(0, 5)
ORGANISATION = st.sampled_from(world.ORGANISATIONS)
DELAY = st.sampled_from((0.05, 0.4, 1.5, 4, 11, 35)).map(lambda s: s * SECOND)
HEAL_STEP = 10 * SECOND
HEAL_LIMIT = 900 * SECOND


class WorldMachine(stateful.RuleBasedStateMachine):
    """Rules over one world; every rule is a thing that can happen."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world.World()
        self.numbers = itertools.count()
        self.task_ids: list[tuple[ids.OrganisationId, ids.TaskId]] = []

    @stateful.initialize()
    def settle(self) -> None:
        self.world.advance(12 * SECOND)

    def pick_entry(self, index: int) -> world.Process | None:
        alive = [item for item in self.world.entries if item.alive]
        return alive[index % len(alive)] if alive else None

    def pick_instance(self, index: int) -> world.Instance:
        return self.world.instances[index % len(self.world.instances)]

    # Work.

    @stateful.rule(
        index=INDEX,
        organisation=ORGANISATION,
        key=st.integers(0, 3),
        body=st.sampled_from((b"one", b"one", b"one", b"two")),
        pay=st.booleans(),
        delay_ms=st.sampled_from((0, 0, 200, 3000, 8000)),
        breaks=st.sampled_from(("", "", "", "before")),
        deadline=st.sampled_from((0.3, 2, 8)),
        count=st.integers(1, 4),
    )
    def request(
        self,
        index: int,
        organisation: ids.OrganisationId,
        key: int,
        body: bytes,
        pay: bool,
        delay_ms: int,
        breaks: str,
        deadline: float,
        count: int,
    ) -> None:
        headers = (
            (upstream.DELAY_HEADER, str(delay_ms)),
            (upstream.BREAK_HEADER, breaks),
        )
        for step in range(count):
            process = self.pick_entry(index + step)
            if process is None:
                return
            request_id = ids.RequestId(f"r{next(self.numbers)}")
            request = requests.Request(
                request_id=request_id,
                organisation=organisation,
                kind=world.PAY if pay else world.ASK,
                key=ids.IdempotencyKey(f"k{key}"),
                deadline=deadline * SECOND,
                digest=body.decode(),
                payload=requests.Payload("POST", "/", headers, body),
            )
            self.world.oracle.send(process.name, request)
            self.world.feed(process, events.CallArrived(request))

    def expect_ticket(self, process: world.Process) -> ids.TicketId:
        ticket = ids.TicketId(f"o{next(self.numbers)}")
        self.world.oracle.expect_ticket(process.name, ticket)
        return ticket

    @stateful.rule(
        index=INDEX,
        organisation=ORGANISATION,
        key=st.integers(0, 12),
        once=st.sampled_from((False, False, True)),
        run_ms=st.sampled_from((50, 3000, 20000, 60000)),
        fail=st.sampled_from((False, False, False, True)),
        huge=st.sampled_from((False, False, False, False, True)),
        count=st.integers(1, 3),
    )
    def submit(
        self,
        index: int,
        organisation: ids.OrganisationId,
        key: int,
        once: bool,
        run_ms: int,
        fail: bool,
        huge: bool,
        count: int,
    ) -> None:
        payload = json.dumps({"run_ms": run_ms, "fail": fail})
        for step in range(count):
            process = self.pick_entry(index + step)
            if process is None:
                return
            submission = tasks.Submission(
                organisation,
                world.ONCE if once else world.BATCH,
                ids.IdempotencyKey(f"k{key}"),
                payload,
                resources.Resources(1200, 1, 0) if huge else None,
            )
            ticket = self.expect_ticket(process)
            event = events.SubmissionArrived(ticket, submission)
            self.world.feed(process, event)

    @stateful.rule(index=INDEX, which=st.integers(0, 30))
    def cancel(self, index: int, which: int) -> None:
        process = self.pick_entry(index)
        known = sorted(self.world.oracle.tasks)
        if process is None or not known:
            return
        task = self.world.oracle.tasks[known[which % len(known)]]
        ticket = self.expect_ticket(process)
        event = events.TaskCancelArrived(
            ticket, task.organisation, task.task_id
        )
        self.world.feed(process, event)

    @stateful.rule(
        index=INDEX,
        weight=st.integers(1, 9),
        back=st.integers(0, 1),
        count=st.integers(1, 2),
    )
    def apply(self, index: int, weight: int, back: int, count: int) -> None:
        base = ids.ConfigVersion(max(1, len(self.world.oracle.changes) - back))
        for step in range(count):
            process = self.pick_entry(index + step)
            if process is None:
                return
            ticket = self.expect_ticket(process)
            organisation = world.build_organisation(
                world.ORGANISATIONS[step], weight
            )
            change = declarations.Change(
                base, organisations=(organisation,), author=ticket
            )
            self.world.feed(process, events.ApplyArrived(ticket, base, change))

    # Time and messages.

    @stateful.rule(delay=DELAY)
    def advance(self, delay: datetime.timedelta) -> None:
        self.world.advance(delay)

    @stateful.rule(
        kind=st.sampled_from(world.Kind),
        mishap=st.sampled_from(world.Mishap),
        delay=DELAY,
        count=st.integers(1, 4),
    )
    def script(
        self,
        kind: world.Kind,
        mishap: world.Mishap,
        delay: datetime.timedelta,
        count: int,
    ) -> None:
        self.world.scripts += [(kind, mishap, delay)] * count

    @stateful.rule(
        which=st.integers(0, 50),
        mishap=st.sampled_from(world.Mishap),
        delay=DELAY,
    )
    def disturb(
        self, which: int, mishap: world.Mishap, delay: datetime.timedelta
    ) -> None:
        flying = list(self.world.flying)
        if flying:
            trip = flying[which % len(flying)]
            self.world.disturb(trip, mishap, delay)

    # Failures.

    @stateful.rule(index=INDEX)
    def kill_entry(self, index: int) -> None:
        process = self.pick_entry(index)
        if process is not None:
            self.world.kill(process)

    @stateful.rule()
    def revive_entries(self) -> None:
        for process in self.world.entries:
            if not process.alive:
                self.world.revive_entry(process)

    @stateful.rule(index=INDEX)
    def stop_entry(self, index: int) -> None:
        process = self.pick_entry(index)
        if process is not None:
            self.world.feed(process, events.StopRequested())

    @stateful.rule(index=INDEX, restart=st.booleans())
    def kill_agent(self, index: int, restart: bool) -> None:
        instance = self.pick_instance(index)
        self.world.kill(instance.agent)
        if restart:
            self.world.revive_agent(instance)

    @stateful.rule()
    def revive_agents(self) -> None:
        for instance in self.world.instances:
            if not instance.agent.alive:
                self.world.revive_agent(instance)

    @stateful.rule(index=INDEX)
    def pause_entry(self, index: int) -> None:
        process = self.pick_entry(index)
        if process is not None:
            process.paused = True

    @stateful.rule(index=INDEX)
    def pause_agent(self, index: int) -> None:
        process = self.pick_instance(index).agent
        process.paused = process.alive

    @stateful.rule()
    def resume_all(self) -> None:
        for process in self.world.processes.values():
            if process.paused:
                self.world.resume(process)

    @stateful.rule(
        fault=st.sampled_from(store.Fault),
        count=st.sampled_from((1, 2, 5, None)),
    )
    def break_table(self, fault: store.Fault, count: int | None) -> None:
        store.set_fault(self.world.store, store.SetFault(fault, count))

    @stateful.rule()
    def mend_table(self) -> None:
        script = store.SetFault(store.Fault.NONE)
        store.set_fault(self.world.store, script)

    @stateful.rule(index=INDEX, fault=st.sampled_from(worker.Fault))
    def break_worker(self, index: int, fault: worker.Fault) -> None:
        self.pick_instance(index).worker.fault = fault

    @stateful.rule(index=INDEX)
    def restart_worker(self, index: int) -> None:
        self.world.restart_worker(self.pick_instance(index))

    @stateful.rule(index=INDEX, alive=st.booleans())
    def restart_upstream(self, index: int, alive: bool) -> None:
        instance = self.pick_instance(index)
        instance.upstream_alive = alive
        self.world.restart_upstream(instance)

    @stateful.rule(index=INDEX, draining=st.booleans())
    def drain_upstream(self, index: int, draining: bool) -> None:
        self.pick_instance(index).upstream.draining = draining

    @stateful.rule(index=INDEX)
    def drain(self, index: int) -> None:
        self.world.drain(self.pick_instance(index))

    @stateful.rule(index=INDEX)
    def retire(self, index: int) -> None:
        self.world.retire(self.pick_instance(index))
        self.world.add_instance()

    @stateful.rule(index=INDEX, throttling=st.booleans())
    def evict(self, index: int, throttling: bool) -> None:
        policy = self.pick_instance(index).policy
        policy.throttling = throttling
        policy.evictions = 1

    @stateful.rule(index=INDEX, other=INDEX)
    def cut_link(self, index: int, other: int) -> None:
        process = self.pick_entry(index)
        if process is not None:
            peer = self.pick_instance(other).agent
            self.world.cut.add((process.name, peer.name))

    @stateful.rule()
    def mend_links(self) -> None:
        self.world.cut.clear()

    # Checks.

    @stateful.invariant()
    def check(self) -> None:
        self.world.oracle.check_workers(self.world.now)

    def teardown(self) -> None:
        """Heals everything and waits until all work has ended."""
        self.world.heal()
        end = self.world.now + HEAL_LIMIT
        while True:
            self.world.advance(HEAL_STEP)
            self.check()
            left = self.world.list_unfinished()
            if not left:
                return
            assert self.world.now < end, f"never ends: {left}"


TestWorld = WorldMachine.TestCase
