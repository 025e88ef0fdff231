"""Settings of the command line."""

import pydantic
from returns import result

from hickoryreach.config import settings

HIDDEN_NAMES = ("key",)


class Settings(settings.Settings):
    """Settings with their types, defaults and validation."""

    url: str = pydantic.Field(
        default="http://127.0.0.1:8080",
        pattern=r"^https?://[^/]+$",
        description="Base URL of any entry, or of the balancer.",
    )
    key: pydantic.SecretStr = pydantic.Field(
        default=pydantic.SecretStr(""),
        description="Key of a workspace or of an operator. Prefer the "
        "variable: flags are shown in process lists.",
    )
    timeout_s: float = pydantic.Field(
        default=75.0,
        gt=0,
        le=3_600,
        description="Longest one call may take, in s.",
    )

    @pydantic.field_validator("key")
    @classmethod
    def check_key(cls, value: pydantic.SecretStr) -> pydantic.SecretStr:
        """Checks that the key is valid in a header, without revealing it."""
        key = value.get_secret_value()
        if not key.isascii() or not key.isprintable() or " " in key:
            raise ValueError("use the key as it was granted")
        return value


def load(flags: dict[str, str]) -> result.Result[Settings, list[str]]:
    """Returns the settings from flags and environment, or every fault."""
    return settings.load(Settings, flags)
