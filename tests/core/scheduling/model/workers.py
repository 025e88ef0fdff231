"""Minions of the model: runs, leases, ends and power."""

from __future__ import annotations

import collections
import dataclasses
import itertools

from hickoryreach.platform import minions
from hickoryreach.structure import steps

GANG_WAIT_MS = 3_000
FULL_PERCENT = 100
NEVER_MS = 2**53
DEFAULT_KIND = "a"


@dataclasses.dataclass(kw_only=True, eq=False)
class Run:
    """A run on a minion; all times in ms.

    Attributes:
        key: The task.
        number: Number of the run.
        begun_ms: When it began.
        ends_ms: When its work is done.
        stops_ms: When a stop takes effect, or -1.
        stalls: Whether it makes no progress.
        lasting: Whether it goes on until it is stopped.
    """

    key: steps.TaskKey
    number: int
    begun_ms: int
    ends_ms: int
    stops_ms: int = -1
    stalls: bool = False
    lasting: bool = False

    def get_percent(self, now_ms: int) -> int:
        """Returns its progress."""
        if self.lasting:
            return FULL_PERCENT
        if self.stalls:
            return 0
        length_ms = max(1, self.ends_ms - self.begun_ms)
        return min(99, FULL_PERCENT * (now_ms - self.begun_ms) // length_ms)


@dataclasses.dataclass(kw_only=True, eq=False)
class Minion:
    """A minion.

    Attributes:
        name: Its id.
        rack: Its rack.
        kind: Its kind, which is one of its labels.
        up: Whether it has power.
        registered: Whether the store holds its registration.
        registered_kind: Kind that its registration tells.
        registered_incarnation: Life that its registration is of.
        draining: Whether its registration says that it is about to leave.
        leaves_ms: When a draining minion leaves, in ms.
        reachable_ms: When it answers again, in ms.
        incarnation: Number of its present life.
        token: Highest epoch that it has seen.
        lease_ms: End of its lease, in ms.
        runs: Present runs by task.
        barred: Highest number of a run that was stopped or ended, by task.
        ends: Ends that were not acknowledged.
        lapses: Number of its leases that have lapsed.
        lapses_at: How many had at each end, by its number.
        end_numbers: Numbers of its ends.
        crashes: Number of minions that have crashed under each task, or with
            an end of it that no owner has acknowledged.
    """

    name: str
    rack: str = "r1"
    kind: str = DEFAULT_KIND
    up: bool = True
    registered: bool = True
    registered_kind: str = DEFAULT_KIND
    registered_incarnation: int = 1
    draining: bool = False
    leaves_ms: int = NEVER_MS
    reachable_ms: int = 0
    incarnation: int = 1
    token: int = 0
    lease_ms: int = 0
    runs: dict[steps.TaskKey, Run] = dataclasses.field(default_factory=dict)
    barred: dict[steps.TaskKey, int] = dataclasses.field(default_factory=dict)
    ends: list[minions.TaskEnd] = dataclasses.field(default_factory=list)
    lapses: int = 0
    lapses_at: dict[int, int] = dataclasses.field(default_factory=dict)
    end_numbers: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )
    crashes: collections.Counter[steps.TaskKey] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def labels(self) -> tuple[str, str]:
        """Its labels."""
        return self.kind, self.rack

    def write_registration(self) -> None:
        """Registers its present life."""
        self.registered_kind = self.kind
        self.registered_incarnation = self.incarnation

    def is_reachable(self, now_ms: int) -> bool:
        """Returns whether it answers."""
        return self.up and self.reachable_ms <= now_ms

    def end(self, run: Run, kind: minions.EndKind) -> None:
        """Ends a run and lists its end."""
        del self.runs[run.key]
        self.barred[run.key] = max(self.barred.get(run.key, 0), run.number)
        self.ends.append(
            minions.TaskEnd(
                number=next(self.end_numbers),
                key=run.key,
                run=run.number,
                kind=kind,
                checkpoint="",
            )
        )
        self.lapses_at[self.ends[-1].number] = self.lapses

    def counts(self, end: minions.TaskEnd) -> bool:
        """Returns whether no lease has lapsed since an end."""
        return self.lapses_at.get(end.number) == self.lapses

    def advance(self, now_ms: int) -> None:
        """Ends what has ended by now."""
        if 0 < self.lease_ms < now_ms:
            self.lapses += 1
            self.lease_ms = 0
        for run in list(self.runs.values()):
            if now_ms > self.lease_ms:
                self.end(run, minions.EndKind.LEASE_EXPIRED)
            elif 0 <= run.stops_ms <= now_ms:
                self.end(run, minions.EndKind.STOPPED)
            elif run.ends_ms <= now_ms and not run.stalls:
                self.end(run, minions.EndKind.DONE)

    def note_crashes(self) -> None:
        """Counts a crash under each task that an owner takes to be here."""
        unseen = {end.key for end in self.ends}
        self.crashes.update(unseen.union(self.runs))

    def lose_power(self) -> None:
        """Ends its life without a word."""
        self.up = False
        self.note_crashes()
        self.runs.clear()
        self.ends.clear()
        self.lapses_at.clear()

    def restart(self) -> None:
        """Begins a new life that holds and knows nothing."""
        self.up = True
        self.incarnation += 1
        self.token = 0
        self.lease_ms = 0
        self.note_crashes()
        self.runs.clear()
        self.barred.clear()
        self.ends.clear()
        self.lapses_at.clear()
        self.end_numbers = itertools.count(1)

    def begin(
        self, run: Run, epoch: int, valid_until_ms: int, now_ms: int
    ) -> minions.OrderFailure | None:
        """Begins a run, or returns why the order is refused."""
        if epoch < self.token:
            return refuse(minions.Refusal.FENCED)
        if now_ms > valid_until_ms:
            return refuse(minions.Refusal.DEADLINE_PASSED)
        self.token = epoch
        self.lease_ms = max(self.lease_ms, valid_until_ms)
        if run.key in self.runs or run.number <= self.barred.get(run.key, 0):
            return refuse(minions.Refusal.STALE_RUN)
        self.runs[run.key] = run
        return None

    def stop(self, key: steps.TaskKey, number: int, at_ms: int) -> None:
        """Stops a run at a time, or bars one that has not begun."""
        run = self.runs.get(key)
        if run is None or run.number != number:
            self.barred[key] = max(self.barred.get(key, 0), number)
        elif run.stops_ms < 0:
            run.stops_ms = at_ms


def refuse(refusal: minions.Refusal) -> minions.OrderFailure:
    """Returns the answer to an order that is not carried out."""
    return minions.OrderFailure(reason=str(refusal), refusal=refusal)
