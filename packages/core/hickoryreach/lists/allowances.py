"""The list of what each plan may use."""

import pydantic

from hickoryreach.lists import plans
from hickoryreach.structure import jobs
from hickoryreach.structure import resources


class Amount(plans.Model):
    """An amount of each resource.

    Attributes:
        cpu_millis: Processor time in thousandths of a core.
        memory_mb: Memory in MiB.
        accelerators: Whole accelerators.
        slots: Concurrent requests.
    """

    cpu_millis: int = pydantic.Field(default=0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)
    accelerators: int = pydantic.Field(default=0, ge=0)
    slots: int = pydantic.Field(default=0, ge=0)

    def to_resources(self) -> resources.Resources:
        """Returns the amount as used inside."""
        return resources.Resources(**self.model_dump())


class Step(plans.Model):
    """What one command of an old system stands for.

    Attributes:
        action: submit, status or cancel.
        kind: Kind of work of a submit.
        queue: Queue of a submit.
        service: Minion service of a request.
        idempotent: Whether it may be run again after an unclear end.
        urgent: Whether it must start within the urgent bound.
        preemptible: Whether it may be stopped for urgent work.
        need: Need of one task.
        run_time_ms: Usual run time of one task, in ms.
    """

    action: str = pydantic.Field(pattern="^(submit|status|cancel)$")
    kind: jobs.Kind = jobs.Kind.BATCH
    queue: plans.Name = "default"
    service: str = ""
    idempotent: bool = True
    urgent: bool = False
    preemptible: bool = False
    need: Amount = Amount()
    run_time_ms: int = pydantic.Field(default=0, ge=0)


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
    share: float = pydantic.Field(default=1.0, gt=0)
    limit: Amount | None = None
    queues: tuple[plans.Name, ...] = ("default",)
    steps: tuple[str, ...] = ()


class Allowances(plans.Model):
    """The whole list.

    Attributes:
        allowances: One entry for each plan.
        queues: Every queue.
        steps: What each old command stands for, as `system.command`.
    """

    allowances: tuple[Allowance, ...] = ()
    queues: tuple[Queue, ...] = (Queue(name="default"),)
    steps: dict[str, Step] = {}
