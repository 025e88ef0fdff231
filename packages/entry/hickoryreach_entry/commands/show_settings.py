"""Shows the effective settings."""

from hickoryreach.config import settings
from hickoryreach_entry.config import settings as entry_settings


def describe(effective: entry_settings.Settings) -> list[str]:
    """Returns a line for each setting; a hash is hidden."""
    return settings.describe(effective, entry_settings.HIDDEN_NAMES)
