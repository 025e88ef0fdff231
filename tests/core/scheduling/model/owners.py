"""Owners of the model: takeovers, links to minions, polls and leases."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from hickoryreach.scheduling import settings
from hickoryreach.scheduling import state
from hickoryreach.structure import cells
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import takeover_history
from tests.core.scheduling.model import limits
from tests.core.scheduling.model import workers

STEP_MS = 50
LEASE_MS = 4_000
DRAINING_LEASE_MS = 2_000
LEASE_MARGIN_MS = 200
TAKEOVER_LEASE_MS = 5_500
EARLIER_ADVICE_WAIT_MS = 150
UNREGISTERED_GRACE_MS = 2_500
RETRY_MS = 200
SAVE_INTERVAL_MS = 500


@dataclasses.dataclass(kw_only=True, eq=False)
class Link:
    """Link of an owner to a minion.

    Attributes:
        minion: The minion.
        until_ms: Latest end of the leases that it was given, or -1.
        lapsed: Whether its lease has expired.
        removed: Whether its registration is gone.
        next_poll_ms: When it is polled next.
        last_ends: Number of the last end that was emitted, by incarnation.
        polled: Whether the minion has listed all of its ends.
    """

    minion: workers.Minion
    until_ms: int = -1
    lapsed: bool = False
    removed: bool = False
    next_poll_ms: int = 0
    last_ends: dict[int, int] = dataclasses.field(default_factory=dict)
    polled: bool = False

    def list_news(self, max_listed: int) -> tuple[minions.TaskEnd, ...]:
        """Returns the listed ends that were not emitted yet."""
        last = self.last_ends.get(self.minion.incarnation, 0)
        listed = self.minion.ends[:max_listed]
        return tuple(end for end in listed if end.number > last)

    def owes_ends(self, max_listed: int) -> bool:
        """Returns whether the minion has more ends than it may list."""
        return len(self.minion.ends) >= max_listed


class Owner:
    """One owner.

    Attributes:
        model: The cell.
        cell: Its state.
        links: Links by id of the minion.
        earlier_ids: Minions of earlier owners on which something may run.
        incarnations: Incarnations that it has stored, by id of the minion.
        history: Takeovers that may have hidden crashes.
    """

    def __init__(self, *, model) -> None:
        """Creates an owner that knows nothing."""
        self.model = model
        self.cell = state.CellState(
            settings=settings.Settings(
                urgent_fraction=model.scenario.urgent_fraction
            ),
            epoch=model.epoch,
        )
        self.cell.now_ms = self.cell.wall_ms = model.now_ms
        self.links: dict[str, Link] = {}
        self.earlier_ids: set[str] = set()
        self.incarnations: dict[str, int] = {}
        self.history = takeover_history.TakeoverHistory(
            client=None,
            epoch=model.epoch,
            revision=model.epoch,
            get_incarnations=self.list_lives,
        )

    def recover(self, previous: Owner | None) -> None:
        """Takes the cell over."""
        now_ms = self.model.now_ms
        self.model.configure()
        for minion in list(self.model.minions.values()):
            if minion.registered:
                self.register(minion)
        first_replies = list(self.poll_reachable())
        silent = []
        if previous is not None:
            self.earlier_ids = set(previous.links) | previous.earlier_ids
            silent = self.list_unpolled()
            self.history.inherit(
                records.Takeovers(
                    incarnations=previous.incarnations,
                    hiding_ms=previous.history.hiding_ms,
                    hiding_epochs=previous.history.hiding_epochs,
                )
            )
            self.history.record(silent, now_ms)
            self.cell.earlier_advice_until_ms = now_ms + EARLIER_ADVICE_WAIT_MS
        until_ms = now_ms + TAKEOVER_LEASE_MS
        unconfirmed = bool(silent or self.list_owing_ends())
        self.recover_jobs(unconfirmed=unconfirmed and previous is not None)
        for reply in first_replies:
            self.model.apply(reply)
        self.save_incarnations()
        if not unconfirmed or previous is None:
            self.earlier_ids.clear()
            return
        self.model.apply(
            events.EarlierRunsUnconfirmed(
                until_ms=dict.fromkeys(silent, until_ms)
            )
        )
        self.await_answers(until_ms)

    def register(self, minion: workers.Minion) -> None:
        """Reads a minion's registration."""
        link = self.links.setdefault(minion.name, Link(minion=minion))
        link.removed = False
        remaining_ms = minion.leaves_ms - self.model.now_ms
        self.model.apply(
            events.MinionRegistered(
                minion=cells.Minion(
                    minion_id=minion.name,
                    service=limits.SERVICE,
                    address="127.0.0.1:1",
                    failure_domain="z",
                    capacity=self.model.scenario.minion_capacity,
                    labels=(minion.registered_kind, minion.rack),
                    incarnation=minion.registered_incarnation,
                    draining=minion.draining,
                    remaining_ms=max(0, remaining_ms)
                    if minion.draining
                    else -1,
                )
            )
        )

    def unregister(self, minion: workers.Minion) -> None:
        """Reads that a registration is gone."""
        link = self.links.get(minion.name)
        if link is None:
            return
        self.model.apply(events.MinionUnregistered(minion_id=minion.name))
        link.removed = True
        self.model.later(UNREGISTERED_GRACE_MS, lambda: self.drop(link))

    def drop(self, link: Link) -> None:
        """Closes the link to a removed minion once its lease has expired."""
        name = link.minion.name
        if self.links.get(name) is not link or not link.removed:
            return
        if link.lapsed or link.until_ms < 0:
            del self.links[name]
            self.model.apply(events.LeaseExpired(minion_id=name))
            return
        self.model.later(UNREGISTERED_GRACE_MS, lambda: self.drop(link))

    def recover_jobs(self, *, unconfirmed: bool) -> None:
        """Reads the stored jobs."""
        model = self.model
        for job_id, job in model.jobs.items():
            if job_id in model.finals:
                ended = model.finals[job_id]
                model.apply(events.JobAlreadyEnded(job_id=job_id, ended=ended))
                continue
            model.apply(
                events.JobRecovered(
                    job=job,
                    ends=tuple(model.rows.get(job_id, ())),
                    cancelled=job_id in model.cancelled,
                    unconfirmed=unconfirmed,
                    hiding_epochs=self.history.list_hiding(job.accepted_ms),
                )
            )

    def list_lives(self) -> dict[str, int]:
        """Returns the incarnations of the minions that have answered."""
        return {
            name: link.minion.incarnation
            for name, link in self.links.items()
            if link.until_ms >= 0
        }

    def save_incarnations(self) -> None:
        """Stores the incarnations periodically."""
        self.incarnations = self.list_lives()
        self.model.later(SAVE_INTERVAL_MS, self.save_incarnations)

    def list_unpolled(self) -> list[str]:
        """Returns the minions that have not answered this owner."""
        answered = self.list_lives()
        known = dict.fromkeys([*self.links, *sorted(self.earlier_ids)])
        return [name for name in known if name not in answered]

    def list_owing_ends(self) -> list[str]:
        """Returns the minions that answer and have not listed all ends."""
        return [
            name
            for name, link in self.links.items()
            if link.until_ms >= 0 and not link.polled and not link.lapsed
        ]

    def await_answers(self, until_ms: int) -> None:
        """Ends the doubt once no earlier run can be unconfirmed."""
        is_over = self.model.now_ms >= until_ms or not self.list_unpolled()
        if is_over and not self.list_owing_ends():
            self.earlier_ids.clear()
            self.model.apply(events.EarlierRunsConfirmed())
        else:
            self.model.later(STEP_MS, lambda: self.await_answers(until_ms))

    def poll_all(self) -> None:
        """Polls every minion whose turn it is."""
        for link in list(self.links.values()):
            if not link.minion.is_reachable(self.model.now_ms):
                self.miss(link)
        for reply in self.poll_reachable():
            self.model.apply(reply)

    def poll_reachable(self) -> Iterator[events.MinionPolled]:
        """Yields the replies of the minions that answer."""
        for link in list(self.links.values()):
            if link.minion.is_reachable(self.model.now_ms):
                yield from self.poll(link)

    def miss(self, link: Link) -> None:
        """Finds a minion silent."""
        now_ms = self.model.now_ms
        name = link.minion.name
        if now_ms >= link.next_poll_ms:
            link.next_poll_ms = now_ms + min(
                RETRY_MS, self.model.scenario.poll_ms
            )
            self.model.apply(events.MinionUnreachable(minion_id=name))
        is_over = now_ms > link.until_ms + LEASE_MARGIN_MS
        if link.until_ms >= 0 and is_over and not link.lapsed:
            self.lapse(link)

    def lapse(self, link: Link) -> None:
        """Takes what ran on a minion as ended."""
        link.lapsed = True
        self.model.apply(events.LeaseExpired(minion_id=link.minion.name))

    def poll(self, link: Link) -> Iterator[events.MinionPolled]:
        """Polls a minion and renews its lease, at once if a run has ended.

        Yields its reply; nothing if it is not its turn yet.
        """
        now_ms = self.model.now_ms
        limit = self.model.scenario.max_listed_ends
        news = link.list_news(limit)
        owes_ends = link.owes_ends(limit)
        link.polled = link.polled or not owes_ends
        if now_ms < link.next_poll_ms and not news:
            return
        minion = link.minion
        link.next_poll_ms = now_ms + self.model.scenario.poll_ms
        link.lapsed = False
        lease_ms = DRAINING_LEASE_MS if minion.draining else LEASE_MS
        link.until_ms = max(link.until_ms, now_ms + lease_ms)
        minion.token = max(minion.token, self.model.epoch)
        minion.lease_ms = max(minion.lease_ms, now_ms + lease_ms)
        if news:
            link.last_ends[minion.incarnation] = news[-1].number
        yield events.MinionPolled(
            minion_id=minion.name,
            reply=minions.PollReply(
                incarnation=minion.incarnation,
                clock_ms=now_ms,
                running=tuple(
                    minions.RunningTask(
                        key=run.key,
                        run=run.number,
                        checkpoint="",
                        percent=run.get_percent(now_ms),
                    )
                    for run in minion.runs.values()
                ),
                ends=news,
            ),
            sent_ms=now_ms,
            lists_all_ends=not owes_ends,
        )
