"""Resource through which callers run steps of their runbooks."""

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
from hickoryreach_entry import front
from hickoryreach_entry.api import access
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import bodies
from hickoryreach_entry.api import job_ids
from hickoryreach_entry.api import notices
from hickoryreach_entry.api import problems
from hickoryreach_entry.api import resources
from hickoryreach_entry.api import submissions

STATUSES = {"step_not_allowed": 403, "unknown_step": 404}


class StepCall(pydantic.BaseModel):
    """Body of a step: the command as words, or as one line."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    system: str = pydantic.Field(min_length=1, max_length=32)
    argv: tuple[str, ...] = pydantic.Field(default=(), max_length=1_000)
    line: str = pydantic.Field(default="", max_length=10_000)

    @pydantic.model_validator(mode="after")
    def check_form(self) -> Self:
        """Checks that the command stands in one of the two forms."""
        if bool(self.argv) == bool(self.line.strip()):
            raise ValueError("give either argv or line")
        shlex.split(self.line)
        return self

    @property
    def words(self) -> tuple[str, ...]:
        """The command's name and arguments."""
        return self.argv or tuple(shlex.split(self.line))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Found:
    """A step and the work that its arguments map to.

    Attributes:
        call: The call.
        caller: Who makes it.
        step: The step.
        work: The work.
    """

    call: StepCall
    caller: access.Caller
    step: allowances.Step
    work: fields.Work


class Steps(resources.WorkResource):
    """Runs a step of a runbook."""

    @answers.answered
    def on_post(self, req: falcon.Request) -> answers.Outcome:
        """Runs the command in the body."""
        return (
            bodies.read(req)
            .bind(lambda body: bodies.parse(StepCall, body))
            .bind(
                lambda call: self.access.find_caller(req).bind(
                    lambda caller: self.find(call, caller)
                )
            )
            .bind(lambda found: self.run(req, found))
            .alt(add_exit_code)
        )

    def find(
        self, call: StepCall, caller: access.Caller
    ) -> result.Result[Found, problems.Problem]:
        """Returns the step and its work, or why it is refused."""
        command, *words = call.words
        step = steps.find_step(
            self.access.lists.allowances, caller.plan, call.system, command
        )
        return step.bind(
            lambda row: steps.translate(row, words).map(
                lambda work: Found(
                    call=call, caller=caller, step=row, work=work
                )
            )
        ).alt(build_problem)

    def run(self, req: falcon.Request, found: Found) -> answers.Outcome:
        """Carries out a step."""
        wait_s = found.step.wait_ms / 1000
        if found.step.action == "submit":
            return self.access.find_submitter(req, found.step.queue).bind(
                lambda caller: self.submit(found, wait_s)
            )
        job_id = job_ids.make(
            found.caller.workspace, make_request_id(found), self.shards
        )
        ask = {"status": self.front.query, "cancel": self.front.cancel}
        waiter = ask[found.step.action](
            job_id, found.caller.workspace, wait_s=wait_s
        )
        return answer(found, waiter)

    def submit(self, found: Found, wait_s: float) -> answers.Outcome:
        """Submits the work that a step maps to."""
        try:
            submission = build_submission(found)
        except pydantic.ValidationError as error:
            return result.Failure(
                problems.Problem(
                    status=422,
                    reason="malformed_step",
                    detail="Correct what `faults` lists.",
                    extra={"faults": bodies.describe_faults(error)},
                )
            )
        return answer(found, self.submit_job(submission, found.caller, wait_s))


def make_request_id(found: Found) -> str:
    """Returns the request id of a step's work."""
    return steps.make_request_id(found.call.system, found.work.reference)


def build_submission(found: Found) -> submissions.Submission:
    """Returns the submission that a step maps to.

    Raises:
        pydantic.ValidationError: The arguments ask for too much.
    """
    step = found.step
    work = found.work
    return submissions.Submission(
        request_id=make_request_id(found),
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


def answer(found: Found, waiter: front.Waiter) -> answers.Outcome:
    """Returns the old command's line and exit code beside the job."""
    return notices.answer_waiter(waiter).map(
        lambda known: answers.Answer(
            status=known.status, media=describe(found, known.media)
        )
    )


def describe(found: Found, job: dict) -> dict[str, object]:
    """Returns the JSON form of a step's answer."""
    values = {
        "reference": found.work.reference,
        "command": found.call.words[0],
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
        "output": steps.render(found.step, values),
        "exit_code": steps.get_exit_code(found.step, state),
        "request_id": make_request_id(found),
        "job": job,
    }


def build_problem(refusal: steps.Refusal) -> problems.Problem:
    """Returns the problem that a refusal maps to."""
    return problems.Problem(
        status=STATUSES.get(refusal.reason, 422),
        reason=refusal.reason,
        detail=refusal.detail,
    )


def add_exit_code(problem: problems.Problem) -> problems.Problem:
    """Adds the exit code with which the old command would end."""
    unclear = problem.ran is jobs.ExecutionStatus.UNKNOWN
    code = steps.EXIT_UNKNOWN if unclear else steps.EXIT_NOT_RUN
    return dataclasses.replace(
        problem, extra={**problem.extra, "exit_code": code}
    )
