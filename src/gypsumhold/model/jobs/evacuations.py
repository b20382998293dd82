"""Evacuations of data centres, on whose workers nothing more is started."""

import dataclasses
import datetime
import enum

import msgspec

from gypsumhold.model import ids


class Knowledge(enum.Enum):
    """Whether the holder of the queue knows the evacuations in force."""

    UNREAD = "unread"
    """They were not read in this term; nothing is placed."""

    IN_DOUBT = "in doubt"
    """The store was out of reach since they were read; agents are told nothing
    until they have been read again."""

    CURRENT = "current"
    """They were read in this term, and the store was in reach since."""


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """Data centres that are evacuated as of a version of the store.

    Of two of these, the one with the higher version is newer, whichever process
    read it.

    Attributes:
        version: Version of the store up to which all requests are known.
        data_centres: The evacuated data centres, sorted by name.
    """

    version: ids.RowVersion
    data_centres: tuple[ids.DataCentre, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChanges:
    """What a read of the operator's rows tells about evacuations.

    Attributes:
        version: Version of the store up to which the read has all changes.
        evacuated: Whether each named data centre is evacuated.
        is_complete: Whether each data centre that is not named is not
            evacuated; otherwise the read says nothing about it.
    """

    version: ids.RowVersion
    evacuated: dict[ids.DataCentre, bool]
    is_complete: bool = False


@dataclasses.dataclass(slots=True)
class ReceivedEvacuations:
    """What an agent has heard about evacuations from holders of the queue.

    Attributes:
        latest: The newest that a holder has sent; None before the first.
        confirmed_at: When the newest report was sent whose answer carried
            evacuations; None before the first.
    """

    latest: Evacuations | None = None
    confirmed_at: datetime.timedelta | None = None
