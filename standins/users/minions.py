"""Stand-in of a minion: runs tasks under a lease and lists their ends."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
import json
import time

import gevent
from gevent import event as gevent_event

from standins.users import gangs as gang_module

ENDS_AT_ONCE = 500
CHECKPOINT_MS = 500
CRASH_DELAY_S = 0.05
CRASHED = "crashed"
GANG_WAIT_MS = 3_000
LATE = "late"
DEFAULT_KIND = "a"


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a task.

    Attributes:
        task: Name of the task.
        number: Number of the run.
        begun_ms: When it began, on the minion's clock; that of a gang when all
            of its members were present.
        work_ms: How long it works.
        fails: Whether it fails at its end.
        members: Members of its gang; 1 without one.
        stops_ms: When a stop takes effect, or 0.
        done_ms: Work that a checkpoint saved.
    """

    task: str
    number: int
    begun_ms: float
    work_ms: float
    fails: bool = False
    members: int = 1
    stops_ms: float = 0.0
    done_ms: float = 0.0

    @property
    def gang(self) -> tuple[str, int]:
        """Name of the step and number that members of a gang share."""
        return self.task.rsplit(".", 1)[0], self.number


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """What a checker looks at: a start, an end, or an end's being noted.

    `kind` is that of the minion in the life in which it happened.
    """

    what: str
    task: str
    number: int
    minion_id: str
    at_s: float
    how: str = ""
    kind: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """A call that a minion refused, as it knew a higher token."""

    token: int
    minion_id: str
    at_s: float


class Minion:
    """One life of a minion after another.

    What a task does stands in its payload, a JSON text: `work_ms`, `fails`
    (numbers of runs that fail, counted from 1), `members`, and `crashes`: the
    minion crashes soon after each start and is back under the `same` id or a
    `new` one. With `unanswered` it crashes before it has answered the start.

    Attributes:
        minion_id: Its id.
        kind: Its kind, which is one of its labels.
        runs: Present runs by task.
        ends: Ends that were not acknowledged, by number.
        token: Highest fencing token seen.
        lease_ms: End of the lease on its clock; 0 without one.
        lapses: Leases that have lapsed in this life.
        lapses_at: How many had when each end was listed.
        incarnation: Start of its life, in ms since 1970.
        seen: What has begun and ended, for checks.
        fenced: Calls that were refused for their token, for checks.
        starts: Starts by task, on all minions.
        gangs: Gangs on all minions.
        silent: Whether it leaves calls unanswered.
        late_s: Time after which it carries out starts without answering.
        on_crash: Called when it has crashed, with how it is to come back.
        on_rebirth: Called when a new life has begun.
    """

    _lives = itertools.count(1_700_000_000_000)

    def __init__(
        self,
        *,
        minion_id: str,
        cpu: int = 16_000,
        hold_limit_ms: int = 6_000,
        seen: list[Begun] | None = None,
        fenced: list[Fenced] | None = None,
        starts: dict[str, int] | None = None,
        gangs: gang_module.Gangs | None = None,
        draw_clock_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Creates a minion that runs nothing.

        `draw_clock_s` draws where the clock of each life starts.
        """
        self.minion_id = minion_id
        self.kind = DEFAULT_KIND
        self.cpu = cpu
        self.hold_limit_ms = hold_limit_ms
        self.seen = seen if seen is not None else []
        self.fenced = fenced if fenced is not None else []
        self.starts = starts if starts is not None else {}
        self.gangs = gangs if gangs is not None else gang_module.Gangs()
        self.silent = False
        self.late_s = 0.0
        self.on_crash: Callable[[Minion, str], None] | None = None
        self.on_rebirth: Callable[[], None] = lambda: None
        self.draw_clock_s = draw_clock_s
        self.be_reborn()

    def be_reborn(self) -> None:
        """Starts a new life that holds and knows nothing."""
        self.incarnation = next(self._lives)
        self.born_at = time.monotonic() - self.draw_clock_s()
        self.runs: dict[str, Run] = {}
        self.ends: dict[int, list] = {}
        self.highest: dict[str, int] = {}
        self.number = 0
        self.token = 0
        self.lease_ms = 0.0
        self.lapses = 0
        self.lapses_at: dict[int, int] = {}
        self.ended = gevent_event.Event()
        self.on_rebirth()

    def crash(self, life: int, how: str) -> None:
        """Ends a life with all that runs; calls stay unanswered for now."""
        if life != self.incarnation:
            return
        for run in list(self.runs.values()):
            self.end(run, CRASHED)
        self.be_reborn()
        self.silent = True
        self.on_crash(self, how)

    def get_clock(self) -> float:
        """Returns its steady clock in ms."""
        return (time.monotonic() - self.born_at) * 1000

    def advance(self) -> None:
        """Ends what has ended by now."""
        now = self.get_clock()
        if self.lease_ms and now > self.lease_ms:
            self.lapses += 1
            lapsed, self.lease_ms = True, 0.0
        else:
            lapsed = not self.lease_ms
        for run in list(self.runs.values()):
            if self.runs.get(run.task) is not run:
                continue
            if lapsed:
                self.end(run, "lapsed")
            elif run.stops_ms and now >= run.stops_ms:
                self.end(run, "stopped")
            elif run.members > 1 and not self.gangs.is_complete(run):
                if now - run.begun_ms >= GANG_WAIT_MS:
                    self.end(run, "alone")
            elif now - run.begun_ms >= run.work_ms - run.done_ms:
                self.end(run, "failed" if run.fails else "done")

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        del self.runs[run.task]
        self.number += 1
        self.ends[self.number] = [
            self.number,
            run.task,
            run.number,
            how,
            self.get_checkpoint(run),
        ]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.lapses_at[self.number] = self.lapses
        self.note("end", run, how)
        if run.members > 1:
            self.gangs.leave(run, how)
        self.ended.set()
        self.ended = gevent_event.Event()

    def get_checkpoint(self, run: Run) -> str:
        """Returns the newest checkpoint of a run."""
        done_ms = run.done_ms + self.get_clock() - run.begun_ms
        kept = int(done_ms // CHECKPOINT_MS * CHECKPOINT_MS)
        return f"{run.task}:{kept}" if kept else ""

    def note(self, what: str, run: Run, how: str = "") -> None:
        """Keeps what a checker looks at."""
        self.seen.append(
            Begun(
                what=what,
                task=run.task,
                number=run.number,
                minion_id=self.minion_id,
                at_s=time.monotonic(),
                how=how,
                kind=self.kind,
            )
        )

    def answer(
        self, path: str, body: dict, expected: str
    ) -> tuple[int, dict | None] | None:
        """Answers one call; None for a call that gets no answer."""
        if self.silent:
            return None
        if expected and expected != self.minion_id:
            return 421, None
        if path == "/run-start" and self.late_s:
            gevent.spawn_later(
                self.late_s, self.start_late, self.incarnation, body
            )
            return None
        self.advance()
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        if path == "/hold":
            return self.hold(body)
        return 404, None

    def take_token(self, body: dict) -> bool:
        """Returns whether an order's token is not too low."""
        token = body.get("fencingToken", 0)
        if token < self.token:
            self.fenced.append(
                Fenced(
                    token=token,
                    minion_id=self.minion_id,
                    at_s=time.monotonic(),
                )
            )
            return False
        self.token = token
        return True

    def extend(self, deadline_ms: float) -> None:
        """Moves the end of the lease on."""
        limit_ms = self.get_clock() + self.hold_limit_ms
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    def refuse(self, reason: str) -> tuple[int, dict]:
        """Answers an order that is not carried out."""
        return 409, {"clockMs": int(self.get_clock()), "reason": reason}

    def start_late(self, life: int, body: dict) -> None:
        """Carries out a start that this life has held back unanswered."""
        if life == self.incarnation:
            self.start(body, LATE)

    def start(self, body: dict, how: str = "") -> tuple[int, dict] | None:
        """Starts a task; `how` tells whether the order was held back."""
        if not self.take_token(body):
            return self.refuse("fence")
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self.confirm()
        if body["deadlineMs"] < self.get_clock():
            return self.refuse("late")
        self.extend(body["deadlineMs"])
        if number <= self.highest.get(task, 0) or present is not None:
            return self.refuse("old")
        words = json.loads(body["spec"])
        self.starts[task] = self.starts.get(task, 0) + 1
        checkpoint = body.get("lastCheckpoint", "")
        run = Run(
            task=task,
            number=number,
            begun_ms=self.get_clock(),
            work_ms=words.get("work_ms", 100),
            fails=self.starts[task] <= words.get("fails", 0),
            members=words.get("members", 1),
            done_ms=float(checkpoint.rsplit(":", 1)[1]) if checkpoint else 0.0,
        )
        self.runs[task] = run
        self.note("start", run, how)
        if run.members > 1:
            self.gangs.join(self, run)
        if words.get("unanswered"):
            self.crash(self.incarnation, words["crashes"])
            return None
        if "crashes" in words:
            gevent.spawn_later(
                CRASH_DELAY_S, self.crash, self.incarnation, words["crashes"]
            )
        return self.confirm()

    def confirm(self) -> tuple[int, dict]:
        """Answers an order that was carried out."""
        return 200, {"clockMs": int(self.get_clock())}

    def stop(self, body: dict) -> tuple[int, dict]:
        """Stops a run, or bars one that has not arrived."""
        if not self.take_token(body):
            return self.refuse("fence")
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is None or run.number != number:
            self.highest[task] = max(self.highest.get(task, 0), number)
        elif not run.stops_ms:
            run.stops_ms = self.get_clock() + 20
        return self.confirm()

    def forget(self, number: int) -> None:
        """Forgets an end; it counts as taken note of if no lease lapsed."""
        _, task, run, how, _ = self.ends.pop(number)
        if self.lapses_at.pop(number) == self.lapses:
            self.seen.append(
                Begun(
                    what="noted",
                    task=task,
                    number=run,
                    minion_id=self.minion_id,
                    at_s=time.monotonic(),
                    how=how,
                )
            )

    def hold(self, body: dict) -> tuple[int, dict] | None:
        """Renews the lease and lists what runs and what has ended."""
        if not self.take_token(body):
            return self.refuse("fence")
        for number in [each for each in self.ends if each <= body["lastSeen"]]:
            self.forget(number)
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        life = self.incarnation
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < deadline:
            self.ended.wait(min(0.02, max(0.0, deadline - time.monotonic())))
            self.advance()
            if life != self.incarnation:
                return None
        ends = [self.ends[number] for number in sorted(self.ends)]
        return 200, {
            "clockMs": int(self.get_clock()),
            "born": self.incarnation,
            "running": [
                [run.task, run.number, self.get_checkpoint(run), 50, 0]
                for run in self.runs.values()
            ],
            "finished": ends[:ENDS_AT_ONCE],
        }
