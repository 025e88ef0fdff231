"""What an owner knows of jobs and runs of earlier owners."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.structure import resources
from hickoryreach.structure import steps


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedJob:
    """A job in a final state whose record is gone.

    Attributes:
        workspace: Its workspace.
        step_sizes: Sizes of its steps; none if they are unknown, or if all of
            its tasks are done.
    """

    workspace: str = ""
    step_sizes: tuple[steps.StepSize, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeferredEnd:
    """An end of a run whose job is being looked up in the store.

    Attributes:
        minion_id: Id of the minion that listed it.
        incarnation: Incarnation of the minion.
        end: The end.
    """

    minion_id: str
    incarnation: int
    end: minions.TaskEnd


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class EarlierRuns:
    """Runs of earlier owners that may execute unseen.

    All times are in ms on the owner's clock.

    Attributes:
        until_ms: When they have ended for certain, by id of each minion that
            has not answered this owner yet.
        elsewhere_until_ms: The same for minions whose ids are not known; 0 if
            all are.
        task_sums: What the tasks whose runs may be among them would occupy
            together of their minions, by workspace.
        filler_sums: What they would occupy of the limit beyond that, by
            workspace.
        summed_ms: When that was last calculated, or -1.
    """

    until_ms: dict[str, int]
    elsewhere_until_ms: int
    task_sums: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    filler_sums: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    summed_ms: int = -1
