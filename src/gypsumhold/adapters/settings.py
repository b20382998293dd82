"""Reads settings files: JSON with comments, validated by pydantic."""

import datetime
import difflib
import pathlib
import re
import types
import typing
from typing import Annotated, Any, TypeVar

import jsonc
import pydantic
from returns.result import Failure, Result, Success

from gypsumhold.adapters import limit_settings
from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model import clock as clocks
from gypsumhold.model import (
    errors,
    ids,
    members,
    options,
    states,
)

MIN_SECRET_LENGTH = 16


def _read_secret(raw: object) -> object:
    """Returns the secret, or reads it from the file that `raw` names."""
    if not isinstance(raw, dict):
        return raw
    if set(raw) != {"file"}:
        raise ValueError('give a string or {"file": "path"}')
    try:
        return pathlib.Path(str(raw["file"])).read_text("utf-8").strip()
    except (OSError, UnicodeError) as problem:
        raise ValueError(f"cannot read the secret: {problem}") from problem


Secret = Annotated[
    pydantic.SecretStr,
    pydantic.BeforeValidator(_read_secret),
    pydantic.Field(min_length=MIN_SECRET_LENGTH),
]
Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
_SERVICE_URL = re.compile(
    r"http://\[?(?P<host>[0-9A-Fa-f.:]+)\]?:(?P<port>[0-9]{1,5})"
)


class AddressSettings(limit_settings.Settings):
    """An IP address and a port."""

    host: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)

    def build(self) -> members.Address:
        """Converts the settings to an address."""
        return members.Address(str(self.host), self.port)


class ReachableAddressSettings(AddressSettings):
    """An address that this process announces to other processes."""

    @pydantic.field_validator("host")
    @classmethod
    def _check_host(cls, host: Any) -> Any:
        if host.is_unspecified:
            raise ValueError(
                "others cannot reach this address; give a specific IP address"
            )
        return host


class ServiceSettings(limit_settings.Settings):
    """An HTTP service of the platform."""

    url: str

    @pydantic.field_validator("url")
    @classmethod
    def _check_url(cls, url: str) -> str:
        match = _SERVICE_URL.fullmatch(url)
        if match is None:
            raise ValueError("give http://IP-ADDRESS:PORT without a path")
        AddressSettings.model_validate(match.groupdict())
        return url

    def build(self) -> members.Address:
        """Returns the address of the service."""
        host, port = self.url.removeprefix("http://").rsplit(":", 1)
        return members.Address(host.strip("[]"), int(port))


class LogSettings(limit_settings.Settings):
    """Format and level of the log on the standard error stream."""

    as_json: bool = pydantic.Field(default=False, alias="json")
    level: typing.Literal["debug", "info", "warning", "error"] = "info"


class MetricsSettings(limit_settings.Settings):
    """OTLP endpoint to which metrics are sent, besides the metrics route."""

    otlp_url: str | None = pydantic.Field(
        default=None, pattern=r"^https?://[^?#]+$"
    )


class WaitingSettings(limit_settings.Settings):
    """Maximum number of waiting calls for each class of work."""

    urgent: limit_settings.Count = 40
    standard: limit_settings.Count = 24
    batch: limit_settings.Count = 16


class NodeFileSettings(limit_settings.Settings):
    """Settings of `gypsumhold-node`; the platform supplies the addresses.

    `advertised_port` is the port for other processes if a forwarder stands in
    front of this process. With an `operator_token`, an entry also answers
    operators on the port of the metrics.
    `admission` chooses which jobs an entry refuses, and `locality` whether
    tasks wait for places near their data or their gang.
    """

    deployment_key: Secret
    operator_token: Secret | None = None
    advertised_port: int | None = pydantic.Field(default=None, ge=1, le=65535)
    metrics_port: int = pydantic.Field(default=9464, ge=1, le=65535)
    log: LogSettings = LogSettings()
    admission: policy_sets.AdmissionKind = policy_sets.AdmissionKind.ACCEPT_ALL
    locality: policy_sets.LocalityKind = policy_sets.LocalityKind.WEIGH_WAIT
    clients: limit_settings.ClientSettings = limit_settings.ClientSettings()
    replies: limit_settings.ReplySettings = limit_settings.ReplySettings()


class EntryTuning(limit_settings.Settings):
    """Options of an entry; an omitted option keeps its default."""

    partitions: limit_settings.Count | None = None
    waiting_limits: WaitingSettings = WaitingSettings()
    max_deadline_ms: limit_settings.Milliseconds | None = None
    max_attempts: limit_settings.Count | None = None
    partition_lease_ms: limit_settings.Milliseconds | None = None
    partition_poll_ms: limit_settings.Milliseconds | None = None
    batch_rows: limit_settings.Count | None = None
    sync_interval_ms: limit_settings.Milliseconds | None = None
    config_poll_ms: limit_settings.Milliseconds | None = None
    suspect_after_ms: limit_settings.Milliseconds | None = None
    forget_after_ms: limit_settings.Milliseconds | None = None
    table_pause_ms: limit_settings.Milliseconds | None = None
    claim_patience_ms: limit_settings.Milliseconds | None = None
    claim_poll_ms: limit_settings.Milliseconds | None = None


class AgentTuning(limit_settings.Settings):
    """Options of an agent; an omitted option keeps its default."""

    max_deadline_ms: limit_settings.Milliseconds | None = None
    queue_limit: limit_settings.Count | None = None
    announce_interval_ms: limit_settings.Milliseconds | None = None
    worker_poll_ms: limit_settings.Milliseconds | None = None
    upstream_silence_ms: limit_settings.Milliseconds | None = None


class EntrySettings(limit_settings.Settings):
    """Settings of gypsumhold-entry."""

    name: Name
    data_centre: Name
    region: Name
    callers: AddressSettings
    operators: AddressSettings
    peers: ReachableAddressSettings
    announcements: AddressSettings
    table: ServiceSettings
    objects: ServiceSettings
    deployment_key: Secret
    operator_token: Secret
    max_body_bytes: limit_settings.Count = 1_048_576
    caller_threads: limit_settings.Count = 96
    log: LogSettings = LogSettings()
    clients: limit_settings.ClientSettings = limit_settings.ClientSettings()
    replies: limit_settings.ReplySettings = limit_settings.ReplySettings()
    metrics: MetricsSettings = MetricsSettings()
    policies: states.PolicyChoice = states.PolicyChoice.STANDARD
    tuning: EntryTuning = EntryTuning()

    @pydantic.model_validator(mode="after")
    def _check_threads(self) -> "EntrySettings":
        limits = self.tuning.waiting_limits
        waiting = limits.urgent + limits.standard + limits.batch
        if waiting >= self.caller_threads:
            raise ValueError(
                f"caller_threads is {self.caller_threads}, but it must be"
                f" above the {waiting} calls of tuning.waiting_limits, so"
                " that a thread remains to refuse calls"
            )
        return self


class EntryAddressSettings(AddressSettings):
    """Address on which an entry receives announcements, and its region."""

    region: Name


class AgentSettings(limit_settings.Settings):
    """Settings of gypsumhold-agent."""

    instance: Name
    data_centre: Name
    region: Name
    rack: Name
    peers: ReachableAddressSettings
    local: AddressSettings
    worker: ServiceSettings
    entries: tuple[EntryAddressSettings, ...] = pydantic.Field(min_length=1)
    deployment_key: Secret
    max_body_bytes: limit_settings.Count = 1_048_576
    upstream_connections: limit_settings.Count = 64
    log: LogSettings = LogSettings()
    clients: limit_settings.ClientSettings = limit_settings.ClientSettings()
    replies: limit_settings.ReplySettings = limit_settings.ReplySettings()
    metrics: MetricsSettings = MetricsSettings()
    policies: states.PolicyChoice = states.PolicyChoice.STANDARD
    tuning: AgentTuning = AgentTuning()


SettingsT = TypeVar("SettingsT", bound=pydantic.BaseModel)


def read_settings(
    path: str, model: type[SettingsT]
) -> Result[SettingsT, errors.Error]:
    """Reads and validates a settings file.

    Args:
        path: Path of the file.
        model: Type of the settings, for example EntrySettings.

    Returns:
        The settings, or an error that names the invalid key and the remedy.
    """
    try:
        text = pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeError) as problem:
        return Failure(
            errors.Error(
                errors.ErrorKind.BAD_SETTING,
                f"cannot read {path}: {problem}",
                "give the path of a readable UTF-8 file with --config",
            )
        )
    return parse_settings(text, model)


def parse_settings(
    text: str, model: type[SettingsT]
) -> Result[SettingsT, errors.Error]:
    """Parses and validates the text of a settings file."""
    try:
        raw = jsonc.loads(text, object_pairs_hook=_reject_repeated_keys)
        return Success(model.model_validate(raw))
    except pydantic.ValidationError as problem:
        return Failure(_build_validation_error(problem, model))
    except (ValueError, RecursionError) as problem:
        return Failure(
            errors.Error(
                errors.ErrorKind.BAD_SETTING,
                f"the file is not JSON with comments: {problem}",
                "correct the file as the message says",
            )
        )


def _reject_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a JSON object; the parser would drop repeated keys silently."""
    document = dict(pairs)
    if len(document) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the key '{repeated}' is given twice")
    return document


def _build_validation_error(
    problem: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> errors.Error:
    # A misspelt key is reported as unknown and as missing; the unknown key
    # shows the cause, so it is reported first.
    first = sorted(
        problem.errors(), key=lambda error: error["type"] != "extra_forbidden"
    )[0]
    field = ".".join(str(part) for part in first["loc"])
    if first["type"] == "extra_forbidden":
        return _build_unknown_key_error(field, first["loc"], model)
    if first["type"] == "missing":
        return errors.Error(
            errors.ErrorKind.BAD_SETTING,
            f"the setting '{field}' is missing",
            f"add '{field}' to the file",
        )
    message = first["msg"].removeprefix("Value error, ")
    return errors.Error(
        errors.ErrorKind.BAD_SETTING,
        f"the setting '{field}': {message}" if field else message,
        f"correct '{field}'" if field else "correct the file",
    )


def _build_unknown_key_error(
    field: str,
    location: tuple[int | str, ...],
    model: type[pydantic.BaseModel],
) -> errors.Error:
    known_keys = _list_keys(model, location[:-1])
    # Any suggestion is better than none, so the cut-off is 0.
    nearest = difflib.get_close_matches(str(location[-1]), known_keys, 1, 0.0)
    return errors.Error(
        errors.ErrorKind.BAD_SETTING,
        f"the setting '{field}' is unknown",
        f"use '{nearest[0]}'" if nearest else "remove it",
    )


def _list_keys(
    model: type[pydantic.BaseModel], location: tuple[int | str, ...]
) -> list[str]:
    """Returns the known keys at a location in a settings file, sorted."""
    for part in location:
        if isinstance(part, str):
            model = _find_model(model.model_fields[part].annotation)
    return sorted(
        field.alias or name for name, field in model.model_fields.items()
    )


def _find_model(annotation: Any) -> type[pydantic.BaseModel]:
    """Returns the model in an annotation such as tuple[Model, ...]."""
    if isinstance(annotation, type) and not isinstance(
        annotation, types.GenericAlias
    ):
        return annotation
    return typing.get_args(annotation)[0]


def _build_option_arguments(tuning: limit_settings.Settings) -> dict[str, Any]:
    """Returns the keyword arguments of an options object.

    Fields in milliseconds become durations without the suffix `_ms`.
    """
    arguments: dict[str, Any] = {}
    for name, value in tuning.model_dump(exclude_none=True).items():
        if name.endswith("_ms"):
            duration = datetime.timedelta(milliseconds=value)
            arguments[name.removesuffix("_ms")] = duration
        else:
            arguments[name] = value
    return arguments


def build_incarnation(clock: clocks.Clock) -> ids.Incarnation:
    """Returns the incarnation of this process.

    The number must rise with each start. Nothing is kept on disk, so it is the
    wall-clock time in milliseconds. It is compared only with incarnations of
    the same instance.
    """
    milliseconds = clock.read_wall().timestamp() * 1000
    return ids.Incarnation(int(milliseconds))


def build_entry_options(
    settings: EntrySettings, clock: clocks.Clock
) -> options.EntryOptions:
    """Returns the options of an entry."""
    tuning = _build_option_arguments(settings.tuning)
    tuning["waiting_limits"] = {
        states.WorkClass(name): limit
        for name, limit in tuning["waiting_limits"].items()
    }
    return options.EntryOptions(
        entry=ids.EntryId(settings.name),
        incarnation=build_incarnation(clock),
        address=settings.peers.build(),
        data_centre=ids.DataCentre(settings.data_centre),
        region=ids.Region(settings.region),
        **tuning,
    )


def build_agent_options(
    settings: AgentSettings, clock: clocks.Clock
) -> options.AgentOptions:
    """Returns the options of an agent."""
    return options.AgentOptions(
        instance=ids.InstanceId(settings.instance),
        incarnation=build_incarnation(clock),
        address=settings.peers.build(),
        data_centre=ids.DataCentre(settings.data_centre),
        region=ids.Region(settings.region),
        rack=ids.Rack(settings.rack),
        **_build_option_arguments(settings.tuning),
    )
