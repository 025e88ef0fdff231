"""Command line of the entry binary."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import cleo.application  # noqa: E402
import cleo.commands.command  # noqa: E402
import cleo.helpers  # noqa: E402
from returns import result  # noqa: E402

from hickoryreach.config import settings  # noqa: E402
from hickoryreach_entry import cell_console  # noqa: E402
from hickoryreach_entry import logs  # noqa: E402
from hickoryreach_entry.commands import serve  # noqa: E402
from hickoryreach_entry.commands import show_settings  # noqa: E402
from hickoryreach_entry.config import settings as entry_settings  # noqa: E402

USAGE_ERROR = 2


def build_options() -> list:
    """Returns an option for each setting."""
    return [
        cleo.helpers.option(
            settings.name_option(name),
            description=field.description,
            flag=False,
        )
        for name, field in entry_settings.Settings.model_fields.items()
    ]


class SettingsCommand(cleo.commands.command.Command):
    """Base of commands that take every setting as a flag."""

    options = build_options()

    def load_settings(self) -> entry_settings.Settings | None:
        """Returns the settings, or None after showing every fault."""
        flags = settings.select_flags(entry_settings.Settings, self.option)
        loaded = entry_settings.load(flags)
        if isinstance(loaded, result.Success):
            return loaded.unwrap()
        for fault in loaded.failure():
            self.line_error(fault)
        return None


class ServeCommand(SettingsCommand):
    """Serves one entry instance."""

    name = "serve"
    description = "Serve one entry instance until SIGTERM has been drained."

    def handle(self) -> int:
        """Runs the command."""
        loaded = self.load_settings()
        if loaded is None:
            return USAGE_ERROR
        logs.set_up(loaded.log_level)
        serve.serve(loaded)
        return 0


class SettingsShowCommand(SettingsCommand):
    """Shows the effective settings."""

    name = "settings"
    description = "Show the effective settings with flag and variable."

    def handle(self) -> int:
        """Runs the command."""
        loaded = self.load_settings()
        if loaded is None:
            return USAGE_ERROR
        for line in show_settings.describe(loaded):
            self.line(line)
        return 0


def main() -> int:
    """Runs the entry binary."""
    application = cleo.application.Application("hickoryreach-entry", "0.1.0")
    application.add(ServeCommand())
    application.add(cell_console.CellCommand())
    application.add(SettingsShowCommand())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
