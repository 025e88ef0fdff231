"""Settings of a program, from flags and environment variables."""

from collections.abc import Callable
from collections.abc import Collection
from typing import TypeVar

import pydantic
import pydantic_settings
from returns import result

ENVIRONMENT_PREFIX = "HICKORYREACH_"
MASK = "(set)"


class Settings(pydantic_settings.BaseSettings):
    """Base of the settings of one program; unknown names are errors."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX, extra="forbid"
    )


S = TypeVar("S", bound=Settings)


def load(model: type[S], flags: dict[str, str]) -> result.Result[S, list[str]]:
    """Returns the settings from flags and environment, or all faults.

    Args:
        model: Class of the settings to load.
        flags: Value of each flag that was given, by name of the setting.
            Flags take precedence over environment variables.
    """
    try:
        return result.Success(model(**flags))
    except pydantic.ValidationError as error:
        return result.Failure(
            [describe_fault(row) for row in error.errors(include_input=False)]
        )


def describe_fault(row: dict) -> str:
    """Returns a line that names the flag, the variable and the fault.

    Args:
        row: One error of pydantic.
    """
    if not row["loc"]:
        return row["msg"]
    name = str(row["loc"][0])
    return f"{name_flag(name)} ({name_variable(name)}): {row['msg']}"


def select_flags(
    model: type[Settings], get_option: Callable[[str], str | None]
) -> dict[str, str]:
    """Returns the values of the flags that were given, by setting name.

    Args:
        model: Class of the settings.
        get_option: Returns the value of an option, or None if the option was
            not given.
    """
    found = {name: get_option(name_option(name)) for name in model.model_fields}
    return {name: value for name, value in found.items() if value is not None}


def describe(settings: Settings, hidden: Collection[str]) -> list[str]:
    """Returns a line for each setting, with its flag, value and variable.

    Args:
        settings: The settings.
        hidden: Names of secret settings, whose values are shown as MASK.
    """
    return [
        f"{name_flag(name)}={MASK if name in hidden and value else value}"
        f"  {name_variable(name)}"
        for name, value in settings.model_dump().items()
    ]


def name_option(name: str) -> str:
    """Returns the option name of a setting, without leading dashes."""
    return name.replace("_", "-")


def name_flag(name: str) -> str:
    """Returns the command-line flag of a setting."""
    return f"--{name_option(name)}"


def name_variable(name: str) -> str:
    """Returns the name of a setting's environment variable."""
    return f"{ENVIRONMENT_PREFIX}{name.upper()}"
