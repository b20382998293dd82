"""Builds states and messages of a chosen size for the measurements of slopes.

Counts that are not chosen, such as kinds and data centres, are those of the
deployment size that the project is designed for.
"""

import dataclasses
import datetime
import random

from gypsumhold.decisions import policy_sets
from gypsumhold.model import (
    agent,
    declarations,
    entry,
    ids,
    members,
    membership,
    options,
    requests,
    resources,
    rows,
    states,
    tasks,
)

NOW = datetime.timedelta(hours=1)
DATA_CENTRES = 13
KINDS = 10
"""Number of request kinds of each upstream and of each organisation."""

SIZE = resources.Resources(500, 800, 0)
LARGE = resources.Resources(2**40, 2**40, 2**40)
WORKER = resources.Resources(32_000, 125_000, 2)
PARTITION = ids.Partition(0)
INCARNATION = ids.Incarnation(1_700_000_000_000)
ADDRESS = members.Address("127.0.0.1", 40_000)
LATER = datetime.timedelta(seconds=900)


def name_kind(number: int) -> ids.KindName:
    """Returns the name of a request kind."""
    return ids.KindName(f"kind-of-request-{number}")


TASK_KIND = ids.KindName("kind-of-task")


def name_organisation(number: int) -> ids.OrganisationId:
    """Returns the name of an organisation."""
    return ids.OrganisationId(f"organisation-{number:03d}")


def build_organisation(number: int) -> declarations.Organisation:
    """Returns an organisation that overrides the class of half its kinds."""
    kinds = {
        name_kind(index): declarations.KindParameters(
            states.WorkClass.URGENT if index % 2 else None
        )
        for index in range(KINDS)
    }
    kinds[TASK_KIND] = declarations.KindParameters()
    return declarations.Organisation(
        name_organisation(number), 1, LARGE, 10_000, kinds
    )


def build_configuration(
    organisations: int, version: int = 1
) -> declarations.Configuration:
    """Returns a configuration with `organisations` organisations."""
    templates = [
        declarations.Template(
            name_kind(number),
            states.WorkForm.REQUEST,
            states.WorkClass.STANDARD,
        )
        for number in range(KINDS)
    ]
    templates.append(
        declarations.Template(
            TASK_KIND,
            states.WorkForm.TASK,
            states.WorkClass.BATCH,
            declared=SIZE,
        )
    )
    organisation_list = [
        build_organisation(number) for number in range(organisations)
    ]
    return declarations.Configuration(
        ids.ConfigVersion(version),
        {template.name: template for template in templates},
        {organisation.name: organisation for organisation in organisation_list},
    )


def build_announcement(
    number: int, sequence: int = 1, kinds: int = KINDS
) -> members.Announcement:
    """Returns an announcement of an instance.

    Its strings are created anew, so that instances share none of them.
    """
    return members.Announcement(
        instance=ids.InstanceId(f"instance-{number:05d}"),
        incarnation=INCARNATION,
        sequence=sequence,
        state=states.MemberState.SERVING,
        address=members.Address(
            f"10.{number % 13}.{number // 250}.{number % 250}", 40_000
        ),
        data_centre=ids.DataCentre(f"data-centre-{number % DATA_CENTRES:02d}"),
        region=ids.Region(f"region-{number % 4}"),
        rack=ids.Rack(f"rack-{number // 3:04d}"),
        clock=NOW,
        kinds=frozenset(map(name_kind, range(kinds))),
        free_slots=8,
        queued=0,
        capacity=WORKER,
        free=WORKER,
        config_version=ids.ConfigVersion(1),
    )


def build_members(count: int) -> dict[ids.InstanceId, membership.Member]:
    """Returns members whose announcements have just arrived."""
    announced = (
        membership.Member(build_announcement(number), NOW)
        for number in range(count)
    )
    return {member.instance: member for member in announced}


def build_entry(count: int, organisations: int = 10) -> entry.EntryState:
    """Returns the state of an entry with members that holds a partition.

    Args:
        count: Number of members.
        organisations: Number of organisations in its configuration.
    """
    own_options = options.EntryOptions(
        entry=ids.EntryId("entry-0"),
        incarnation=INCARNATION,
        address=ADDRESS,
        data_centre=ids.DataCentre("data-centre-00"),
        region=ids.Region("region-0"),
        partitions=1,
        waiting_limits=dict.fromkeys(states.WorkClass, 1_000_000),
    )
    state = entry.EntryState(
        own_options,
        policy_sets.build_entry_policies(states.PolicyChoice.STANDARD),
        random.Random(1),
        configuration=build_configuration(organisations),
        members=build_members(count),
    )
    state.partitions[PARTITION] = entry.PartitionState(
        PARTITION,
        phase=states.PartitionPhase.HELD,
        row=rows.PartitionRow(
            own_options.entry, INCARNATION, ADDRESS, ids.Epoch(1), 1
        ),
        confirmed_at=NOW,
    )
    return state


def build_agent(organisations: int = 10) -> agent.AgentState:
    """Returns the state of an agent whose upstream just reported no busy slot.

    Args:
        organisations: Number of organisations in its configuration.
    """
    own_options = options.AgentOptions(
        instance=ids.InstanceId("instance-00000"),
        incarnation=INCARNATION,
        address=ADDRESS,
        data_centre=ids.DataCentre("data-centre-00"),
        region=ids.Region("region-0"),
        rack=ids.Rack("rack-0000"),
    )
    report = members.UpstreamReport(
        ADDRESS, frozenset(map(name_kind, range(KINDS))), 8, 64, 0
    )
    return agent.AgentState(
        own_options,
        policy_sets.build_agent_policies(states.PolicyChoice.STANDARD),
        configuration=build_configuration(organisations),
        upstream=report,
        upstream_report_at=NOW,
        capacity=LARGE,
    )


def build_request(number: int) -> requests.Request:
    """Returns a repeatable request with typical headers and a 100-byte body."""
    headers = (
        ("Content-Type", "application/json"),
        ("Accept", "application/json"),
        ("User-Agent", "measurement/1.0"),
    )
    return requests.Request(
        request_id=ids.RequestId(f"{number:032x}"),
        organisation=name_organisation(number % 10),
        kind=name_kind(number % KINDS),
        key=None,
        remaining=datetime.timedelta(seconds=10),
        digest=f"{number:064x}",
        payload=requests.Payload(
            "POST", f"/path/{number}", headers, b"x" * 100
        ),
    )


def build_answer(number: int) -> requests.DispatchReply:
    """Returns a completed dispatch reply with a body of about 100 bytes."""
    headers = (("Content-Type", "application/json"), ("X-Id", f"{number}"))
    answer = requests.Answer(200, headers, (b"%032d" % number) * 3)
    return requests.DispatchReply(states.Outcome.COMPLETED, answer=answer)


def name_task(number: int) -> ids.TaskId:
    """Returns a task id of the length that real ids have."""
    return ids.TaskId(f"{number:024x}")


def build_task_row(number: int, instance: int | None = None) -> rows.TaskRow:
    """Returns the row of a task.

    Args:
        number: Number of the task.
        instance: Number of the instance that it is assigned to; None for a
            queued task.
    """
    row = rows.TaskRow(
        task_id=name_task(number),
        organisation=name_organisation(number % 10),
        kind=TASK_KIND,
        payload=f'{{"run_ms": 300, "input": "object/{number}"}}',
        declared=SIZE,
    )
    if instance is None:
        return row
    return dataclasses.replace(
        row,
        state=states.TaskState.ASSIGNED,
        epoch=ids.Epoch(1),
        instance=ids.InstanceId(f"instance-{instance:05d}"),
        incarnation=INCARNATION,
    )


def build_start(number: int) -> tasks.TaskStart:
    """Returns the start of a task for the agent of `build_agent`."""
    return tasks.TaskStart(
        task_id=name_task(number),
        epoch=ids.Epoch(1),
        partition=PARTITION,
        incarnation=INCARNATION,
        organisation=name_organisation(number % 10),
        kind=TASK_KIND,
        work_class=states.WorkClass.BATCH,
        declared=SIZE,
        expires=NOW + LATER,
        payload=f'{{"run_ms": 300, "input": "object/{number}"}}',
        checkpoint=None,
    )


def build_sync(count: int, expires: datetime.timedelta) -> tasks.TaskSync:
    """Returns a sync that renews the leases of the first `count` tasks."""
    return tasks.TaskSync(
        PARTITION,
        ids.Epoch(1),
        INCARNATION,
        tuple(
            tasks.SyncItem(name_task(number), ids.Epoch(1), expires)
            for number in range(count)
        ),
    )
