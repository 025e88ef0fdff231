"""Shows the effective settings."""

from hickoryreach_entry.config import settings as entry_settings


def describe(settings: entry_settings.Settings) -> list[str]:
    """Returns a line for each setting, with its flag, variable and value."""
    return [
        f"--{name.replace('_', '-')}={value}"
        f"  {entry_settings.ENVIRONMENT_PREFIX}{name.upper()}"
        for name, value in settings.model_dump().items()
    ]
