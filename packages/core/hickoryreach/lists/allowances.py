"""Models of the list of allowances: plan limits, queues and steps."""

from typing import Annotated

import pydantic

from hickoryreach.lists import plans
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

STEP_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,31}\.[A-Za-z0-9][A-Za-z0-9_-]{0,31}$"
ARGUMENT_NAME_PATTERN = r"^-{0,2}[A-Za-z0-9][A-Za-z0-9_.-]{0,31}$"
SHARE_MAX = 1_000_000.0
EXIT_CODE_MAX = 255
TASKS_MAX = 100_000
DURATION_MAX_MS = 2**40
STEP_WAIT_MAX_MS = 60_000
AMOUNT_MAX = 2**40
COUNT_MAX = 2**30
REQUEST_SLOTS = 1

StepName = Annotated[str, pydantic.Field(pattern=STEP_NAME_PATTERN)]
ArgumentName = Annotated[str, pydantic.Field(pattern=ARGUMENT_NAME_PATTERN)]
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
        """Returns the amount as resources of the scheduler."""
        return resources.Resources(**self.model_dump())


class Argument(plans.Model):
    """One argument of a legacy command.

    Attributes:
        field: Field that it sets, a name registered in `runbooks.fields`.
        pattern: Regular expression that the whole value must match.
        required: Whether the command is refused without it.
        default: Value used if it is omitted; empty for none.
        repeated: Whether it may be given more than once.
    """

    field: str
    pattern: str = pydantic.Field(default="", max_length=200)
    required: bool = False
    default: str = ""
    repeated: bool = False


class Step(plans.Model):
    """What one command of a legacy system maps to.

    Attributes:
        action: submit, status or cancel.
        style: Argument syntax of the command, a name registered in
            `runbooks.styles`.
        arguments: Its arguments by name, in order of position.
        kind: Kind of the submitted work.
        command: Command of the tasks, or path of the request.
        queue: Queue that the work is submitted to.
        service: Minion service of a request.
        idempotent: Whether it may be run again after an unknown outcome.
        urgent: Whether it must start within the limit for urgent work.
        preemptible: Whether it may be stopped for urgent work.
        tasks: Number of tasks if no argument sets it.
        need: Resources for one task if no argument sets them.
        run_time_ms: Usual run time of one task, in ms.
        wait_ms: How long the step waits for the job to end, in ms.
        output: Line that the legacy command printed. `$name` is replaced by
            a value, for the names in `runbooks.steps.OUTPUT_NAMES`.
        words: Name of each state in the legacy system.
        exit_codes: Exit code of the legacy command for each state.
    """

    action: str = pydantic.Field(pattern="^(submit|status|cancel)$")
    style: str = "options"
    arguments: dict[ArgumentName, Argument] = {}
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
        open: Whether it accepts work without an API key.
        workspace: Workspace that work without a key is accounted to.
    """

    name: plans.Name
    open: bool = False
    workspace: str = ""


class Allowance(plans.Model):
    """What the workspaces of one plan may use.

    Attributes:
        plan: Name of the plan.
        share: Weight of a workspace when the cell is full.
        limit: Most resources that a workspace may use at a time; None for no
            limit.
        queues: Queues that it may submit to.
        steps: Steps that it may use, as `system.command`.
    """

    plan: plans.Name
    share: float = pydantic.Field(
        default=1.0, gt=0, le=SHARE_MAX, allow_inf_nan=False
    )
    limit: Amount | None = None
    queues: tuple[plans.Name, ...] = ("default",)
    steps: tuple[StepName, ...] = ()


class Allowances(plans.Model):
    """The list of allowances.

    Attributes:
        allowances: One entry for each plan.
        queues: All queues.
        steps: What each legacy command maps to, by `system.command`.
    """

    allowances: tuple[Allowance, ...] = ()
    queues: tuple[Queue, ...] = (Queue(name="default"),)
    steps: dict[StepName, Step] = {}
