"""Advice service of the model, called as the dispatcher of an owner does.

The dispatcher is the real one. Time, the entries and the service are modelled.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import types
import zlib

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.wire import frames
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import moving_load
from tests.core.scheduling.model import workers

ENTRIES = 6
NETWORK_MS = 20
LATE_ANSWER_MS = 100
FAILED_CALL_MS = 1_000
ALLOWED_OF = 3


@dataclasses.dataclass(kw_only=True, eq=False)
class Entry:
    """An entry that calls the service, one call at a time.

    Attributes:
        down_until_ms: When it answers again, in ms.
        busy_until_ms: When its last call ends, in ms.
        answers: Answers that it has got, with the end of their validity.
    """

    down_until_ms: int = 0
    busy_until_ms: int = 0
    answers: list[tuple[int, frames.PastAdvice]] = dataclasses.field(
        default_factory=list
    )


class Dispatcher(advisors.AdviceDispatcher):
    """Dispatcher of one owner, whose calls end when the service says so.

    Attributes:
        reports: Answers of the calls that end now, by name of the entry.
    """

    def __init__(self, *, service: Service) -> None:
        """Creates the dispatcher of the present owner."""
        super().__init__(
            scope=types.SimpleNamespace(spawn=service.spawn, closed=False),
            local=None,
            get_channels=service.list_channels,
            get_incarnation=service.model.cell.get_incarnation,
            emit=service.model.apply,
        )
        self.reports: dict[str, frames.AdviceReport | None] = {}

    def call(
        self, name: str, effect: effects.AskAdvice, load_s: float
    ) -> frames.AdviceReport | None:
        """Returns the answer that the service has made."""
        return self.reports.pop(name)


class Service:
    """The advice service and the entries that call it.

    Attributes:
        model: The cell.
        entries: Entries by name; the owner's own one has the empty name.
        failure_share: Share of the calls that fail.
        longest_wait_ms: Longest time from a request to its answer.
    """

    def __init__(self, *, model) -> None:
        """Creates a service that nobody has called."""
        self.model = model
        names = [advisors.LOCAL_ENTRY, *(f"e{i}" for i in range(1, ENTRIES))]
        self.entries = {name: Entry() for name in names}
        self.failure_share = 0.0
        self.longest_wait_ms = 0
        self.calls = 0

    def begin_ownership(self) -> None:
        """Creates the dispatcher of a new owner; the calls of others go on.

        The entries report what is still valid of the answers that they got for
        earlier owners.
        """
        with self._drive():
            self.dispatcher = Dispatcher(service=self)
        for entry in self.entries.values():
            for until_ms, past in entry.answers:
                if until_ms > self.model.now_ms + LATE_ANSWER_MS:
                    self.model.later(
                        LATE_ANSWER_MS, self._report(until_ms, past)
                    )
            entry.answers.clear()

    def _report(
        self, until_ms: int, past: frames.PastAdvice
    ) -> Callable[[], None]:
        job_id, repeat, position = past.step.split(".")
        return lambda: self.model.apply(
            events.AdviceCallEnded(
                job_id=job_id,
                repeat=int(repeat),
                position=int(position),
                asked=tuple(past.minions),
                tickets=dict(past.tickets),
                valid_ms=until_ms - self.model.now_ms,
                from_earlier_owner=True,
                earlier_incarnations=past.incarnations,
            )
        )

    def list_channels(self) -> dict[str, Entry]:
        """Returns the other entries that answer the owner."""
        return {
            name: entry
            for name, entry in self.entries.items()
            if name and entry.down_until_ms <= self.model.now_ms
        }

    def ask(self, effect: effects.AskAdvice) -> None:
        """Queues a call."""
        with self._drive():
            self.dispatcher.ask(effect)

    def reorder(self, effect: effects.ReorderAdvice) -> None:
        """Changes the order of a call that waits."""
        with self._drive():
            self.dispatcher.reorder(effect)

    @contextlib.contextmanager
    def _drive(self) -> Iterator[None]:
        """Lets the dispatcher's calls and its clock be those of the model."""
        known = advisors.gevent, advisors.time, moving_load.time
        advisors.gevent = types.SimpleNamespace(spawn=self.spawn)
        advisors.time = moving_load.time = types.SimpleNamespace(
            monotonic=lambda: self.model.now_ms / 1_000
        )
        try:
            yield
        finally:
            advisors.gevent, advisors.time, moving_load.time = known

    def spawn(self, action: Callable, name: str, effect, *words) -> None:
        """Begins a call, which ends once the service has answered."""
        entry = self.entries[name]
        now_ms = self.model.now_ms
        failed = self.model.draw.random() < self.failure_share
        length_ms = FAILED_CALL_MS if failed else int(effect.cost_ms)
        begins_ms = max(now_ms + NETWORK_MS, entry.busy_until_ms)
        entry.busy_until_ms = begins_ms + length_ms
        epoch, dispatcher = self.model.epoch, self.dispatcher
        asked_ms = now_ms - int(now_ms - 1_000 * words[-1])
        incarnations = {
            each: self.model.cell.get_incarnation(each)
            for each in effect.minion_ids
        }
        self.calls += 1

        def end() -> None:
            lost = failed or entry.down_until_ms > now_ms
            report = None if lost else self.answer(effect, entry, incarnations)
            if epoch != self.model.epoch:
                return
            wait_ms = self.model.now_ms - asked_ms
            self.longest_wait_ms = max(self.longest_wait_ms, wait_ms)
            dispatcher.reports[name] = report
            with self._drive():
                action(name, effect, *words)

        self.model.later(entry.busy_until_ms - now_ms, end, owned=False)

    def answer(
        self,
        effect: effects.AskAdvice,
        entry: Entry,
        incarnations: dict[str, int],
    ) -> frames.AdviceReport:
        """Returns the tickets of the minions that may run a step.

        Args:
            effect: The call.
            entry: The entry that makes it.
            incarnations: Those that the owner knew as it began, by minion.
        """
        step = advisors.format_step(effect)
        until_ms = self.model.now_ms + effect.valid_ms
        tickets = {}
        for minion_id in effect.minion_ids:
            minion = self.model.minions.get(minion_id)
            if minion and minion.up and is_allowed(step, minion):
                tickets[minion_id] = f"{step}/{minion.incarnation}/{until_ms}"
        past = frames.PastAdvice(
            step=step,
            minions=list(effect.minion_ids),
            tickets=tickets,
            incarnations=incarnations,
        )
        entry.answers.append((until_ms, past))
        return frames.AdviceReport(tickets=tickets, valid_ms=effect.valid_ms)


def is_allowed(step: str, minion: workers.Minion) -> bool:
    """Returns whether a minion may run a step.

    The policies of some steps go by the kind of a minion, those of others only
    by its id, so that they allow it whatever it has become.
    """
    by_kind = zlib.crc32(step.encode()) % 2
    is_default = minion.kind == workers.DEFAULT_KIND
    kind = minion.kind if by_kind and not is_default else ""
    return zlib.crc32(f"{step}/{minion.name}/{kind}".encode()) % ALLOWED_OF == 0


def is_valid(ticket: str, step: str, incarnation: int, now_ms: int) -> bool:
    """Returns whether a minion accepts a ticket."""
    known, life, until_ms = ticket.split("/") if ticket else ("", "0", "0")
    return known == step and int(life) == incarnation and now_ms < int(until_ms)
