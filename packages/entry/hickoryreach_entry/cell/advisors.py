"""Calls to the advice service, distributed over the entries of the cell."""

import bisect
from collections.abc import Callable
import dataclasses
import itertools
import logging
import math
import time

import gevent

from hickoryreach.platform import minions
from hickoryreach.scheduling import advice_calls
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.wire import frames
from hickoryreach_entry import clock
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import local_advisor
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import moving_load
from hickoryreach_entry.cell import ownership_scope

log = logging.getLogger(__name__)

SLOW_CALL_SHARE = 0.5  # of the entries, which slow calls may always occupy
FAST_HEADROOM = 1.5  # entries kept for fast calls per entry that they occupy
FAST_WINDOW_S = 2.0
FAILURE_MEMORY_S = 5.0
MAX_LOAD_US = 20_000  # load below which an entry accepts another fast call
TIMEOUT_MARGIN_S = 1.0
OVERDUE_S = 5.0  # after which a call goes first, whatever its order
LOCAL_ENTRY = ""  # name of the entry that owns the cell

StepEffect = effects.AskAdvice | effects.ReorderAdvice | effects.RenameAdvice
WaitingCall = tuple[tuple[bool, int, int, float], int, effects.AskAdvice, float]


class AdviceDispatcher:
    """Assigns calls for advice to entries.

    The service handles one call at a time per calling machine, and the
    durations of calls differ by a factor of fifty. Calls wait here, those for
    the most urgent steps first, until an entry is free. Slow calls occupy only
    a share of the entries, so that fast calls never wait behind them.

    Attributes:
        load_us: Expected duration of the calls in progress by name of the
            entry, in whole microseconds: sums of floats would not return to
            exactly zero.
        slow_entries: Names of entries with a slow call in progress.
        failed_at: When the last call of an entry failed, by name of the entry,
            on the monotonic clock in s; without entries whose last call
            succeeded.
        fast_load: Entries that fast calls have occupied of late, on average.
        overdue_steps: Steps whose overdue calls are under way, of the slow
            calls and of the fast ones one each.
        waiting: Calls that wait for an entry, by order and arrival.
    """

    def __init__(
        self,
        *,
        scope: ownership_scope.OwnershipScope,
        local: local_advisor.LocalAdvisor,
        get_channels: Callable[[], dict[str, channel.Channel]],
        get_incarnation: Callable[[str], int],
        emit: Callable[[events.Event], None],
    ) -> None:
        """Creates the dispatcher of one ownership.

        Args:
            scope: The ownership.
            local: Advisor of the owner's own entry.
            get_channels: Returns the channels to the other entries, by name.
            get_incarnation: Returns the incarnation of a minion, or 0.
            emit: Receives an event when a call has ended.
        """
        self.scope = scope
        self.local = local
        self.get_channels = get_channels
        self.get_incarnation = get_incarnation
        self.emit = emit
        self.load_us: dict[str, int] = {}
        self.slow_entries: set[str] = set()
        self.failed_at: dict[str, float] = {}
        self.fast_load = moving_load.MovingLoad(window_s=FAST_WINDOW_S)
        self.overdue_steps: dict[bool, tuple[str, int, int]] = {}
        self.waiting: list[WaitingCall] = []
        self.arrivals = itertools.count()

    def ask(self, effect: effects.AskAdvice) -> None:
        """Queues a call for a step's advice; its result is emitted.

        It takes the place of a call for the same step that still waits.
        """
        arrival, queued_at = next(self.arrivals), time.monotonic()
        call = self.withdraw(effect)
        if call is not None:
            _, arrival, _, queued_at = call
        bisect.insort(self.waiting, (effect.order, arrival, effect, queued_at))
        self.dispatch()

    def reorder(self, effect: effects.ReorderAdvice) -> None:
        """Changes the order of a call if it still waits."""
        call = self.withdraw(effect)
        if call is not None:
            bisect.insort(self.waiting, (effect.order, *call[1:]))

    def rename(self, effect: effects.RenameAdvice) -> None:
        """Changes the minions that a call names if it still waits."""
        call = self.withdraw(effect)
        if call is None:
            return
        order, arrival, asked, queued_at = call
        renamed = dataclasses.replace(
            asked, minion_ids=effect.minion_ids, cost_ms=effect.cost_ms
        )
        bisect.insort(self.waiting, (order, arrival, renamed, queued_at))

    def withdraw(self, effect: StepEffect) -> WaitingCall | None:
        """Removes the waiting call for a step; returns it if there is one."""
        step = get_step(effect)
        for call in self.waiting:
            if get_step(call[2]) == step:
                self.waiting.remove(call)
                return call
        return None

    def dispatch(self) -> None:
        """Starts the waiting calls for which an entry is free.

        An ownership that has ended starts none.
        """
        if self.scope.closed:
            return
        started: set[int] = set()
        blocked: set[bool] = set()
        for call in self.list_in_turn():
            _, arrival, effect, queued_at = call
            slow = is_slow(effect)
            name = None if slow in blocked else self.choose_entry(slow=slow)
            if name is None:
                blocked.add(slow)
                continue
            started.add(arrival)
            self.load_us[name] = self.load_us.get(name, 0) + get_cost_us(effect)
            if slow:
                self.slow_entries.add(name)
            else:
                self.fast_load.add(effect.cost_ms / 1_000)
            if is_overdue(call):
                self.overdue_steps.setdefault(slow, get_step(effect))
            # A call of this entry may end after the ownership: the next owner
            # can use its answer, and the service takes one call at a time.
            spawn = gevent.spawn if name == LOCAL_ENTRY else self.scope.spawn
            spawn(self._make_call, name, effect, queued_at)
        self.waiting = [call for call in self.waiting if call[1] not in started]

    def list_in_turn(self) -> list[WaitingCall]:
        """Returns the waiting calls in the order in which they are to start.

        Of the slow and of the fast ones each, the one that has waited longest
        comes first if it is overdue and no such call is under way. Else a call
        could wait for as long as others come that are more urgent.
        """
        first: dict[bool, WaitingCall] = {}
        for call in sorted(self.waiting, key=lambda call: call[3]):
            slow = is_slow(call[2])
            if slow not in self.overdue_steps and is_overdue(call):
                first.setdefault(slow, call)
        overdue = list(first.values())
        return overdue + [call for call in self.waiting if call not in overdue]

    def choose_entry(self, *, slow: bool) -> str | None:
        """Returns the entry to make a call, or None if none is free.

        Prefers entries whose last call succeeded, then those that failed the
        longest ago; among them the least loaded one, and for slow calls
        another than the owner's.
        """
        names = [LOCAL_ENTRY, *self.get_channels()]
        if slow:
            max_slow = self.get_slow_limit(self.count_working(names))
            free = [each for each in names if not self.load_us.get(each)]
            if len(self.slow_entries & set(names)) >= max_slow or not free:
                return None
            return min(
                free,
                key=lambda name: (
                    self.failed_at.get(name, 0.0),
                    name == LOCAL_ENTRY,
                ),
            )
        free = [
            name
            for name in names
            if self.load_us.get(name, 0) < MAX_LOAD_US
            and (name not in self.slow_entries or len(names) == 1)
        ]
        if not free:
            return None
        return min(
            free,
            key=lambda name: (
                self.failed_at.get(name, 0.0),
                self.load_us.get(name, 0),
            ),
        )

    def count_working(self, names: list[str]) -> int:
        """Returns how many entries have not failed lately, or all if none."""
        horizon = time.monotonic() - FAILURE_MEMORY_S
        working = [
            name for name in names if self.failed_at.get(name, 0.0) < horizon
        ]
        return len(working or names)

    def get_slow_limit(self, count: int) -> int:
        """Returns how many of `count` entries slow calls may occupy."""
        kept = max(1, math.ceil(FAST_HEADROOM * self.fast_load.read()))
        return max(1, int(count * SLOW_CALL_SHARE), count - kept)

    def _make_call(
        self, name: str, effect: effects.AskAdvice, queued_at: float
    ) -> None:
        """Makes a call; emits that it has ended, however it ends."""
        ended = build_failed_end(effect)
        try:
            ended = self._fetch(name, effect, queued_at)
        except Exception:  # the step would wait for this call for ever
            log.exception(
                "advice_call_broken",
                extra={"step": format_step(effect), "by": name or "owner"},
            )
        finally:
            self.load_us[name] -= get_cost_us(effect)
            slow = is_slow(effect)
            if slow:
                self.slow_entries.discard(name)
            if self.overdue_steps.get(slow) == get_step(effect):
                del self.overdue_steps[slow]
            self.failed_at.pop(name, None)
            if ended.tickets is None:
                self.failed_at[name] = time.monotonic()
            self.emit(ended)
        self.dispatch()

    def _fetch(
        self, name: str, effect: effects.AskAdvice, queued_at: float
    ) -> events.AdviceCallEnded:
        """Makes a call and returns its result."""
        started_ms, started_at = clock.now_ms(), time.monotonic()
        report = self.call(name, effect, self.load_us[name] / 1_000_000)
        ended_at = time.monotonic()
        metrics.advice_seconds.observe(ended_at - queued_at)
        failed = report is None or report.failed
        log.info(
            "advice_taken",
            extra={
                "step": format_step(effect),
                "asked": len(effect.minion_ids),
                "allowed": -1 if failed else len(report.tickets),
                "by": name or "owner",
                "waited_ms": int((started_at - queued_at) * 1000),
                "took_ms": int((ended_at - started_at) * 1000),
            },
        )
        if failed:
            return build_failed_end(effect)
        return dataclasses.replace(
            build_failed_end(effect),
            tickets=dict(report.tickets),
            valid_ms=int(report.valid_ms or effect.valid_ms),
            started_ms=started_ms,
        )

    def call(
        self, name: str, effect: effects.AskAdvice, load_s: float
    ) -> frames.AdviceReport | None:
        """Makes one entry call the service.

        Args:
            name: Name of the entry.
            effect: The call.
            load_s: Expected duration of all calls assigned to the entry,
                in s.

        Returns:
            The report, or None if the entry did not answer.
        """
        call = frames.AdviceCall(
            step=format_step(effect),
            minions=list(effect.minion_ids),
            cost_ms=effect.cost_ms,
            valid_ms=effect.valid_ms,
            incarnations={
                minion_id: self.get_incarnation(minion_id)
                for minion_id in effect.minion_ids
            },
        )
        if name == LOCAL_ENTRY:
            return self.local.ask(call)
        peer = self.get_channels().get(name)
        if peer is None:
            return None
        return peer.call(2 * load_s + TIMEOUT_MARGIN_S, advice_call=call)


def is_slow(effect: effects.AskAdvice) -> bool:
    """Returns whether a call is one of those that occupy an entry for long."""
    return effect.cost_ms > advice_calls.SLOW_MS


def is_overdue(call: WaitingCall) -> bool:
    """Returns whether a call has waited for too long."""
    return time.monotonic() - call[3] >= OVERDUE_S


def get_cost_us(effect: effects.AskAdvice) -> int:
    """Returns the expected duration of a call, in microseconds."""
    return int(effect.cost_ms * 1_000)


def get_step(effect: StepEffect) -> tuple[str, int, int]:
    """Returns job, repeat and position of the step that a call is for."""
    return effect.job_id, effect.repeat, effect.position


def format_step(effect: effects.AskAdvice) -> str:
    """Returns the name of the step that a call is for."""
    return minions.format_step(*get_step(effect))


def build_failed_end(effect: effects.AskAdvice) -> events.AdviceCallEnded:
    """Returns the event of a call that has failed."""
    return events.AdviceCallEnded(
        job_id=effect.job_id,
        repeat=effect.repeat,
        position=effect.position,
        asked=effect.minion_ids,
        tickets=None,
    )
