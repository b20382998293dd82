"""A fake entry for the tests of the operator routes."""

import dataclasses
import datetime

from returns.result import Failure, Result, Success

from gypsumhold.adapters import operator_calls
from gypsumhold.model import (
    clock,
    declarations,
    effects,
    errors,
    events,
    ids,
    members,
    previews,
    resources,
    rows,
    states,
    status,
)

TOKEN = "t0ken"
NOW = datetime.datetime(2026, 12, 4, 10, 0, tzinfo=datetime.UTC)
TILE = declarations.Template(
    ids.KindName("sketch-tile"),
    states.WorkForm.REQUEST,
    states.WorkClass.STANDARD,
)
ORGANISATION = declarations.Organisation(
    ids.OrganisationId("taller"),
    1,
    resources.NOTHING,
    8,
    {TILE.name: declarations.KindParameters()},
)
CONFIGURATION = declarations.Configuration(
    ids.ConfigVersion(7), {TILE.name: TILE}, {ORGANISATION.name: ORGANISATION}
)


class FixedClock(clock.Clock):
    """A clock that stands still."""

    def read_monotonic(self) -> datetime.timedelta:
        return datetime.timedelta(0)

    def read_wall(self) -> datetime.datetime:
        return NOW


def build_instance(name: str, age_s: float) -> status.InstanceStatus:
    return status.InstanceStatus(
        ids.InstanceId(name),
        states.MemberState.SERVING,
        ids.DataCentre("dc-0"),
        ids.Rack("rack-0"),
        ids.Incarnation(3),
        ids.ConfigVersion(6),
        True,
        4,
        1,
        resources.Resources(8000, 16000, 1),
        resources.Resources(2000, 4000, 0),
        datetime.timedelta(seconds=age_s),
    )


def build_change_row(number: int, author: str) -> rows.Row:
    version = ids.ConfigVersion(number)
    change = declarations.Change(
        version,
        (TILE,),
        author=author,
        comment=f"reason {number}",
        time="2026-12-04T09:00:00.000+00:00",
    )
    return rows.Row(
        rows.build_change_key(version),
        ids.RowVersion(1),
        ids.OperationId("op"),
        rows.ChangeRow(change),
    )


@dataclasses.dataclass
class FakeControl(operator_calls.Control):
    """Answers from its fields; a page of rows has two rows."""

    result: states.SubmissionResult | None = states.SubmissionResult.ACCEPTED
    head: int = 7
    changes: tuple[rows.Row, ...] = ()
    table_reachable: bool = True
    ready: bool = True
    drain_confirmed: bool = True
    applied: list[events.ApplyArrived] = dataclasses.field(default_factory=list)
    retired: list[str] = dataclasses.field(default_factory=list)

    def apply(
        self, event: events.ApplyArrived, timeout: datetime.timedelta
    ) -> effects.AnswerTicket | None:
        self.applied.append(event)
        if self.result is None:
            return None
        return effects.AnswerTicket(
            event.ticket, self.result, version=event.change.version
        )

    def read_configuration(self) -> declarations.Configuration:
        return CONFIGURATION

    def read_status(self) -> status.Status:
        return status.Status(
            status.EntryStatus(
                ids.EntryId("entry-0"),
                ids.Incarnation(1),
                CONFIGURATION.version,
                self.ready,
                {states.WorkClass.URGENT: 2},
                1,
                self.table_reachable,
            ),
            (build_instance("lively", 0.4), build_instance("silent", 40)),
            (
                status.PartitionStatus(
                    ids.Partition(3),
                    states.PartitionPhase.HELD,
                    ids.Epoch(2),
                    5,
                    6,
                ),
            ),
        )

    def preview_request(
        self, organisation: ids.OrganisationId, kind: ids.KindName
    ) -> previews.RequestPreview:
        if organisation != ORGANISATION.name:
            return previews.RequestPreview(
                "entry-0", states.Reason.UNKNOWN_ORGANISATION
            )
        choice = previews.MemberChoice(
            ids.InstanceId("lively"), ids.DataCentre("dc-0"), 0.25, 4, 1, 0
        )
        silent = (ids.InstanceId("silent"),)
        return previews.RequestPreview(
            "entry-0",
            None,
            (choice,),
            ((previews.MemberObstacle.SILENT, silent),),
        )

    def read_metrics(self) -> str:
        return "gypsumhold_calls 1\n"

    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        if not self.table_reachable:
            return None
        return tuple(row for row in self.changes if row.key > after)[:2]

    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        if not self.table_reachable:
            return Failure(
                errors.Error(
                    errors.ErrorKind.PLATFORM_UNAVAILABLE, "down", "wait"
                )
            )
        return Success(
            rows.Row(
                key,
                ids.RowVersion(1),
                ids.OperationId("op"),
                rows.HeadRow(ids.ConfigVersion(self.head)),
            )
        )

    def find_agent(self, instance: ids.InstanceId) -> members.Address | None:
        known = instance in {"lively", "silent"}
        return members.Address("127.0.0.1", 1) if known else None

    def drain(self, address: members.Address) -> bool:
        return self.drain_confirmed

    def retire(self, instance: ids.InstanceId) -> None:
        self.retired.append(instance)
