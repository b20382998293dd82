"""Merges the status answers of all entries into one report of gypsumctl."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from gypsumhold.programs import ctl_answers, ctl_options, ctl_tables


@dataclasses.dataclass(frozen=True, slots=True)
class _MergedStatus:
    """The status of all members, merged from the answers of the entries.

    Attributes:
        accepted_version: Highest configuration version that any entry knows.
        entries: Status of each entry that answered, by name.
        instances: Latest known status of each instance, by name.
        partitions: Holder and status of each held partition, by number.
        silent: Addresses of entries that gave no status.
    """

    accepted_version: int
    entries: tuple[Mapping[str, Any], ...]
    instances: tuple[Mapping[str, Any], ...]
    partitions: tuple[tuple[str, Mapping[str, Any]], ...]
    silent: tuple[str, ...]


def _build_recency_key(instance: Mapping[str, Any]) -> tuple[int, int, int]:
    """Returns a sort key that is greatest for the latest status."""
    return (
        instance["incarnation"],
        instance["config_version"],
        -instance["age_ms"],
    )


def _merge_answers(answers: Sequence[ctl_answers.Answer]) -> _MergedStatus:
    latest: dict[str, Mapping[str, Any]] = {}
    entries: list[Mapping[str, Any]] = []
    partitions: list[tuple[str, Mapping[str, Any]]] = []
    accepted_version = 0
    for answer in answers:
        if not answer.succeeded:
            continue
        body = answer.document
        entry = body["entry"]
        entries.append(entry)
        accepted_version = max(
            accepted_version,
            body["accepted_version"] or 0,
            entry["config_version"],
        )
        partitions += [
            (entry["name"], partition)
            for partition in body["partitions"]
            if partition["phase"] == "held"
        ]
        for instance in body["instances"]:
            previous = latest.get(instance["name"])
            if previous is None or _build_recency_key(
                previous
            ) < _build_recency_key(instance):
                latest[instance["name"]] = instance
    return _MergedStatus(
        accepted_version,
        tuple(sorted(entries, key=lambda entry: entry["name"])),
        tuple(instance for _, instance in sorted(latest.items())),
        tuple(sorted(partitions, key=lambda held: held[1]["number"])),
        tuple(answer.entry for answer in answers if not answer.succeeded),
    )


def _render_version(accepted_version: int, member: Mapping[str, Any]) -> str:
    version = member["config_version"]
    return f"{version} lags" if version < accepted_version else str(version)


def _render_entries(merged: _MergedStatus) -> str:
    return ctl_tables.format_table(
        ("entry", "version", "ready", "waiting", "partitions", "table"),
        (
            (
                entry["name"],
                _render_version(merged.accepted_version, entry),
                "yes" if entry["ready"] else "no",
                sum(entry["waiting"].values()),
                entry["partitions_held"],
                "reachable" if entry["table_reachable"] else "unreachable",
            )
            for entry in merged.entries
        ),
    )


def _render_free(instance: Mapping[str, Any], key: str) -> str:
    return f"{instance['free'][key]}/{instance['capacity'][key]}"


def _render_instances(merged: _MergedStatus) -> str:
    header = (
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
    return ctl_tables.format_table(
        header,
        (
            (
                instance["name"],
                instance["state"],
                _render_version(merged.accepted_version, instance),
                instance["data_centre"],
                instance["rack"],
                instance["free_slots"],
                instance["queued"],
                _render_free(instance, "cpu_millis"),
                _render_free(instance, "memory_mb"),
                _render_free(instance, "accelerators"),
                f"{instance['age_ms'] / 1000:.1f} s",
            )
            for instance in merged.instances
        ),
    )


def _render_partitions(merged: _MergedStatus) -> str:
    return ctl_tables.format_table(
        ("partition", "holder", "epoch", "queued", "assigned"),
        (
            (
                partition["number"],
                holder,
                partition["epoch"],
                partition["queued"],
                partition["assigned"],
            )
            for holder, partition in merged.partitions
        ),
    )


def _choose_code(merged: _MergedStatus, check: bool) -> ctl_options.ExitCode:
    lagging = any(
        member["config_version"] < merged.accepted_version
        for member in (*merged.entries, *merged.instances)
    )
    if check and lagging:
        return ctl_options.ExitCode.REFUSED
    if not merged.entries or (check and merged.silent):
        return ctl_options.ExitCode.UNKNOWN
    return ctl_options.ExitCode.DONE


def report_status(
    command: ctl_options.Status,
    answers: Sequence[ctl_answers.Answer],
    raw: bool,
) -> ctl_answers.Report:
    """Returns the report of the status of all entries."""
    merged = _merge_answers(answers)
    code = _choose_code(merged, command.check)
    if raw:
        return dataclasses.replace(ctl_answers.report_raw(answers), code=code)
    parts = [f"accepted version {merged.accepted_version}\n"]
    if merged.entries:
        parts += [
            _render_entries(merged),
            _render_instances(merged),
            _render_partitions(merged),
        ]
    for answer in answers:
        if not answer.succeeded:
            parts.append(
                f"{answer.entry} gave no status: {_explain_failure(answer)}\n"
            )
    return ctl_answers.Report("\n".join(parts), code)


def _explain_failure(answer: ctl_answers.Answer) -> str:
    match answer.document:
        case {"error": {"message": message}}:
            return f"{answer.status}, {message}"
        case str(reason) if not answer.status:
            return reason
    return f"status {answer.status}"
