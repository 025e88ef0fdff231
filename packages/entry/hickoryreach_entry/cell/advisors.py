"""Calls for advice, spread over the entries of the cell."""

import bisect
import collections
from collections.abc import Callable
import itertools
import logging
import time

import gevent
from gevent import lock
from returns import result

from hickoryreach.platform import advice
from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.wire import frames
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import metrics

log = logging.getLogger(__name__)

SLOW_MS = 150.0
SLOW_PART = 0.5  # of the machines, for long calls
QUEUED_US = 20_000  # work that a machine may have before it gets a short call
MARGIN_S = 1.0
LOCAL = ""
ANSWERS_LIMIT = 500


class LocalAdvisor:
    """Asks the advice service from this machine, one call at a time.

    Attributes:
        address: `host:port` of the service, or None without one.
        answers: Its latest answers, with the time in s until which each is
            valid.
    """

    def __init__(self, *, address: str | None) -> None:
        """Creates an advisor; opens no connection yet."""
        self.address = address
        self.turn = lock.BoundedSemaphore(1)
        self.clients: dict[float, advice.AdviceClient] = {}
        self.answers: collections.deque[tuple[float, frames.PastAdvice]] = (
            collections.deque(maxlen=ANSWERS_LIMIT)
        )

    def ask(self, call: frames.AdviceCall) -> frames.AdviceReport:
        """Asks which minions may run a step."""
        if self.address is None:
            return frames.AdviceReport(failed=True, tickets={})
        timeout_s = MARGIN_S + round(2 * call.cost_ms / 1000 + 0.5)
        with self.turn:
            client = self.clients.get(timeout_s)
            if client is None:
                client = advice.AdviceClient(
                    address=self.address, timeout_s=timeout_s
                )
                self.clients[timeout_s] = client
            asked = client.fetch_advice(call.step, tuple(call.minions))
        if isinstance(asked, result.Failure):
            log.warning(
                "advice_failed",
                extra={"step": call.step, "reason": asked.failure().reason},
            )
            return frames.AdviceReport(failed=True, tickets={})
        found = asked.unwrap()
        valid_s = (found.valid_ms or call.valid_ms) / 1000
        past = frames.PastAdvice(
            step=call.step, minions=call.minions, tickets=found.tickets
        )
        self.answers.append((time.monotonic() + valid_s, past))
        return frames.AdviceReport(
            tickets=found.tickets, valid_ms=found.valid_ms
        )

    def collect_valid_advice(self) -> frames.AdviceNews:
        """Returns the answers that are still valid."""
        now = time.monotonic()
        recalled = []
        for until, past in self.answers:
            past.left_ms = int((until - now) * 1000)
            if past.left_ms > 0:
                recalled.append(past)
        return frames.AdviceNews(answers=recalled)


class AdviceDispatcher:
    """Chooses who asks for each step's advice, and when.

    The service handles one call at a time for each machine, and calls differ by
    fifty times. Calls wait here, the lower rank first, until a machine is free;
    long ones only use a part of the machines, so that short ones never wait
    behind them.

    Attributes:
        load_us: Work under way, by name of the entry, in whole microseconds so
            that it comes back to nothing.
        slow: Entries with a long call under way.
        waiting: Calls that wait for a machine, by rank and order.
    """

    def __init__(
        self,
        *,
        local: LocalAdvisor,
        get_channels: Callable[[], dict[str, channel.Channel]],
        emit: Callable[[events.Event], None],
    ) -> None:
        """Creates the advisors of one ownership."""
        self.local = local
        self.get_channels = get_channels
        self.emit = emit
        self.load_us: dict[str, int] = {}
        self.slow: set[str] = set()
        self.waiting: list[tuple[int, int, effects.AskAdvice, float]] = []
        self.numbers = itertools.count()

    def ask(self, effect: effects.AskAdvice) -> None:
        """Asks for a step's advice, now or later, and hands on the answer."""
        bisect.insort(
            self.waiting,
            (effect.rank, next(self.numbers), effect, time.monotonic()),
        )
        self.dispatch()

    def dispatch(self) -> None:
        """Makes the calls that wait and for which a machine is free."""
        kept = []
        blocked: set[bool] = set()
        for call in self.waiting:
            effect, asked_at = call[2:]
            slow = effect.cost_ms > SLOW_MS
            name = None if slow in blocked else self.choose(slow=slow)
            if name is None:
                blocked.add(slow)
                kept.append(call)
                continue
            self.load_us[name] = self.load_us.get(name, 0) + get_cost_us(effect)
            if slow:
                self.slow.add(name)
            gevent.spawn(self._ask, name, effect, asked_at)
        self.waiting = kept

    def choose(self, *, slow: bool) -> str | None:
        """Returns the entry that is to make a call, or None if none is free."""
        names = [LOCAL, *self.get_channels()]
        if slow:
            most = max(1, int(len(names) * SLOW_PART))
            free = [each for each in names if not self.load_us.get(each)]
            if len(self.slow & set(names)) >= most or not free:
                return None
            return min(free, key=lambda name: name == LOCAL)
        free = [
            name
            for name in names
            if self.load_us.get(name, 0) < QUEUED_US
            and (name not in self.slow or len(names) == 1)
        ]
        if not free:
            return None
        return min(free, key=lambda name: self.load_us.get(name, 0))

    def _ask(
        self, name: str, effect: effects.AskAdvice, asked_at: float
    ) -> None:
        begun = time.monotonic()
        try:
            report = self.call(name, effect, self.load_us[name] / 1_000_000)
        finally:
            self.load_us[name] -= get_cost_us(effect)
            if effect.cost_ms > SLOW_MS:
                self.slow.discard(name)
        self.dispatch()
        ended = time.monotonic()
        metrics.advice_seconds.observe(ended - asked_at)
        failed = report is None or report.failed
        log.info(
            "advice_taken",
            extra={
                "step": minions.format_step(
                    effect.job_id, effect.repeat, effect.position
                ),
                "asked": len(effect.minion_ids),
                "allowed": -1 if failed else len(report.tickets),
                "by": name or "owner",
                "waited_ms": int((begun - asked_at) * 1000),
                "took_ms": int((ended - begun) * 1000),
            },
        )
        self.emit(
            events.AdviceCallEnded(
                job_id=effect.job_id,
                repeat=effect.repeat,
                position=effect.position,
                asked=effect.minion_ids,
                tickets=None if failed else dict(report.tickets),
                valid_ms=0
                if failed
                else int(report.valid_ms or effect.valid_ms),
            )
        )

    def call(
        self, name: str, effect: effects.AskAdvice, waiting_s: float
    ) -> frames.AdviceReport | None:
        """Has one entry ask; None when it did not answer."""
        call = frames.AdviceCall(
            step=minions.format_step(
                effect.job_id, effect.repeat, effect.position
            ),
            minions=list(effect.minion_ids),
            cost_ms=effect.cost_ms,
            valid_ms=effect.valid_ms,
        )
        if name == LOCAL:
            return self.local.ask(call)
        peer = self.get_channels().get(name)
        if peer is None:
            return None
        return peer.call(2 * waiting_s + MARGIN_S, advice_call=call)


def get_cost_us(effect: effects.AskAdvice) -> int:
    """Returns how long the service will work on a call, in microseconds."""
    return int(effect.cost_ms * 1_000)
