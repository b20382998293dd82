"""Tests of refusals in a deployment whose holder dies under overload.

Pattern: far more jobs than the workers can do in time, sent to the holder and
to a follower; each refused job is sent once more to the other entry.
"""

import msgspec
import pytest

from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model.jobs import messages, specs
from tests.jobs import job_specs, test_handover, test_world
from tests.jobs import world as worlds

ENTRIES = ("entry-0", "entry-1")
JOBS = 80
PAUSE_MS = 100.0
RETRY_MS = 1500.0
WALL_OFFSET_MS = 1_000_000
"""Unix time at the start of a world."""

START_MS = 9000.0
"""A holder makes no forecast in the first 7 s of its term."""


class OverloadedWorld(worlds.World):
    """A world that sends each job to the entries in turn."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, entries=2, agents=2)
        self.sent: dict[str, list[str]] = {}

    def ask(self, number: int, attempt: int = 0) -> None:
        spec = msgspec.structs.replace(
            job_specs.build_job(f"job-{number}", (8, 8)),
            submitted_ms=WALL_OFFSET_MS + int(self.now_ms),
        )
        entry = ENTRIES[(number + attempt) % 2]
        ticket = self.submit(entry, spec)
        self.sent.setdefault(spec.job_id, []).append(ticket)
        if not attempt:
            self.after(RETRY_MS, lambda: self._ask_again(number, ticket))

    def _ask_again(self, number: int, ticket: str) -> None:
        answer = self.verdicts.get(ticket)
        if answer and answer.verdict is messages.Verdict.OVERLOADED:
            self.ask(number, 1)

    def list_refused(self) -> list[str]:
        """Returns the jobs of which each attempt was refused."""
        return [
            job_id
            for job_id, tickets in self.sent.items()
            if all(
                ticket in self.verdicts
                and self.verdicts[ticket].verdict is messages.Verdict.OVERLOADED
                for ticket in tickets
            )
        ]

    def list_refusing_entries(self) -> set[str]:
        return {
            name
            for _, name, line in self.log_lines
            if line.outcome == "refused: overloaded"
        }


@pytest.fixture
def world(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> OverloadedWorld:
    build = policy_sets.build_scheduler_policies
    kind = policy_sets.AdmissionKind.REFUSE_USELESS
    monkeypatch.setattr(
        policy_sets, "build_scheduler_policies", lambda: build(kind)
    )
    made = OverloadedWorld(request.param)
    made.run(START_MS)
    for number in range(JOBS):
        made.after(number * PAUSE_MS, lambda number=number: made.ask(number))
    return made


@pytest.mark.parametrize("world", range(3), indirect=True)
def test_refused_jobs_are_not_stored_and_the_others_end(
    world: OverloadedWorld,
) -> None:
    """Guards against false refusals and against a kind without a floor."""
    world.run(JOBS * PAUSE_MS + RETRY_MS)
    refused = world.list_refused()
    assert world.list_refusing_entries() == set(ENTRIES)
    assert 0 < len(refused) < 0.6 * JOBS
    assert not any(specs.JobId(name) in world.store.jobs for name in refused)
    world.run(120_000)
    test_world.check_all_ended(world)


@pytest.mark.parametrize("world", range(3), indirect=True)
def test_nothing_is_refused_after_the_holder_has_died(
    world: OverloadedWorld,
) -> None:
    """Guards against the forecast of a dead holder, or of its successor.

    The successor knows no room before the agents have reported to it.
    """
    world.run(4000)
    assert world.list_refusing_entries()
    world.kill(test_handover.find_holder(world), 60_000)
    died_ms = world.now_ms
    world.run(6000)
    late = [
        at_ms
        for at_ms, _, line in world.log_lines
        if line.outcome == "refused: overloaded" and at_ms > died_ms + 2500
    ]
    assert not late
