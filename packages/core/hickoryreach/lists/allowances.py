"""The list of what each plan may use."""

from typing import Annotated

import pydantic

from hickoryreach.lists import plans
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

STEP_PATTERN = r"^[a-z0-9][a-z0-9-]{0,31}\.[A-Za-z0-9][A-Za-z0-9_-]{0,31}$"
WORD_PATTERN = r"^-{0,2}[A-Za-z0-9][A-Za-z0-9_.-]{0,31}$"
SHARE_MAX = 1_000_000.0
EXIT_CODE_MAX = 255
TASKS_MAX = 100_000
DURATION_MAX_MS = 2**40
STEP_WAIT_MAX_MS = 60_000
AMOUNT_MAX = 2**40
COUNT_MAX = 2**30
REQUEST_SLOTS = 1

StepName = Annotated[str, pydantic.Field(pattern=STEP_PATTERN)]
Word = Annotated[str, pydantic.Field(pattern=WORD_PATTERN)]
ExitCode = Annotated[int, pydantic.Field(ge=0, le=EXIT_CODE_MAX)]


class Amount(plans.Model):
    """An amount of each resource.

    Attributes:
        cpu_millis: Processor time in thousandths of a core.
        memory_mb: Memory in MiB.
        accelerators: Whole accelerators.
        slots: Concurrent requests.
    """

    cpu_millis: int = pydantic.Field(default=0, ge=0, le=AMOUNT_MAX)
    memory_mb: int = pydantic.Field(default=0, ge=0, le=AMOUNT_MAX)
    accelerators: int = pydantic.Field(default=0, ge=0, le=COUNT_MAX)
    slots: int = pydantic.Field(default=0, ge=0, le=COUNT_MAX)

    def to_resources(self) -> resources.Resources:
        """Returns the amount as used inside."""
        return resources.Resources(**self.model_dump())


class Argument(plans.Model):
    """One argument of an old command.

    Attributes:
        field: What it sets: a name in `runbooks.fields`.
        pattern: Regular expression that the whole value must match.
        required: Whether the command is refused without it.
        default: Value taken when it is left out.
        repeated: Whether it may stand more than once.
    """

    field: str
    pattern: str = pydantic.Field(default="", max_length=200)
    required: bool = False
    default: str = ""
    repeated: bool = False


class Step(plans.Model):
    """What one command of an old system maps to.

    Attributes:
        action: submit, status or cancel.
        style: How the command writes its arguments: a name in
            `runbooks.styles`.
        arguments: Its arguments by name, in order of position.
        kind: Kind of work of a submit.
        command: Command of the tasks, or the request's path.
        queue: Queue of a submit.
        service: Minion service of a request.
        idempotent: Whether it may be run again after an unclear end.
        urgent: Whether it must start within the urgent bound.
        preemptible: Whether it may be stopped for urgent work.
        tasks: Number of tasks where no argument gives it.
        need: Need of one task where no argument gives it.
        run_time_ms: Usual run time of one task, in ms.
        wait_ms: How long the step waits for the end, in ms.
        output: Line the old command printed; `$name` is replaced by a field.
        words: The old system's word for each state.
        exit_codes: The old command's exit code for each state.
    """

    action: str = pydantic.Field(pattern="^(submit|status|cancel)$")
    style: str = "options"
    arguments: dict[Word, Argument] = {}
    kind: jobs.Kind = jobs.Kind.BATCH
    command: str = ""
    queue: plans.Name = "default"
    service: str = ""
    idempotent: bool = True
    urgent: bool = False
    preemptible: bool = False
    tasks: int = pydantic.Field(default=1, ge=1, le=TASKS_MAX)
    need: Amount = Amount()
    run_time_ms: int = pydantic.Field(default=0, ge=0, le=DURATION_MAX_MS)
    wait_ms: int = pydantic.Field(default=0, ge=0, le=STEP_WAIT_MAX_MS)
    output: str = "$reference $state"
    words: dict[jobs.JobState, str] = {}
    exit_codes: dict[jobs.JobState, ExitCode] = {}


class Queue(plans.Model):
    """A queue.

    Attributes:
        name: Its name.
        open: Whether it takes work without a key.
        workspace: Workspace that keyless work is counted for.
    """

    name: plans.Name
    open: bool = False
    workspace: str = ""


class Allowance(plans.Model):
    """What one plan may use.

    Attributes:
        plan: The plan.
        share: Weight when the cell is full.
        limit: Most a workspace may have running; None for no limit.
        queues: Queues it may submit to.
        steps: Commands it may use, as `system.command`.
    """

    plan: plans.Name
    share: float = pydantic.Field(
        default=1.0, gt=0, le=SHARE_MAX, allow_inf_nan=False
    )
    limit: Amount | None = None
    queues: tuple[plans.Name, ...] = ("default",)
    steps: tuple[StepName, ...] = ()


class Allowances(plans.Model):
    """The whole list.

    Attributes:
        allowances: One entry for each plan.
        queues: Every queue.
        steps: What each old command maps to, as `system.command`.
    """

    allowances: tuple[Allowance, ...] = ()
    queues: tuple[Queue, ...] = (Queue(name="default"),)
    steps: dict[StepName, Step] = {}
