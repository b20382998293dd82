"""A configuration that is in force never goes back."""

import dataclasses
import datetime

from gypsumhold.decisions import reducer
from gypsumhold.model import declarations, effects, events, ids
from tests.decisions import test_overload

SECOND = datetime.timedelta(seconds=1)
NEWER = dataclasses.replace(
    test_overload.CONFIGURATION, version=ids.ConfigVersion(5)
)


def test_entry_keeps_its_version_beside_an_older_peer() -> None:
    """Guards against a revert by an agent that lags."""
    state = test_overload.build_entry()
    state.configuration = NEWER
    older = events.PeerConfigRead(test_overload.CONFIGURATION)
    reducer.reduce(state, older, SECOND)
    assert state.configuration.version == 5


def test_agent_keeps_its_version_beside_an_older_entry() -> None:
    """Guards against a revert by an entry that lags."""
    state = test_overload.build_agent()
    state.configuration = NEWER
    pushed = events.ConfigPushed(ids.TicketId("t"), test_overload.CONFIGURATION)
    made = reducer.reduce(state, pushed, SECOND)
    assert effects.ReplyConfig(ids.TicketId("t"), ids.ConfigVersion(5)) in made
    assert state.configuration.version == 5


def test_agent_applies_changes_without_a_gap_only() -> None:
    """Guards against a version that lacks a change in between."""
    state = test_overload.build_agent()
    changes = tuple(
        declarations.Change(ids.ConfigVersion(number)) for number in (1, 2, 4)
    )
    pushed = events.ChangesPushed(ids.TicketId("t"), changes)
    reducer.reduce(state, pushed, SECOND)
    assert state.configuration.version == 2
