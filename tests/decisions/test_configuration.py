"""The configuration version in force never decreases."""

import dataclasses
import datetime

from gypsumhold.decisions import reducer
from gypsumhold.model import declarations, effects, events, ids
from tests.decisions import test_overload

SECOND = datetime.timedelta(seconds=1)
NEWER = dataclasses.replace(
    test_overload.CONFIGURATION, version=ids.ConfigVersion(5)
)


def test_entry_ignores_an_older_configuration_of_a_peer() -> None:
    """Guards against a revert by an agent with an older version."""
    state = test_overload.build_entry()
    state.configuration = NEWER
    peer_event = events.PeerConfigRead(test_overload.CONFIGURATION)
    reducer.reduce(state, peer_event, SECOND)
    assert state.configuration.version == 5


def test_agent_ignores_an_older_configuration_of_an_entry() -> None:
    """Guards against a revert by an entry with an older version."""
    state = test_overload.build_agent()
    state.configuration = NEWER
    push_event = events.ConfigPushed(
        ids.TicketId("t"), test_overload.CONFIGURATION
    )
    emitted = reducer.reduce(state, push_event, SECOND)
    assert (
        effects.ReplyConfig(ids.TicketId("t"), ids.ConfigVersion(5)) in emitted
    )
    assert state.configuration.version == 5


def test_agent_applies_no_change_after_a_version_gap() -> None:
    """Guards against a configuration that lacks one of its changes."""
    state = test_overload.build_agent()
    changes = tuple(
        declarations.Change(ids.ConfigVersion(number)) for number in (1, 2, 4)
    )
    push_event = events.ChangesPushed(ids.TicketId("t"), changes)
    reducer.reduce(state, push_event, SECOND)
    assert state.configuration.version == 2
