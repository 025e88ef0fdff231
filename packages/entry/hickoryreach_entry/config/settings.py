"""Settings of the entry server, declared once."""

import pydantic
from returns import result

from hickoryreach.config import client_limits
from hickoryreach.config import settings

HIDDEN_NAMES = ("first_operator_hash",)

REQUEST_ROOM_MS = 1_500


class Settings(settings.Settings, client_limits.ClientLimits):
    """Every setting with its type, default and check."""

    name: str = pydantic.Field(
        min_length=1, description="Name of this instance, unique among all."
    )
    failure_domain: str = pydantic.Field(
        min_length=1, description="Failure domain this instance stands in."
    )
    http_host: str = pydantic.Field(
        default="127.0.0.1", description="Address callers reach."
    )
    http_port: int = pydantic.Field(
        default=8080, ge=1, le=65535, description="Port callers reach."
    )
    peer_host: str = pydantic.Field(
        default="127.0.0.1", description="Address other entries reach."
    )
    peer_port: int = pydantic.Field(
        default=8081, ge=1, le=65535, description="Port other entries reach."
    )
    store_url: str = pydantic.Field(
        default="http://127.0.0.1:8500",
        pattern=r"^https?://",
        description="Base URL of the platform's key-value store.",
    )
    instances_url: str = pydantic.Field(
        default="",
        description="Base URL of the instance list; the store's if empty.",
    )
    shards: int = pydantic.Field(
        default=1, ge=1, le=1024, description="Number of shards of the cell."
    )
    member_lease_s: float = pydantic.Field(
        default=4.0, gt=0.5, le=60, description="Lease of a membership, in s."
    )
    grant_ms: int = pydantic.Field(
        default=3_000, ge=500, description="Length of a worker grant, in ms."
    )
    task_lease_ms: int = pydantic.Field(
        default=6_000, ge=1_000, description="Length of a task lease, in ms."
    )
    sync_ms: int = pydantic.Field(
        default=1_000, ge=50, description="Time between worker syncs, in ms."
    )
    commit_ms: int = pydantic.Field(
        default=5, ge=1, description="Time a journal commit gathers, in ms."
    )
    store_writes_per_s: int = pydantic.Field(
        default=200,
        ge=10,
        le=10_000,
        description="Writes per second the whole cell may make to the store.",
    )
    finished_retention_s: int = pydantic.Field(
        default=900,
        ge=60,
        description="Time a finished job's answer is remembered, in s.",
    )
    drain_lag_s: float = pydantic.Field(
        default=2.0,
        ge=0,
        le=60,
        description="Time the balancer needs to notice a drain, in s.",
    )
    lists_max_age_s: float = pydantic.Field(
        default=8.0,
        gt=4,
        le=60,
        description="Longest this instance takes keyed work without a "
        "confirmation that its lists are the newest, in s.",
    )
    max_callers: int = pydantic.Field(
        default=2_000,
        ge=1,
        description="Most callers served at once; more are refused.",
    )
    first_operator_hash: str = pydantic.Field(
        default="",
        pattern="^([0-9a-f]{64})?$",
        description="SHA-256 of the key that may set the lists while no "
        "operator is listed.",
    )
    log_level: str = pydantic.Field(
        default="INFO",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="Least severe level that is logged.",
    )

    @pydantic.field_validator("sync_ms")
    @classmethod
    def check_sync(cls, value: int, info: pydantic.ValidationInfo) -> int:
        """Checks that a grant outlasts two syncs, and one and a request."""
        grant_ms = info.data.get("grant_ms")
        if grant_ms is None:
            return value
        if grant_ms <= 2 * value:
            raise ValueError("must be less than half of --grant-ms")
        if grant_ms - value < REQUEST_ROOM_MS:
            raise ValueError(
                f"must leave {REQUEST_ROOM_MS} ms of --grant-ms, in which a "
                "request reaches its minion; raise --grant-ms"
            )
        return value


def load(flags: dict[str, str]) -> result.Result[Settings, list[str]]:
    """Returns the settings from flags and environment, or every fault."""
    return settings.load(Settings, flags)
