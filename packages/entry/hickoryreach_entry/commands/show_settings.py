"""Shows the effective settings."""

from hickoryreach_entry.config import settings as entry_settings

HIDDEN = "(set)"
HIDDEN_NAMES = ("first_operator_hash",)


def describe(settings: entry_settings.Settings) -> list[str]:
    """Returns a line for each setting, with its flag, variable and value."""
    return [
        f"--{name.replace('_', '-')}={show(name, value)}"
        f"  {entry_settings.ENVIRONMENT_PREFIX}{name.upper()}"
        for name, value in settings.model_dump().items()
    ]


def show(name: str, value: object) -> object:
    """Returns a value for people; a hash is hidden."""
    return HIDDEN if name in HIDDEN_NAMES and value else value
