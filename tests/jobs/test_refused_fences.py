"""Tests of the fence of an agent whose worker has refused polls for theirs.

Pattern: a poll is overtaken by a start of the same process with a higher fence.
"""

from gypsumhold.model.jobs import events
from tests.jobs import linked_agent, test_reviewed_late_calls

OVERTAKEN = 2


def test_starts_that_overtake_polls_leave_the_fence_near_the_clock() -> None:
    """Guards against fences far ahead of the clock of the agent.

    The next process of the agent begins with the fence of its clock. With
    fences that were further ahead, its worker refuses its polls, and takes late
    calls of the former process.
    """
    agent = linked_agent.LinkedAgent()
    first = agent.state.fence
    for index in range(OVERTAKEN):
        poll = agent.build_poll()
        # As after an acknowledgement.
        agent.state.fence += 1
        start = agent.request(test_reviewed_late_calls.build_run(index))
        agent.deliver(agent.take_start(start))
        refused = agent.take_poll(poll)
        assert refused.result is events.CommandResult.FENCED
        agent.deliver(refused)
    assert agent.state.fence == first + OVERTAKEN
