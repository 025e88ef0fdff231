"""Application that holds all commands of the command line."""

import cleo.application
import cleo.commands.help_command
import cleo.commands.list_command
import cleo.exceptions

from hickoryreach.runbooks import steps
from hickoryreach_cli import client
from hickoryreach_cli import reports
from hickoryreach_cli.commands import show_settings
from hickoryreach_cli.console import base
from hickoryreach_cli.console import jobs
from hickoryreach_cli.console import operators
from hickoryreach_cli.console import work

NAME = "hickoryreach"
VERSION = "0.1.0"


class SettingsCommand(base.EntryCommand):
    """Shows the settings."""

    name = "settings"
    description = "Show the effective settings with flag and variable."

    def answer(self, caller: client.Client) -> reports.Report:
        """Shows the settings."""
        return show_settings.show(caller.settings)


class CommandsCommand(cleo.commands.list_command.ListCommand):
    """Lists the commands, since `list` is the command that lists jobs."""

    name = "commands"


COMMANDS = (
    work.SubmitCommand,
    work.RequestCommand,
    work.StepCommand,
    jobs.StatusCommand,
    jobs.WaitCommand,
    jobs.ListCommand,
    jobs.CancelCommand,
    jobs.CancelWaveCommand,
    operators.ListsGetCommand,
    operators.ListsSetCommand,
    operators.ListsCheckCommand,
    operators.ListsDiffCommand,
    operators.KeysMakeCommand,
    operators.KeysGrantCommand,
    operators.KeysWithdrawCommand,
    operators.AuditCommand,
    SettingsCommand,
)


class Application(cleo.application.Application):
    """The command line.

    Attributes:
        error_code: Exit code of wrong usage or an unexpected error, else 0.
    """

    def __init__(self) -> None:
        """Adds every command."""
        super().__init__(NAME, VERSION)
        self.error_code = 0
        self.auto_exits(False)
        self._default_command = CommandsCommand.name
        for command in COMMANDS:
            self.add(command())

    @property
    def default_commands(self) -> list:
        """The commands that cleo adds to every application."""
        return [cleo.commands.help_command.HelpCommand(), CommandsCommand()]

    def run(self, *args, **kwargs) -> int:
        """Runs one command, and returns its exit code."""
        self.error_code = 0
        exit_code = super().run(*args, **kwargs)
        return self.error_code or exit_code

    def render_error(self, error: Exception, io) -> None:
        """Shows an error, and records the exit code for it."""
        super().render_error(error, io)
        wrong_usage = isinstance(error, cleo.exceptions.CleoError)
        self.error_code = (
            reports.USAGE_ERROR if wrong_usage else steps.EXIT_UNKNOWN
        )
