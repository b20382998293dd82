"""State of an agent; only the reducer changes it."""

import dataclasses


@dataclasses.dataclass(slots=True)
class AgentState:
    """State of one agent."""
