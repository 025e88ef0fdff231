"""Settings file that the platform writes for each process."""

import pathlib
from typing import Annotated

import pydantic
from returns import result
import yaml

from hickoryreach.config import client_limits
from hickoryreach.platform import callers
from hickoryreach.platform import documents

PATH_VARIABLE = "HICKORYREACH_CONFIG"
DEFAULT_CANCELS_PER_S = 50.0
JOB_MEMORY_DIVISOR = 4


class ListenRow(documents.Document):
    """Addresses to listen on.

    `front` is for callers and `ready` for readiness checks; `control` is the
    scheduler's own, for connections between entries.
    """

    front: str
    ready: str
    control: str


class LimitsRow(documents.Document, client_limits.ClientLimits):
    """Limits of this process."""

    cpu_share: float = 1.0
    cores: float = 1.0
    cancels_per_s: float = pydantic.Field(
        default=DEFAULT_CANCELS_PER_S,
        gt=0,
        description="Most cancellations of ids without a job that an entry "
        "stores for one workspace, per second; ten times as many at once.",
    )
    max_job_steps: int = pydantic.Field(
        default=callers.STEPS_LIMIT,
        ge=1,
        description="Most steps of a job, those of all repeats included.",
    )

    @property
    def max_job_bytes(self) -> int:
        """Most memory of all jobs for which this process accepts another."""
        total = self.memory_mb * client_limits.BYTES_PER_MB
        return total // JOB_MEMORY_DIVISOR

    @pydantic.field_validator("memory_mb", "max_fds", mode="before")
    @classmethod
    def read_absent_limit(
        cls, value: object, info: pydantic.ValidationInfo
    ) -> object:
        """Reads a limit that is empty or 0 as the default."""
        return value or cls.model_fields[info.field_name].default


class BoundsRow(pydantic.BaseModel):
    """Limits of the platform that this process must observe.

    Attributes:
        grace_s: Time from SIGTERM until the process is killed, in s.
        hold_limit_ms: Longest lease that a minion accepts, in ms.
        stop_grace_ms: Longest time that a minion takes to stop a run, in ms.
        keep_state_s: How long the final state of a job is stored, in s.
    """

    model_config = pydantic.ConfigDict(extra="ignore", populate_by_name=True)

    grace_s: float = pydantic.Field(6.0, alias="graceS", ge=0)
    hold_limit_ms: int = pydantic.Field(6_000, alias="holdMaxMs", gt=0)
    stop_grace_ms: int = pydantic.Field(900, alias="stopGraceMs", ge=0)
    keep_state_s: int = pydantic.Field(120, alias="status_s", ge=0)


def check_address(address: str) -> str:
    """Checks that an address is a host and a port.

    Raises:
        ValueError: It is not.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port) > documents.MAX_PORT:
        raise ValueError(f"{address!r} is not an address of the form host:port")
    return address


Address = Annotated[str, pydantic.AfterValidator(check_address)]


class PlatformRow(documents.Document):
    """Address of the platform's store."""

    address: Address


class NodeSettings(documents.Document):
    """The settings file.

    The process may use `cores` times `cpuShare` cores of the machine.
    """

    node: str
    zone: str
    listen: ListenRow
    limits: LimitsRow = LimitsRow()
    heartbeat_ms: Annotated[int, pydantic.Field(gt=0)] = 1_500
    bounds: BoundsRow = BoundsRow()
    orders: str = "call"
    seeds: list[str] = []
    advice: Address | None = None
    platform: PlatformRow

    @pydantic.field_validator("advice", mode="before")
    @classmethod
    def read_empty_address(cls, value: object) -> object:
        """Reads an empty address as none."""
        return value or None

    @pydantic.field_validator("orders")
    @classmethod
    def check_orders(cls, value: str) -> str:
        """Checks that minions receive orders by call.

        Raises:
            ValueError: Orders are sent in another way.
        """
        if value != "call":
            raise ValueError(
                f"{value!r} is not supported; minions must take orders by call"
            )
        return value

    @property
    def processor(self) -> float:
        """Processor time that this process may use, in cores."""
        return self.limits.cpu_share * self.limits.cores


def load(path: str) -> result.Result[NodeSettings, str]:
    """Returns the settings in a file, or the faults in it."""
    try:
        rows = yaml.load(
            pathlib.Path(path).read_text(encoding="utf-8"),
            Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader),
        )
        return result.Success(NodeSettings.model_validate(rows))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return result.Failure(f"{path}: {error}")
    except pydantic.ValidationError as error:
        return result.Failure(f"{path}: {documents.describe_faults(error)}")
