"""Settings of the command line, declared once."""

import pydantic
import pydantic_settings
from returns import result

ENVIRONMENT_PREFIX = "HICKORYREACH_"
HIDDEN = "(set)"


class Settings(pydantic_settings.BaseSettings):
    """Every setting with its type, default and check."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX, extra="forbid"
    )

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
        """Checks that the key can stand in a header, without showing it."""
        key = value.get_secret_value()
        if not key.isascii() or not key.isprintable() or " " in key:
            raise ValueError("use the key as it was granted")
        return value


def load(flags: dict[str, str]) -> result.Result[Settings, list[str]]:
    """Returns the settings from flags and environment, or every fault.

    Flags go before environment variables.
    """
    try:
        return result.Success(Settings(**flags))
    except pydantic.ValidationError as error:
        return result.Failure(
            [describe_fault(row) for row in error.errors(include_input=False)]
        )


def describe_fault(row: dict) -> str:
    """Returns one line that names the flag, the variable and the fault."""
    name = str(row["loc"][0]) if row["loc"] else ""
    return f"{name_flag(name)} ({name_variable(name)}): {row['msg']}"


def name_flag(name: str) -> str:
    """Returns the flag of a setting."""
    return f"--{name.replace('_', '-')}"


def name_variable(name: str) -> str:
    """Returns the environment variable of a setting."""
    return f"{ENVIRONMENT_PREFIX}{name.upper()}"
