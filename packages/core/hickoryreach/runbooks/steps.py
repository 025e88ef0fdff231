"""Translation of legacy commands to work, and of job states to their output."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import re
import string

from returns import result

from hickoryreach.lists import allowances
from hickoryreach.runbooks import fields
from hickoryreach.runbooks import styles
from hickoryreach.structure import jobs

SUBMIT_ACTION = "submit"
REFERENCE_FIELD = "reference"
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_CODES = {
    jobs.JobState.ACCEPTED: EXIT_OK,
    jobs.JobState.RUNNING: EXIT_OK,
    jobs.JobState.SUCCEEDED: EXIT_OK,
    jobs.JobState.FAILED: EXIT_FAILED,
    jobs.JobState.CANCELLED: EXIT_FAILED,
    jobs.JobState.REFUSED: EXIT_NOT_RUN,
    jobs.JobState.UNKNOWN: EXIT_UNKNOWN,
}
STATES_NEVER_OK = (
    jobs.JobState.FAILED,
    jobs.JobState.REFUSED,
    jobs.JobState.UNKNOWN,
)
OUTPUT_NAMES = frozenset(
    {
        "reference",
        "state",
        "ran",
        "job_id",
        "tasks",
        "running",
        "done",
        "failed",
        "command",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Why a command was refused before anything of it ran.

    Attributes:
        reason: Short machine-readable cause.
        detail: What is wrong, and what the caller can do instead.
    """

    reason: str
    detail: str


def find_step(
    document: allowances.Allowances, plan: str, system: str, command: str
) -> result.Result[allowances.Step, Refusal]:
    """Returns the step of a legacy command, if a plan may use it.

    Args:
        document: The list of allowances.
        plan: Name of the caller's plan.
        system: Name of the legacy system.
        command: Name of the command.
    """
    name = f"{system}.{command}"
    allowed = sorted(
        step
        for row in document.allowances
        if row.plan == plan
        for step in row.steps
    )
    if name in allowed and name in document.steps:
        return result.Success(document.steps[name])
    advice = (
        f"Use one of: {', '.join(allowed)}."
        if allowed
        else "Submit the work with `hickoryreach submit`."
    )
    if name in document.steps:
        reason = "step_not_allowed"
        fault = f"Plan {plan} may not use {name}."
    else:
        reason = "unknown_step"
        fault = f"{name} is not mapped."
    return result.Failure(Refusal(reason=reason, detail=f"{fault} {advice}"))


def translate(
    step: allowances.Step, words: Sequence[str]
) -> result.Result[fields.Work, Refusal]:
    """Returns the work that the arguments of a command map to.

    Args:
        step: The step of the command.
        words: The arguments, one word each.
    """
    parsed = styles.styles.find(step.style)(step.arguments, words)
    return parsed.lash(lambda fault: result.Failure(_refuse(step, fault))).bind(
        lambda values: _build_work(step, values)
    )


def _build_work(
    step: allowances.Step, values: Mapping[str, Sequence[str]]
) -> result.Result[fields.Work, Refusal]:
    work = fields.Work(
        tasks=step.tasks,
        need=step.need.to_resources(),
        run_time_ms=step.run_time_ms,
    )
    for name, argument in step.arguments.items():
        given = list(values.get(name, ()))
        if not given and argument.default:
            given = [argument.default]
        fault = _find_argument_fault(argument, given)
        if fault:
            return result.Failure(_refuse(step, f"{name} {fault}"))
        for value in given:
            try:
                work = fields.fields.find(argument.field)(work, value)
            except (ValueError, OverflowError) as error:
                return result.Failure(_refuse(step, f"{name}: {error}"))
    return result.Success(_add_slot(step, work))


def _find_argument_fault(
    argument: allowances.Argument, given: list[str]
) -> str:
    if argument.required and not given:
        return "is missing"
    if len(given) > 1 and not argument.repeated:
        return "stands more than once"
    if argument.pattern and not all(
        re.fullmatch(argument.pattern, value) for value in given
    ):
        return f"must match {argument.pattern}"
    return ""


def _add_slot(step: allowances.Step, work: fields.Work) -> fields.Work:
    if step.kind is not jobs.Kind.REQUEST or work.need.slots:
        return work
    need = dataclasses.replace(work.need, slots=allowances.REQUEST_SLOTS)
    return dataclasses.replace(work, need=need)


def _refuse(step: allowances.Step, fault: str) -> Refusal:
    expected = " ".join(
        name if argument.required else f"[{name}]"
        for name, argument in step.arguments.items()
    )
    return Refusal(
        reason="malformed_step",
        detail=f"{fault}. The command takes: {expected or 'no arguments'}.",
    )


def make_request_id(system: str, reference: str) -> str:
    """Returns the request id of a reference, the same for a repeated call."""
    return f"{system}/{reference}"


def render(step: allowances.Step, values: Mapping[str, object]) -> str:
    """Returns the line that the legacy command would print.

    Args:
        step: The step of the command.
        values: A value for each of OUTPUT_NAMES; `state` is a job state.
    """
    state = jobs.JobState(values["state"])
    shown = {**values, "state": step.words.get(state, str(state))}
    return string.Template(step.output).safe_substitute(shown)


def get_exit_code(step: allowances.Step, state: jobs.JobState) -> int:
    """Returns the exit code of the legacy command for a job state."""
    return step.exit_codes.get(state, EXIT_CODES[state])


def find_faults(step: allowances.Step) -> Iterator[str]:
    """Yields one line for each fault in the declaration of a step."""
    if step.style not in styles.styles.members:
        yield f"there is no argument style {step.style}"
    for name, argument in step.arguments.items():
        if argument.field not in fields.fields.members:
            yield f"{name}: there is no argument field {argument.field}"
        try:
            re.compile(argument.pattern)
        except re.error as error:
            yield f"{name}: the pattern is malformed: {error}"
    if not any(
        argument.field == REFERENCE_FIELD and argument.required
        for argument in step.arguments.values()
    ):
        yield "a required argument must give the reference"
    yield from _find_output_faults(step)
    if step.action == SUBMIT_ACTION:
        yield from _find_work_faults(step)


def _find_output_faults(step: allowances.Step) -> Iterator[str]:
    names = set(string.Template(step.output).get_identifiers())
    for name in sorted(names - OUTPUT_NAMES):
        yield f"output: there is no field ${name}"
    for state in STATES_NEVER_OK:
        if step.exit_codes.get(state) == EXIT_OK:
            yield f"exit_codes: {state} must not end with 0"


def _find_work_faults(step: allowances.Step) -> Iterator[str]:
    if not step.command:
        yield "a submit needs the command that its tasks run"
    if step.kind is jobs.Kind.REQUEST and not step.service:
        yield "a request needs the service that answers it"
    if step.kind is jobs.Kind.REQUEST and step.tasks != 1:
        yield "a request has one task"
    if step.kind is not jobs.Kind.REQUEST and step.service:
        yield "only a request names a service"
