"""Merges the status of all entries into one report of gypsumctl."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from gypsumhold.programs import ctl_answers, ctl_options


@dataclasses.dataclass(frozen=True, slots=True)
class _Fleet:
    """What all entries together report.

    Attributes:
        accepted: Highest configuration version that anyone knows.
        entries: Status of each entry that answered.
        instances: Latest status of each instance.
        partitions: Status of each held partition, with its holder.
        silent: Addresses of entries that did not answer.
    """

    accepted: int
    entries: tuple[Mapping[str, Any], ...]
    instances: tuple[Mapping[str, Any], ...]
    partitions: tuple[tuple[str, Mapping[str, Any]], ...]
    silent: tuple[str, ...]


def _rank(instance: Mapping[str, Any]) -> tuple[int, int, int]:
    """Orders views of one instance; the most recent is the greatest."""
    return (
        instance["incarnation"],
        instance["config_version"],
        -instance["age_ms"],
    )


def _merge(answers: Sequence[ctl_answers.Answer]) -> _Fleet:
    latest: dict[str, Mapping[str, Any]] = {}
    entries: list[Mapping[str, Any]] = []
    partitions: list[tuple[str, Mapping[str, Any]]] = []
    accepted = 0
    for answer in answers:
        if not answer.succeeded:
            continue
        body = answer.document
        entry = body["entry"]
        entries.append(entry)
        accepted = max(
            accepted, body["accepted_version"] or 0, entry["config_version"]
        )
        partitions += [
            (entry["name"], item)
            for item in body["partitions"]
            if item["phase"] == "held"
        ]
        for instance in body["instances"]:
            known = latest.get(instance["name"])
            if known is None or _rank(known) < _rank(instance):
                latest[instance["name"]] = instance
    return _Fleet(
        accepted,
        tuple(sorted(entries, key=lambda item: item["name"])),
        tuple(item for _, item in sorted(latest.items())),
        tuple(sorted(partitions, key=lambda item: item[1]["number"])),
        tuple(item.entry for item in answers if not item.succeeded),
    )


def _mark_lag(accepted: int, member: Mapping[str, Any]) -> str:
    version = member["config_version"]
    return f"{version} lags" if version < accepted else str(version)


def _render_entries(fleet: _Fleet) -> str:
    return ctl_answers.align_table(
        ("entry", "version", "ready", "waiting", "partitions", "table"),
        (
            (
                entry["name"],
                _mark_lag(fleet.accepted, entry),
                "yes" if entry["ready"] else "no",
                sum(entry["waiting"].values()),
                entry["partitions_held"],
                "reachable" if entry["table_reachable"] else "unreachable",
            )
            for entry in fleet.entries
        ),
    )


def _render_room(instance: Mapping[str, Any], key: str) -> str:
    return f"{instance['free'][key]}/{instance['capacity'][key]}"


def _render_instances(fleet: _Fleet) -> str:
    head = (
        "instance",
        "state",
        "version",
        "data centre",
        "rack",
        "slots",
        "queued",
        "cpu_millis",
        "memory_mb",
        "accelerators",
        "age",
    )
    return ctl_answers.align_table(
        head,
        (
            (
                instance["name"],
                instance["state"],
                _mark_lag(fleet.accepted, instance),
                instance["data_centre"],
                instance["rack"],
                instance["free_slots"],
                instance["queued"],
                _render_room(instance, "cpu_millis"),
                _render_room(instance, "memory_mb"),
                _render_room(instance, "accelerators"),
                f"{instance['age_ms'] / 1000:.1f} s",
            )
            for instance in fleet.instances
        ),
    )


def _render_partitions(fleet: _Fleet) -> str:
    return ctl_answers.align_table(
        ("partition", "holder", "epoch", "queued", "assigned"),
        (
            (
                item["number"],
                holder,
                item["epoch"],
                item["queued"],
                item["assigned"],
            )
            for holder, item in fleet.partitions
        ),
    )


def _choose_code(fleet: _Fleet, check: bool) -> ctl_options.ExitCode:
    lagging = any(
        member["config_version"] < fleet.accepted
        for member in (*fleet.entries, *fleet.instances)
    )
    if check and lagging:
        return ctl_options.ExitCode.REFUSED
    if not fleet.entries or (check and fleet.silent):
        return ctl_options.ExitCode.UNKNOWN
    return ctl_options.ExitCode.DONE


def report_status(
    command: ctl_options.Status,
    answers: Sequence[ctl_answers.Answer],
    raw: bool,
) -> ctl_answers.Report:
    """Returns the report of all entries' status."""
    fleet = _merge(answers)
    code = _choose_code(fleet, command.check)
    if raw:
        return dataclasses.replace(ctl_answers.report_raw(answers), code=code)
    parts = [f"accepted version {fleet.accepted}\n"]
    if fleet.entries:
        parts += [
            _render_entries(fleet),
            _render_instances(fleet),
            _render_partitions(fleet),
        ]
    for answer in answers:
        if not answer.succeeded:
            parts.append(f"{answer.entry} gave no status: {_explain(answer)}\n")
    return ctl_answers.Report("\n".join(parts), code)


def _explain(answer: ctl_answers.Answer) -> str:
    match answer.document:
        case {"error": {"message": message}}:
            return f"{answer.status}, {message}"
        case str(reason) if not answer.status:
            return reason
    return f"status {answer.status}"
