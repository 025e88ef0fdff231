"""The commands of the command line, each over one function."""

from typing import ClassVar
import uuid

import cleo.application
import cleo.commands.command
import cleo.commands.help_command
import cleo.commands.list_command
import cleo.exceptions
from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.outputs import output
from returns import result

from hickoryreach.runbooks import steps
from hickoryreach_cli import client
from hickoryreach_cli import reports
from hickoryreach_cli.commands import audit
from hickoryreach_cli.commands import follow
from hickoryreach_cli.commands import keys
from hickoryreach_cli.commands import lists
from hickoryreach_cli.commands import show_settings
from hickoryreach_cli.commands import step
from hickoryreach_cli.commands import submit
from hickoryreach_cli.config import settings as cli_settings

NAME = "hickoryreach"
VERSION = "0.1.0"
LIST_HELP = "plans or allowances."
QUEUE_HELP = "Open queue that the job was submitted to without a key."


class Request(cleo.commands.command.Command):
    """Base of commands that call an entry."""

    parameters: ClassVar[list] = []

    def __init__(self) -> None:
        """Adds the settings to the command's own options."""
        self.options = [*self.parameters, *build_setting_options()]
        super().__init__()

    def handle(self) -> int:
        """Loads the settings, runs the command and prints its report."""
        flags = {
            name: self.option(name.replace("_", "-"))
            for name in cli_settings.Settings.model_fields
            if self.option(name.replace("_", "-")) is not None
        }
        loaded = cli_settings.load(flags)
        if isinstance(loaded, result.Failure):
            return self.show(
                reports.Report(
                    exit_code=reports.USAGE_ERROR,
                    errors=tuple(loaded.failure()),
                )
            )
        return self.show(self.run_checked(loaded.unwrap()))

    def run_checked(self, settings: cli_settings.Settings) -> reports.Report:
        """Runs the command once its numbers are found to be numbers."""
        try:
            return self.answer(client.Client(settings=settings))
        except ValueError as error:
            return reports.report_usage(str(error))

    def answer(self, caller: client.Client) -> reports.Report:
        """Returns the report of the command."""
        raise NotImplementedError

    def number(self, name: str) -> int | None:
        """Returns an option as a whole number, or None.

        Raises:
            ValueError: It is no whole number.
        """
        text = self.option(name)
        if text is None:
            return None
        if not text.isdecimal():
            raise ValueError(f"--{name}: give a whole number, 0 or more")
        return int(text)

    def show(self, report: reports.Report) -> int:
        """Prints a report as it is, and returns its exit code."""
        for line in report.lines:
            self.io.write_line(line, type=output.Type.RAW)
        for line in report.errors:
            self.io.write_error_line(line, type=output.Type.RAW)
        return report.exit_code


def build_setting_options() -> list:
    """Returns an option for each setting."""
    return [
        option(
            name.replace("_", "-"), description=field.description, flag=False
        )
        for name, field in cli_settings.Settings.model_fields.items()
    ]


def take_value(name: str, description: str):
    """Returns an option that takes a value."""
    return option(name, description=description, flag=False)


COMMON_WORK = [
    take_value(
        "request-id",
        "Idempotency id: a repeat is the same work. Made up if left out.",
    ),
    take_value("queue", "Queue; default if left out."),
    take_value("timeout-ms", "Give up after this long, in ms."),
    take_value("wait-ms", "Wait this long for the end, in ms."),
    option("non-idempotent", description="Run at most once."),
    option("urgent", description="Start within the urgent bound."),
]


class WorkCommand(Request):
    """Base of the two commands that submit work."""

    def build_common(self) -> dict[str, object]:
        """Returns the members that both kinds of submission share."""
        fields = {
            "request_id": self.option("request-id") or str(uuid.uuid4()),
            "queue": self.option("queue"),
            "timeout_ms": self.number("timeout-ms"),
            "command": self.argument("work"),
            "arguments": self.argument("arguments"),
            "idempotent": not self.option("non-idempotent"),
            "urgent": self.option("urgent"),
        }
        return {k: v for k, v in fields.items() if v is not None}

    def send(
        self, caller: client.Client, submission: dict[str, object]
    ) -> reports.Report:
        """Submits, and names the request id that makes a retry the same."""
        self.io.write_error_line(f"request_id: {submission['request_id']}")
        return submit.submit(caller, submission, self.number("wait-ms"))


class SubmitCommand(WorkCommand):
    """Submits a job."""

    name = "submit"
    description = "Submit a batch job, a gang or a service."
    arguments = [
        argument("work", "Command that each task runs."),
        argument(
            "arguments",
            "Its arguments, after `--` where they begin with a dash.",
            optional=True,
            multiple=True,
        ),
    ]
    parameters = [
        *COMMON_WORK,
        take_value("kind", "batch, gang or service; batch if left out."),
        take_value("tasks", "Number of tasks."),
        take_value("cpu-millis", "Need of one task in 1/1000 core."),
        take_value("memory-mb", "Need of one task in MiB."),
        take_value("accelerators", "Need of one task."),
        take_value("run-time-ms", "Usual run time of one task, in ms."),
        take_value("wave", "Name to cancel many jobs by."),
        option("preemptible", description="May be stopped for urgent work."),
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Submits the job."""
        need = {
            "cpu_millis": self.number("cpu-millis"),
            "memory_mb": self.number("memory-mb"),
            "accelerators": self.number("accelerators"),
        }
        fields = {
            "kind": self.option("kind"),
            "tasks": self.number("tasks"),
            "run_time_ms": self.number("run-time-ms"),
            "wave": self.option("wave"),
            "preemptible": self.option("preemptible"),
            "need": {k: v for k, v in need.items() if v is not None},
        }
        given = {k: v for k, v in fields.items() if v is not None}
        return self.send(caller, {**self.build_common(), **given})


class RequestCommand(WorkCommand):
    """Sends a request."""

    name = "request"
    description = "Send a request to a service, and print its answer."
    arguments = [
        argument("service", "Service whose minions answer."),
        argument("work", "Path of the request."),
        argument(
            "arguments",
            "Its arguments, after `--` where they begin with a dash.",
            optional=True,
            multiple=True,
        ),
    ]
    parameters = COMMON_WORK

    def answer(self, caller: client.Client) -> reports.Report:
        """Sends the request."""
        fields = {"kind": "request", "service": self.argument("service")}
        return self.send(caller, {**self.build_common(), **fields})


class StepCommand(Request):
    """Runs a runbook step."""

    name = "step"
    description = "Run a command of an old system, as a runbook names it."
    arguments = [
        argument("system", "The old system."),
        argument(
            "words",
            "The command: one quoted line, or words after `--`.",
            multiple=True,
        ),
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Runs the step."""
        return step.run_step(
            caller, self.argument("system"), self.argument("words")
        )


JOB = argument("job-id", "Id from the submission's answer.")
QUEUE = take_value("queue", QUEUE_HELP)


class StatusCommand(Request):
    """Shows a job."""

    name = "status"
    description = "Show a job's state."
    arguments = [JOB]
    parameters = [QUEUE]

    def answer(self, caller: client.Client) -> reports.Report:
        """Asks for the state."""
        return follow.show(
            caller, self.argument("job-id"), self.option("queue") or ""
        )


class WaitCommand(Request):
    """Waits for a job."""

    name = "wait"
    description = "Wait for a job's end, through any entry."
    arguments = [JOB]
    parameters = [
        QUEUE,
        take_value("for-s", "Wait at most this long, in s; 60 if left out."),
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Waits for the end."""
        for_s = self.number("for-s")
        return follow.wait(
            caller,
            self.argument("job-id"),
            self.option("queue") or "",
            60 if for_s is None else for_s,
        )


class ListCommand(Request):
    """Lists jobs."""

    name = "list"
    description = "List the jobs of the key's workspace."
    parameters = [
        QUEUE,
        take_value("state", "Only jobs in this state."),
        take_value("wave", "Only jobs of this wave."),
        take_value("limit", "Jobs on one page; 100 if left out."),
        take_value("after", "Cursor that the last page ended with."),
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Lists one page."""
        names = ("queue", "state", "wave", "limit", "after")
        return follow.list_jobs(
            caller, {name: self.option(name) for name in names}
        )


class CancelCommand(Request):
    """Cancels a job."""

    name = "cancel"
    description = "Cancel a job."
    arguments = [JOB]
    parameters = [QUEUE, take_value("wait-ms", "Wait for the end, in ms.")]

    def answer(self, caller: client.Client) -> reports.Report:
        """Cancels the job."""
        return follow.cancel(
            caller,
            self.argument("job-id"),
            self.option("queue") or "",
            self.number("wait-ms") or 0,
        )


class CancelWaveCommand(Request):
    """Cancels a wave."""

    name = "cancel-wave"
    description = "Cancel every job of a wave."
    arguments = [argument("wave", "Name given with the submissions.")]

    def answer(self, caller: client.Client) -> reports.Report:
        """Cancels the wave."""
        return follow.cancel_wave(caller, self.argument("wave"))


LIST = argument("list", LIST_HELP)
FILE = argument("file", "JSON file, as `lists get` prints it.")


class ListsGetCommand(Request):
    """Shows a list."""

    name = "lists get"
    description = "Show a list with its revision."
    arguments = [LIST]

    def answer(self, caller: client.Client) -> reports.Report:
        """Reads the list."""
        return lists.get(caller, self.argument("list"))


class ListsSetCommand(Request):
    """Replaces a list."""

    name = "lists set"
    description = "Replace a list, if its revision is still the newest."
    arguments = [LIST, FILE]
    parameters = [
        take_value("revision", "Revision it was made on; the file's if not.")
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Makes the change."""
        return lists.put(
            caller,
            self.argument("list"),
            self.argument("file"),
            self.number("revision"),
        )


class ListsCheckCommand(Request):
    """Checks a list."""

    name = "lists check"
    description = "Show what is wrong with a list; change nothing."
    arguments = [LIST, FILE]

    def answer(self, caller: client.Client) -> reports.Report:
        """Checks the file."""
        return lists.check(caller, self.argument("list"), self.argument("file"))


class ListsDiffCommand(Request):
    """Compares a list."""

    name = "lists diff"
    description = "Show what a list would change; change nothing."
    arguments = [LIST, FILE]

    def answer(self, caller: client.Client) -> reports.Report:
        """Compares the file."""
        return lists.diff(caller, self.argument("list"), self.argument("file"))


class KeysMakeCommand(Request):
    """Makes a key."""

    name = "keys make"
    description = "Make a key and show it with its hash; send nothing."

    def answer(self, caller: client.Client) -> reports.Report:
        """Makes the key."""
        return keys.make()


WORKSPACE = argument("workspace", "Workspace of the key.")
KEY_ID = argument("key-id", "Name of the key.")


class KeysGrantCommand(Request):
    """Grants a key."""

    name = "keys grant"
    description = "Grant a key to a workspace; a new one is shown once."
    arguments = [WORKSPACE, KEY_ID]
    parameters = [take_value("hash", "Hash of a key that exists already.")]

    def answer(self, caller: client.Client) -> reports.Report:
        """Grants the key."""
        return keys.grant(
            caller,
            self.argument("workspace"),
            self.argument("key-id"),
            self.option("hash") or "",
        )


class KeysWithdrawCommand(Request):
    """Withdraws a key."""

    name = "keys withdraw"
    description = "Withdraw a key; it stops working within seconds."
    arguments = [WORKSPACE, KEY_ID]

    def answer(self, caller: client.Client) -> reports.Report:
        """Withdraws the key."""
        return keys.withdraw(
            caller, self.argument("workspace"), self.argument("key-id")
        )


class AuditCommand(Request):
    """Shows the audit trail."""

    name = "audit"
    description = "Show who changed a list, when, what and the revisions."
    arguments = [LIST]
    parameters = [
        take_value("after", "Cursor that the last page ended with."),
        take_value("limit", "Number of changes; 20 if left out."),
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Reads the trail."""
        return audit.audit(
            caller,
            self.argument("list"),
            self.option("after") or "",
            self.number("limit") or 20,
        )


class SettingsCommand(Request):
    """Shows the settings."""

    name = "settings"
    description = "Show the effective settings with flag and variable."

    def answer(self, caller: client.Client) -> reports.Report:
        """Shows the settings."""
        return show_settings.show(caller.settings)


class CommandsCommand(cleo.commands.list_command.ListCommand):
    """Lists the commands; `list` lists jobs here."""

    name = "commands"


COMMANDS = (
    SubmitCommand,
    RequestCommand,
    StepCommand,
    StatusCommand,
    WaitCommand,
    ListCommand,
    CancelCommand,
    CancelWaveCommand,
    ListsGetCommand,
    ListsSetCommand,
    ListsCheckCommand,
    ListsDiffCommand,
    KeysMakeCommand,
    KeysGrantCommand,
    KeysWithdrawCommand,
    AuditCommand,
    SettingsCommand,
)


class Application(cleo.application.Application):
    """The command line.

    Attributes:
        fault_code: Exit code of wrong usage or of a fault of ours, else 0.
    """

    def __init__(self) -> None:
        """Adds every command."""
        super().__init__(NAME, VERSION)
        self.fault_code = 0
        self.auto_exits(False)
        self._default_command = CommandsCommand.name
        for command in COMMANDS:
            self.add(command())

    @property
    def default_commands(self) -> list:
        """The commands that every application has."""
        return [cleo.commands.help_command.HelpCommand(), CommandsCommand()]

    def run(self, *args, **kwargs) -> int:
        """Runs one command, and returns its exit code."""
        self.fault_code = 0
        exit_code = super().run(*args, **kwargs)
        return self.fault_code or exit_code

    def render_error(self, error: Exception, io) -> None:
        """Shows an error, and notes whether the usage was wrong."""
        super().render_error(error, io)
        wrong_usage = isinstance(error, cleo.exceptions.CleoError)
        self.fault_code = (
            reports.USAGE_ERROR if wrong_usage else steps.EXIT_UNKNOWN
        )
