"""Where a request that has not been sent would go."""

import dataclasses
import enum

from gypsumhold.model import ids, states


class MemberObstacle(enum.Enum):
    """Why an instance gets no dispatch of a kind of request."""

    OTHER_KINDS = "offers other kinds of requests"
    NOT_SERVING = "does not serve"
    SILENT = "no recent announcement"
    EXCLUDED = "excluded after failed dispatches"


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChoice:
    """An instance that a dispatch may go to.

    Attributes:
        instance: The instance.
        data_centre: Its data centre.
        cost: Cost by which the routing policy compares it; lower is better.
        free_slots: Slots that its agent last announced as free.
        queued: Calls that its agent last announced as queued.
        in_flight: Dispatches of this entry without a reply.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    cost: float
    free_slots: int
    queued: int
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPreview:
    """What an entry would do with a request now.

    Attributes:
        entry: The entry that answers; others may have other candidates.
        refusal: Why the request would be refused; None if it would be sent.
        candidates: Eligible instances, the lowest cost first. The policy may
            compare only a few of them, chosen at random.
        excluded: Instances that are not eligible, by the reason.
    """

    entry: str
    refusal: states.Reason | None
    candidates: tuple[MemberChoice, ...] = ()
    excluded: tuple[tuple[MemberObstacle, tuple[ids.InstanceId, ...]], ...] = ()
