"""Commands that show, wait for, list and cancel jobs."""

from cleo.helpers import argument

from hickoryreach_cli import client
from hickoryreach_cli import reports
from hickoryreach_cli.commands import follow
from hickoryreach_cli.console import base

QUEUE_HELP = "Open queue that the job was submitted to without a key."
JOB = argument("job-id", "Id from the submission's answer.")
QUEUE = base.value_option("queue", QUEUE_HELP)


class StatusCommand(base.EntryCommand):
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


class WaitCommand(base.EntryCommand):
    """Waits for a job."""

    name = "wait"
    description = "Wait for a job's end, through any entry."
    arguments = [JOB]
    parameters = [
        QUEUE,
        base.value_option(
            "for-s", "Wait at most this long, in s; 60 if left out."
        ),
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


class ListCommand(base.EntryCommand):
    """Lists jobs."""

    name = "list"
    description = "List the jobs of the key's workspace."
    parameters = [
        base.value_option("state", "Only jobs in this state."),
        base.value_option("wave", "Only jobs of this wave."),
        base.value_option("limit", "Jobs on one page; 100 if left out."),
        base.value_option("after", "Cursor that the last page ended with."),
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Lists one page."""
        names = ("state", "wave", "limit", "after")
        return follow.list_jobs(
            caller, {name: self.option(name) for name in names}
        )


class CancelCommand(base.EntryCommand):
    """Cancels a job."""

    name = "cancel"
    description = "Cancel a job."
    arguments = [JOB]
    parameters = [
        QUEUE,
        base.value_option("wait-ms", "Wait for the end, in ms."),
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Cancels the job."""
        return follow.cancel(
            caller,
            self.argument("job-id"),
            self.option("queue") or "",
            self.number("wait-ms") or 0,
        )


class CancelWaveCommand(base.EntryCommand):
    """Cancels a wave."""

    name = "cancel-wave"
    description = "Cancel every job of a wave."
    arguments = [argument("wave", "Name given with the submissions.")]

    def answer(self, caller: client.Client) -> reports.Report:
        """Cancels the wave."""
        return follow.cancel_wave(caller, self.argument("wave"))
