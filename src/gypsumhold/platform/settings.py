"""Reads the settings file that the platform writes for each process."""

import dataclasses
import datetime
import os
import pathlib

from returns.result import Failure, Result, Success

from gypsumhold.model import errors, ids, members
from gypsumhold.model.jobs import locality, messages, worker_limits
from gypsumhold.platform import documents

PATH_VARIABLE = "GYPSUMHOLD_NODE_FILE"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """The instance and the addresses that the platform gives a process.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre of the instance.
        host: IP address of the instance.
        callers: Address for callers to connect to; None on an agent.
        readiness: Address for readiness checks; None on an agent.
        workers: Address for the worker's heartbeats; None on an entry.
        peers: Address for the other processes of the system.
        store: Address of the platform's store.
        cores: Processor capacity of the instance, in cores.
        row_bytes: Most bytes of one row in the store.
        limits: Limits of the workers of this deployment.
        evacuation_time: Within what time after its request an evacuation of a
            data centre is obeyed; None if the platform sets none.
        off_rack_slowdown: Factor on the run time of a task away from the rack
            of its data or gang; 1 if the file names none.
        machines: Address of the platform's list of machines; None if it has
            none.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    host: str
    callers: members.Address | None
    readiness: members.Address | None
    workers: members.Address | None
    peers: messages.Endpoint
    store: members.Address
    cores: float = 1.0
    row_bytes: int = 65_536
    limits: worker_limits.WorkerLimits = worker_limits.WorkerLimits()
    evacuation_time: datetime.timedelta | None = None
    off_rack_slowdown: float = locality.NO_SLOWDOWN
    machines: members.Address | None = None


def read_settings() -> Result[NodeSettings, errors.Error]:
    """Reads the file that the variable GYPSUMHOLD_NODE_FILE names."""
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as problem:
        return Failure(
            errors.Error(
                errors.ErrorKind.BAD_SETTING,
                f"cannot read the settings file {path!r}: {problem}",
                f"set {PATH_VARIABLE} to the path of the file that the "
                "platform writes",
            )
        )
    return documents.parse(data, documents.Settings).bind(_build_settings)


def _build_settings(
    document: documents.Settings,
) -> Result[NodeSettings, errors.Error]:
    listen = document.listen
    try:
        return Success(
            NodeSettings(
                ids.InstanceId(document.node_name),
                ids.DataCentre(document.zone),
                document.ip_address,
                _parse_optional_address(listen.front),
                _parse_optional_address(listen.ready),
                _parse_optional_address(listen.control),
                messages.Endpoint(
                    document.ip_address, document.internal_port_range[0]
                ),
                _parse_address(document.platform.address),
                document.limits.cpu_share * document.limits.cpu_cores,
                document.platform.row_bytes,
                worker_limits.WorkerLimits(
                    max_hold=datetime.timedelta(
                        milliseconds=document.bounds.max_hold_ms
                    ),
                    min_drain=datetime.timedelta(
                        milliseconds=document.bounds.drain_ms
                    ),
                ),
                datetime.timedelta(milliseconds=document.bounds.evacuation_ms)
                or None,
                max(locality.NO_SLOWDOWN, document.bounds.remote_penalty),
                _parse_optional_address(document.cloud_api.address),
            )
        )
    except ValueError as problem:
        return Failure(
            errors.Error(
                errors.ErrorKind.BAD_SETTING,
                str(problem),
                "write IP-ADDRESS:PORT",
            )
        )


def _parse_optional_address(text: str) -> members.Address | None:
    return _parse_address(text) if text else None


def _parse_address(text: str) -> members.Address:
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal():
        raise ValueError(f"{text!r} is not an address")
    number = int(port)
    if number > members.MAX_PORT:
        raise ValueError(f"{text!r} has no valid port")
    return members.Address(host, number)
