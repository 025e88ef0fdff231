"""Shows the effective settings."""

from hickoryreach_cli import reports
from hickoryreach_cli.config import settings as cli_settings


def show(settings: cli_settings.Settings) -> reports.Report:
    """Shows each setting's flag, variable and value; never the key."""
    values = {
        "url": settings.url,
        "key": cli_settings.HIDDEN if settings.key.get_secret_value() else "",
        "timeout_s": settings.timeout_s,
    }
    return reports.Report(
        lines=tuple(
            f"{cli_settings.name_flag(name)}={value}  "
            f"{cli_settings.name_variable(name)}"
            for name, value in values.items()
        )
    )
