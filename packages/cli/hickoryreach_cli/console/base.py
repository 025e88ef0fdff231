"""Base of the commands: loads settings, prints reports."""

import re
from typing import ClassVar

import cleo.commands.command
from cleo.helpers import option
from cleo.io.outputs import output
from returns import result

from hickoryreach.config import settings
from hickoryreach_cli import client
from hickoryreach_cli import reports
from hickoryreach_cli.config import settings as cli_settings

NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")


class UsageError(Exception):
    """An option has an invalid value."""


class EntryCommand(cleo.commands.command.Command):
    """Base of commands that call an entry."""

    parameters: ClassVar[list] = []

    def __init__(self) -> None:
        """Adds the settings to the command's own options."""
        self.options = [*self.parameters, *build_setting_options()]
        super().__init__()

    def handle(self) -> int:
        """Loads the settings, runs the command and prints its report."""
        flags = settings.select_flags(cli_settings.Settings, self.option)
        loaded = cli_settings.load(flags)
        if isinstance(loaded, result.Failure):
            return self.show(
                reports.Report(
                    exit_code=reports.USAGE_ERROR,
                    errors=tuple(loaded.failure()),
                )
            )
        return self.show(self.run_checked(loaded.unwrap()))

    def run_checked(self, effective: cli_settings.Settings) -> reports.Report:
        """Runs the command, or reports arguments that cannot be sent."""
        try:
            return self.answer(client.Client(settings=effective))
        except (UsageError, UnicodeEncodeError) as error:
            return reports.report_usage(str(error))

    def answer(self, caller: client.Client) -> reports.Report:
        """Returns the report of the command."""
        raise NotImplementedError

    def number(self, name: str) -> int | None:
        """Returns an option as a whole number, or None.

        Raises:
            UsageError: The value is not a whole number of up to 15 digits.
        """
        text = self.option(name)
        if text is None:
            return None
        if not NUMBER_PATTERN.fullmatch(text):
            raise UsageError(f"--{name}: give a whole number, 0 or more")
        return int(text)

    def show(self, report: reports.Report) -> int:
        """Prints a report without markup, and returns its exit code."""
        for line in report.lines:
            self.io.write_line(line, type=output.Type.RAW)
        for line in report.errors:
            self.io.write_error_line(line, type=output.Type.RAW)
        return report.exit_code


def build_setting_options() -> list:
    """Returns an option for each setting."""
    return [
        option(
            settings.name_option(name),
            description=field.description,
            flag=False,
        )
        for name, field in cli_settings.Settings.model_fields.items()
    ]


def value_option(name: str, description: str):
    """Returns an option that requires a value."""
    return option(name, description=description, flag=False)
