"""What the model's cells are made of, and what happens to them."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from hickoryreach.platform import minions
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from tests.core.scheduling.model import faults
from tests.core.scheduling.model import limits
from tests.core.scheduling.model import traffic
from tests.core.scheduling.model import workers

MEMORY_MB = 32_768


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """A cell and its troubles.

    Attributes:
        seconds: How long trouble lasts.
        limits_cpu: Limits to draw from, by workspace, in thousandths of a
            core; the first one is in force at first.
        queues: The queues.
        minion_count: Number of minions.
        minion_cpu: Processor capacity of each, in thousandths of a core.
        rack_size: Number of minions of a rack.
        poll_ms: Time between two polls of a minion.
        urgent_fraction: Fraction that only the first rank may occupy.
        lengths_ms: Lengths of runs to draw from; none for their estimates.
        late_share: Share of the starts that are carried out late.
        lost_share: Share of the starts whose answer is lost.
        stall_share: Share of the runs that stand still.
        cancelled_share: Share of the jobs that a wave of cancels meets.
        max_listed_ends: Most ends in one reply to a poll.
        settles: Whether it is judged what waits once trouble has ended.
        dooms: Whether some jobs crash the minions that run them.
        kinds: Kinds of the minions, in turn.
        faults: What happens, with its probability in each step.
        closing: What happens last, before all trouble ends.
    """

    seconds: float
    limits_cpu: dict[str, tuple[int, ...]]
    queues: tuple[cells.Queue, ...]
    minion_count: int
    minion_cpu: int
    rack_size: int
    poll_ms: int = 0
    urgent_fraction: float = 0.0
    lengths_ms: tuple[int, ...] = ()
    late_share: float = 0.05
    lost_share: float = 0.05
    stall_share: float = 0.0
    cancelled_share: float = 0.5
    dooms: bool = False
    kinds: tuple[str, ...] = (workers.DEFAULT_KIND,)
    max_listed_ends: int = minions.MAX_LISTED_ENDS
    settles: bool = False
    faults: tuple[tuple[float, Callable], ...] = ()
    closing: tuple[Callable, ...] = ()

    @property
    def minion_capacity(self) -> resources.Resources:
        """Capacity of each minion."""
        return resources.Resources(
            cpu_millis=self.minion_cpu, memory_mb=MEMORY_MB
        )

    def draw_length_ms(self, draw: random.Random, step: steps.Step) -> int:
        """Returns how long a run of a step takes."""
        if self.lengths_ms:
            return draw.choice(self.lengths_ms)
        return int(step.estimate_ms * draw.uniform(0.7, 1.1))


TAKEOVERS = Scenario(
    seconds=30.0,
    limits_cpu={"hydro": (12_000, 4_000, 20_000), "wind": (16_000, 6_000)},
    queues=(limits.build_queue("checks", 0), limits.build_queue("runs", 1)),
    minion_count=6,
    minion_cpu=8_000,
    rack_size=6,
    lengths_ms=(200, 1_000, 4_000),
    stall_share=0.1,
    faults=(
        (0.5, traffic.submit_plain),
        (0.5, traffic.submit_plain),
        (0.03, faults.cancel_jobs),
        (0.03, faults.change_limit),
        (0.04, faults.cut_minions),
        (0.005, faults.restart_minion),
        (0.015, faults.take_over),
    ),
)

FEW_JOBS = dataclasses.replace(
    TAKEOVERS,
    faults=(
        (0.1, traffic.submit_plain),
        (0.1, traffic.submit_plain),
        *TAKEOVERS.faults[2:],
    ),
)

SHORT_LISTS = dataclasses.replace(
    TAKEOVERS,
    limits_cpu={"hydro": (40_000, 24_000), "wind": (16_000, 6_000)},
    max_listed_ends=3,
    faults=(*TAKEOVERS.faults, (0.02, faults.lose_owner)),
)

ADVICE = Scenario(
    seconds=40.0,
    limits_cpu={
        "hydro": (150_000, 60_000, 100_000),
        "wind": (120_000, 90_000),
    },
    queues=(
        limits.build_queue(
            "checks",
            0,
            cells.AdviceTerms(call_ms=4, minion_ms=0.2, valid_ms=2_500),
        ),
        limits.build_queue(
            "transfers",
            1,
            cells.AdviceTerms(call_ms=60, minion_ms=1, valid_ms=2_500),
        ),
        limits.build_queue(
            "annual",
            2,
            cells.AdviceTerms(call_ms=380, minion_ms=5.4, valid_ms=2_000),
        ),
        limits.build_queue(
            "portal",
            1,
            cells.AdviceTerms(call_ms=200, minion_ms=2, valid_ms=2_000),
        ),
        limits.build_queue("open", 1),
    ),
    minion_count=24,
    minion_cpu=16_000,
    rack_size=6,
    poll_ms=400,
    urgent_fraction=0.04,
    late_share=0.01,
    lost_share=0.01,
    stall_share=0.005,
    cancelled_share=0.2,
    dooms=True,
    settles=True,
    faults=(
        (0.1, traffic.submit_check),
        (0.06, traffic.submit_transfer),
        (0.03, traffic.submit_annual),
        (0.003, traffic.burst),
        (0.01, traffic.submit_lasting),
        (0.003, faults.cancel_jobs),
        (0.005, faults.change_limit),
        (0.008, faults.cut_minions),
        (0.002, faults.restart_minion),
        (0.004, faults.crash_minion),
        (0.005, faults.crash_rack),
        (0.004, faults.drain_minion),
        (0.008, faults.kill_entry),
        (0.004, faults.disturb_advice),
        (0.004, faults.take_over),
    ),
)

GANGS = dataclasses.replace(
    ADVICE,
    faults=(
        (0.03, traffic.submit_check),
        (0.02, traffic.submit_transfer),
        (0.06, traffic.submit_annual),
        (0.006, traffic.burst),
        (0.003, traffic.submit_lasting),
        (0.004, faults.change_limit),
        (0.008, faults.cut_minions),
        (0.002, faults.restart_minion),
        (0.006, faults.crash_minion),
        (0.008, faults.crash_rack),
        (0.002, faults.drain_minion),
        (0.012, faults.kill_entry),
        (0.004, faults.disturb_advice),
        (0.002, faults.take_over),
    ),
    closing=(traffic.burst, faults.crash_rack, faults.take_over),
)

RACKS = dataclasses.replace(
    GANGS,
    minion_count=18,
    faults=(
        (0.05, traffic.submit_check),
        (0.03, traffic.submit_transfer),
        (0.04, traffic.submit_annual),
        (0.004, traffic.burst),
        (0.01, traffic.submit_lasting),
        (0.008, faults.cut_minions),
        (0.002, faults.restart_minion),
        (0.006, faults.crash_minion),
        (0.015, faults.crash_rack),
        (0.01, faults.kill_entry),
        (0.002, faults.take_over),
    ),
    closing=(faults.crash_rack,),
)

KINDS = dataclasses.replace(
    ADVICE,
    minion_count=12,
    kinds=("a", "b", "a", "c"),
    faults=(
        (0.12, traffic.submit_labelled),
        (0.03, traffic.submit_check),
        (0.01, traffic.submit_annual),
        (0.005, traffic.submit_lasting),
        (0.003, faults.cancel_jobs),
        (0.004, faults.cut_minions),
        (0.04, faults.change_kind),
        (0.002, faults.crash_minion),
        (0.004, faults.drain_minion),
        (0.004, faults.kill_entry),
        (0.01, faults.take_over),
    ),
)

BY_NAME = {
    "takeovers": TAKEOVERS,
    "few_jobs": FEW_JOBS,
    "short_lists": SHORT_LISTS,
    "advice": ADVICE,
    "gangs": GANGS,
    "racks": RACKS,
    "kinds": KINDS,
}
