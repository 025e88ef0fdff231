"""Shows the effective settings."""

from hickoryreach.config import settings
from hickoryreach_cli import reports
from hickoryreach_cli.config import settings as cli_settings


def show(effective: cli_settings.Settings) -> reports.Report:
    """Shows each setting's flag, value and variable, with the key hidden."""
    lines = settings.describe(effective, cli_settings.HIDDEN_NAMES)
    return reports.Report(lines=tuple(lines))
