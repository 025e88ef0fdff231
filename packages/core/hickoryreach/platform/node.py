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


class BoundsRow(pydantic.BaseModel):
    """Figures of the rules that this process must know."""

    model_config = pydantic.ConfigDict(extra="ignore", populate_by_name=True)

    grace_s: float = pydantic.Field(6.0, alias="graceS")
    hold_limit_ms: int = pydantic.Field(6_000, alias="holdMaxMs")
    keep_state_s: int = pydantic.Field(120, alias="status_s")


class PlatformRow(documents.Document):
    """Where the platform's store is."""

    address: str


class NodeSettings(documents.Document):
    """The settings file; `cores` x `cpuShare` is our part of the machine."""

    node: str
    zone: str
    listen: ListenRow
    limits: LimitsRow = LimitsRow()
    heartbeat_ms: int = 1_500
    bounds: BoundsRow = BoundsRow()
    orders: str = "call"
    seeds: list[str] = []
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
