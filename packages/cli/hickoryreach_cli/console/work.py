"""Commands that submit work."""

import uuid

from cleo.helpers import argument
from cleo.helpers import option

from hickoryreach_cli import client
from hickoryreach_cli import reports
from hickoryreach_cli.commands import step
from hickoryreach_cli.commands import submit
from hickoryreach_cli.console import base

COMMON_OPTIONS = [
    base.value_option(
        "request-id",
        "Idempotency id: a repeat is the same work. Made up if left out.",
    ),
    base.value_option("queue", "Queue; default if left out."),
    base.value_option("timeout-ms", "Give up after this long, in ms."),
    base.value_option("wait-ms", "Wait this long for the end, in ms."),
    option("non-idempotent", description="Run at most once."),
    option("urgent", description="Start within the urgent bound."),
]


class WorkCommand(base.EntryCommand):
    """Base of the two commands that submit work."""

    def build_common_fields(self) -> dict[str, object]:
        """Returns the members that all submissions share."""
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
        """Submits work, and prints the request id to use for a retry."""
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
        *COMMON_OPTIONS,
        base.value_option("kind", "batch, gang or service; batch if left out."),
        base.value_option("tasks", "Number of tasks."),
        base.value_option("cpu-millis", "Need of one task in 1/1000 core."),
        base.value_option("memory-mb", "Need of one task in MiB."),
        base.value_option("accelerators", "Need of one task."),
        base.value_option("run-time-ms", "Usual run time of one task, in ms."),
        base.value_option("wave", "Name to cancel many jobs by."),
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
        return self.send(caller, {**self.build_common_fields(), **given})


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
    parameters = COMMON_OPTIONS

    def answer(self, caller: client.Client) -> reports.Report:
        """Sends the request."""
        fields = {"kind": "request", "service": self.argument("service")}
        return self.send(caller, {**self.build_common_fields(), **fields})


class StepCommand(base.EntryCommand):
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
