"""State of an entry; only the reducer changes it."""

import dataclasses


@dataclasses.dataclass(slots=True)
class EntryState:
    """State of one entry."""
