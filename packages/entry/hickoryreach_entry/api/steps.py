"""Resource through which callers run the steps of runbooks."""

import dataclasses
import shlex
from typing import Self

import falcon
import pydantic
from returns import result

from hickoryreach.lists import allowances
from hickoryreach.runbooks import fields
from hickoryreach.runbooks import steps
from hickoryreach.structure import jobs
from hickoryreach_entry import waiters
from hickoryreach_entry.api import access
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import bodies
from hickoryreach_entry.api import job_ids
from hickoryreach_entry.api import notices
from hickoryreach_entry.api import problems
from hickoryreach_entry.api import resources
from hickoryreach_entry.api import submissions

STATUS_BY_REASON = {"step_not_allowed": 403, "unknown_step": 404}


class StepCall(pydantic.BaseModel):
    """Body of a step call, with the command as words or as one line."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    system: str = pydantic.Field(min_length=1, max_length=32)
    argv: tuple[str, ...] = pydantic.Field(default=(), max_length=1_000)
    line: str = pydantic.Field(default="", max_length=10_000)

    @pydantic.model_validator(mode="after")
    def check_form(self) -> Self:
        """Checks that the command is given in exactly one of the two forms."""
        if bool(self.argv) == bool(self.line.strip()):
            raise ValueError("give either argv or line")
        shlex.split(self.line)
        return self

    @property
    def words(self) -> tuple[str, ...]:
        """The command's name and arguments."""
        return self.argv or tuple(shlex.split(self.line))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResolvedStep:
    """A step call with its step and the work that its arguments map to.

    Attributes:
        call: The call.
        caller: Caller that makes it.
        step: The step.
        work: The work.
    """

    call: StepCall
    caller: access.Caller
    step: allowances.Step
    work: fields.Work


class Steps(resources.WorkResource):
    """Runs a step of a runbook."""

    @answers.responder
    def on_post(self, req: falcon.Request) -> answers.Outcome:
        """Runs the command in the body."""
        return (
            bodies.read(req)
            .bind(lambda body: bodies.parse(StepCall, body))
            .bind(
                lambda call: self.access.find_caller(req).bind(
                    lambda caller: self.resolve(call, caller)
                )
            )
            .bind(lambda resolved: self.run(req, resolved))
            .alt(add_exit_code)
        )

    def resolve(
        self, call: StepCall, caller: access.Caller
    ) -> result.Result[ResolvedStep, problems.Problem]:
        """Returns the step and its work, or the reason for a refusal."""
        command, *words = call.words
        step = steps.find_step(
            self.access.lists.allowances, caller.plan, call.system, command
        )
        return step.bind(
            lambda row: steps.translate(row, words).map(
                lambda work: ResolvedStep(
                    call=call, caller=caller, step=row, work=work
                )
            )
        ).alt(build_problem)

    def run(
        self, req: falcon.Request, resolved: ResolvedStep
    ) -> answers.Outcome:
        """Executes a step."""
        wait_s = resolved.step.wait_ms / 1000
        if resolved.step.action == "submit":
            return self.access.find_submitter(req, resolved.step.queue).bind(
                lambda caller: self.submit(resolved, wait_s)
            )
        job_id = job_ids.make(
            resolved.caller.workspace, make_request_id(resolved), self.shards
        )
        operations = {"status": self.front.query, "cancel": self.front.cancel}
        waiter = operations[resolved.step.action](
            job_id, resolved.caller.workspace, wait_s=wait_s
        )
        return answer(resolved, waiter)

    def submit(self, resolved: ResolvedStep, wait_s: float) -> answers.Outcome:
        """Submits the work that a step maps to."""
        try:
            submission = build_submission(resolved)
        except pydantic.ValidationError as error:
            return result.Failure(
                problems.Problem(
                    status=422,
                    reason="malformed_step",
                    detail="Correct what `faults` lists.",
                    extra={"faults": bodies.describe_faults(error)},
                )
            )
        return answer(
            resolved, self.submit_job(submission, resolved.caller, wait_s)
        )


def make_request_id(resolved: ResolvedStep) -> str:
    """Returns the request id of a step's work."""
    return steps.make_request_id(resolved.call.system, resolved.work.reference)


def build_submission(resolved: ResolvedStep) -> submissions.Submission:
    """Returns the submission that a step maps to.

    Raises:
        pydantic.ValidationError: The arguments exceed a limit of submissions.
    """
    step = resolved.step
    work = resolved.work
    return submissions.Submission(
        request_id=make_request_id(resolved),
        queue=step.queue,
        kind=step.kind,
        command=step.command,
        arguments=work.arguments,
        tasks=work.tasks,
        need=allowances.Amount(**dataclasses.asdict(work.need)),
        run_time_ms=work.run_time_ms,
        idempotent=step.idempotent,
        urgent=step.urgent,
        preemptible=step.preemptible,
        wave=work.wave,
        service=step.service,
    )


def answer(resolved: ResolvedStep, waiter: waiters.Waiter) -> answers.Outcome:
    """Returns the legacy command's output and exit code with the job."""
    return notices.build_outcome(waiter).map(
        lambda known: answers.Answer(
            status=known.status, media=describe_result(resolved, known.media)
        )
    )


def describe_result(resolved: ResolvedStep, job: dict) -> dict[str, object]:
    """Returns the JSON form of a step's result."""
    values = {
        "reference": resolved.work.reference,
        "command": resolved.call.words[0],
        "state": job["state"],
        "ran": job["ran"],
        "job_id": job["job_id"],
        "tasks": job["tasks"],
        "running": job["tasks_running"],
        "done": job["tasks_done"],
        "failed": job["tasks_failed"],
    }
    state = jobs.JobState(job["state"])
    return {
        "output": steps.render(resolved.step, values),
        "exit_code": steps.get_exit_code(resolved.step, state),
        "request_id": make_request_id(resolved),
        "job": job,
    }


def build_problem(refusal: steps.Refusal) -> problems.Problem:
    """Returns the problem that a refusal maps to."""
    return problems.Problem(
        status=STATUS_BY_REASON.get(refusal.reason, 422),
        reason=refusal.reason,
        detail=refusal.detail,
    )


def add_exit_code(problem: problems.Problem) -> problems.Problem:
    """Adds the exit code that the legacy command would return."""
    unclear = problem.ran is jobs.ExecutionStatus.UNKNOWN
    code = steps.EXIT_UNKNOWN if unclear else steps.EXIT_NOT_RUN
    return dataclasses.replace(
        problem, extra={**problem.extra, "exit_code": code}
    )
