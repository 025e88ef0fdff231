"""The settings file that the platform writes for each process."""

import pathlib

import pydantic
from returns import result
import yaml

from hickoryreach.platform import documents

PATH_VARIABLE = "HICKORYREACH_CONFIG"


class ListenRow(documents.Document):
    """Addresses to serve at; `control` is ours for peers."""

    front: str
    ready: str
    control: str


class LimitsRow(documents.Document):
    """What the machine offers this process."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 0.0


class BoundsRow(pydantic.BaseModel):
    """Figures of the rules that this process must know."""

    model_config = pydantic.ConfigDict(extra="ignore", populate_by_name=True)

    drain_ms: int = pydantic.Field(2_000, alias="drainMs")
    grace_s: float = pydantic.Field(6.0, alias="graceS")
    hold_limit_ms: int = pydantic.Field(6_000, alias="holdMaxMs")
    stop_ms: int = pydantic.Field(1_000, alias="stopGraceMs")
    gang_wait_ms: int = pydantic.Field(3_000, alias="gangWaitMs")
    restore_ms: int = pydantic.Field(250, alias="restoreMs")
    keep_state_s: int = pydantic.Field(120, alias="status_s")
    spread_factor: float = pydantic.Field(1.5, alias="spreadFactor")


class PlatformRow(documents.Document):
    """Where the platform's store is and what it takes."""

    address: str
    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0
    value_bytes: int = 1_048_576
    ttl_min_ms: int = 1_000


class NodeSettings(documents.Document):
    """The settings file; `cores` x `cpuShare` is our part of the machine."""

    node: str
    zone: str
    region: str = ""
    listen: ListenRow
    port_range: list[int] = []
    limits: LimitsRow = LimitsRow()
    heartbeat_ms: int = 1_500
    bounds: BoundsRow = BoundsRow()
    orders: str = "call"
    advice: str | None = None
    platform: PlatformRow

    @pydantic.field_validator("orders")
    @classmethod
    def check_orders(cls, value: str) -> str:
        """Checks that minions take calls."""
        if value != "call":
            raise ValueError(
                f"{value!r} is not supported; minions must take orders by call"
            )
        return value

    @property
    def processor(self) -> float:
        """Cores' worth of processor time that this process gets."""
        return self.limits.cpu_share * self.limits.cores


def load(path: str) -> result.Result[NodeSettings, str]:
    """Returns the settings in a file, or what is wrong with it."""
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
