"""Policies that the bench compares, by name."""

from collections.abc import Callable
from typing import Protocol

from returns import pipeline

from bench.baselines import fifo
from hickoryreach.decisions import admission
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import reducer
from hickoryreach.decisions import registry
from hickoryreach.decisions import state
from hickoryreach.structure import jobs


class Policy(Protocol):
    """Anything that decides from events."""

    def admit(self, job: jobs.Job) -> bool:
        """Returns whether a job is accepted."""

    def reduce(self, event: events.Event, now_ms: int) -> list[effects.Effect]:
        """Returns the effects of an event."""


policies: registry.Registry[str, Callable[[], Policy]] = registry.Registry(
    title="policies"
)


@policies.register("hickoryreach")
class Hickoryreach:
    """The reducer that owners run.

    Attributes:
        shard: Its state.
    """

    def __init__(self) -> None:
        """Creates an empty shard."""
        self.shard = state.ShardState()

    def admit(self, job: jobs.Job) -> bool:
        """Returns whether the shard accepts a job."""
        return pipeline.is_successful(admission.admit(self.shard, job))

    def reduce(self, event: events.Event, now_ms: int) -> list[effects.Effect]:
        """Returns the effects of an event."""
        return reducer.reduce(self.shard, event, now_ms)


policies.register("fifo_first_fit")(fifo.FifoFirstFit)
