"""Calls for advice, spread over the entries of the cell."""

import collections
from collections.abc import Callable
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
            asked = client.ask(call.step, tuple(call.minions))
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

    def recall(self) -> frames.AdviceNews:
        """Returns the answers that are still valid."""
        now = time.monotonic()
        recalled = []
        for until, past in self.answers:
            past.left_ms = int((until - now) * 1000)
            if past.left_ms > 0:
                recalled.append(past)
        return frames.AdviceNews(answers=recalled)


class Advisors:
    """Chooses who asks for each step's advice.

    The service handles one call at a time for each machine, so that short
    calls must not wait behind long ones: a long call goes to the machine
    with the least long work, a short one to that with the least work.

    Attributes:
        load_ms: Work under way, by name of the entry.
        slow: Long calls under way, by name of the entry.
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
        self.load_ms: dict[str, float] = {}
        self.slow: dict[str, int] = {}

    def ask(self, effect: effects.AskAdvice) -> None:
        """Asks for a step's advice and hands on the answer."""
        gevent.spawn(self._ask, effect)

    def _ask(self, effect: effects.AskAdvice) -> None:
        name = self.choose(effect.cost_ms)
        slow = int(effect.cost_ms > SLOW_MS)
        self.load_ms[name] = self.load_ms.get(name, 0.0) + effect.cost_ms
        self.slow[name] = self.slow.get(name, 0) + slow
        waiting_s = self.load_ms[name] / 1000
        begun = time.monotonic()
        try:
            report = self.call(name, effect, waiting_s)
        finally:
            self.load_ms[name] -= effect.cost_ms
            self.slow[name] -= slow
        took_s = time.monotonic() - begun
        metrics.advice_seconds.observe(took_s)
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
                "took_ms": int(took_s * 1000),
            },
        )
        self.emit(
            events.Advised(
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

    def choose(self, cost_ms: float) -> str:
        """Returns the name of the entry that is to ask."""
        names = [LOCAL, *self.get_channels()]
        if cost_ms > SLOW_MS:
            return min(
                names,
                key=lambda name: (
                    self.slow.get(name, 0),
                    name == LOCAL,
                    self.load_ms.get(name, 0.0),
                ),
            )
        return min(names, key=lambda name: self.load_ms.get(name, 0.0))

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
