"""Faults that the soak brings about; each undoes itself."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
import signal
import time

import gevent

from standins import proxy
from standins.users import cell
from standins.users import platform

Fault = Callable[["Trouble"], None]

LIMITS_CPU = (4_000, 8_000, 24_000)
KINDS = ("a", "b")
HEARTBEAT_S = 1.5
SLOW_ANSWER_S = 0.2
TAKEOVER_LIMIT_S = 4.0
POLL_S = 0.01

faults: dict[str, Fault] = {}


def register(fault: Fault) -> Fault:
    """Adds a fault under its function's name."""
    faults[fault.__name__] = fault
    return fault


class Trouble:
    """What a fault may touch.

    Attributes:
        cell: The cell.
        network: The proxy between the entries and all else.
        generator: Draws what is struck and for how long.
        struck: Names of entries that a fault has in hand.
        found: What is wrong, as far as the faults themselves have seen it.
    """

    def __init__(
        self,
        *,
        whole: cell.Cell,
        network: proxy.Network,
        generator: random.Random,
        struck: set[str],
    ) -> None:
        """Creates trouble for one cell."""
        self.cell = whole
        self.network = network
        self.generator = generator
        self.struck = struck
        self.found: list[str] = []

    def pick_entry(self) -> cell.Entry:
        """Returns the owner half of the time, else any entry."""
        owner = self.cell.find_owner()
        if owner is not None and self.generator.random() < 0.5:
            return owner
        return self.generator.choice(self.cell.entries)

    @contextlib.contextmanager
    def take(self, *entries: cell.Entry) -> Iterator[list[cell.Entry]]:
        """Gives the entries that no other fault has in hand."""
        free = [each for each in entries if each.name not in self.struck]
        names = {each.name for each in free}
        self.struck |= names
        try:
            yield free
        finally:
            self.struck -= names

    def pick_minion(self) -> str:
        """Returns a minion that has not left."""
        return self.generator.choice(
            sorted(set(self.cell.users.minions) - self.cell.users.gone)
        )

    def wait(self, least_s: float, most_s: float) -> None:
        """Waits for a drawn time."""
        gevent.sleep(self.generator.uniform(least_s, most_s))

    def apply_rule(self, rule: proxy.Rule, least_s: float, most_s: float):
        """Puts a rule of the proxy in force for a drawn time."""
        self.network.set_rules([*self.network.rules, rule])
        self.wait(least_s, most_s)
        self.network.set_rules(
            [each for each in self.network.rules if each is not rule]
        )


@register
def kill_entry(trouble: Trouble) -> None:
    """Kills an entry and starts it again."""
    with trouble.take(trouble.pick_entry()) as entries:
        for entry in entries:
            entry.kill()
            trouble.wait(0.0, 1.5)
            entry.start()


@register
def stop_entry(trouble: Trouble) -> None:
    """Stops an entry gracefully and starts it again."""
    with trouble.take(trouble.pick_entry()) as entries:
        for entry in entries:
            entry.signal(signal.SIGTERM)
            entry.wait()
            trouble.wait(0.0, 0.5)
            entry.start()


@register
def freeze_entry(trouble: Trouble) -> None:
    """Freezes an entry and wakes it."""
    with trouble.take(trouble.pick_entry()) as entries:
        for entry in entries:
            entry.signal(signal.SIGSTOP)
            trouble.wait(0.5, 4.0)
            entry.signal(signal.SIGCONT)


@register
def kill_all(trouble: Trouble) -> None:
    """Kills every entry at once and starts them again."""
    with trouble.take(*trouble.cell.entries) as entries:
        for entry in entries:
            entry.process.kill()
        for entry in entries:
            entry.wait()
            entry.start()


@register
def turn_successor_away(trouble: Trouble) -> None:
    """Kills the owner, and cuts who takes over from the store as it does.

    The store is slow, so that the takeover has not read the cell by then.
    """
    store = trouble.cell.users.store
    first = trouble.cell.find_owner()
    if first is None:
        return
    with trouble.take(first) as entries:
        for entry in entries:
            store.faults.delay_s = SLOW_ANSWER_S
            entry.kill()
            deadline = time.monotonic() + TAKEOVER_LIMIT_S
            while time.monotonic() < deadline:
                if trouble.cell.find_owner() is not first:
                    break
                gevent.sleep(POLL_S)
            successor = trouble.cell.find_owner()
            rule = proxy.Rule(source=successor.name, target="store", cut=True)
            trouble.apply_rule(rule, 2.0, 5.0)
            store.faults.delay_s = 0.0
            entry.start()


def strike_store(trouble: Trouble, **way: bool) -> None:
    """Puts a rule between the store and one entry, or all, in force."""
    source = trouble.generator.choice(["*", trouble.pick_entry().name])
    rule = proxy.Rule(source=source, target="store", **way)
    trouble.apply_rule(rule, 0.5, 3.0)


@register
def cut_store(trouble: Trouble) -> None:
    """Cuts one entry, or all, from the store."""
    strike_store(trouble, cut=True)


@register
def silence_store(trouble: Trouble) -> None:
    """Holds the store's answers to one entry, or to all."""
    strike_store(trouble, hold_down=True)


@register
def slow_store(trouble: Trouble) -> None:
    """Delays what goes to and comes from the store."""
    rule = proxy.Rule(target="store", delay_ms=100, jitter_ms=100)
    trouble.apply_rule(rule, 1.0, 4.0)


@register
def lose_answers(trouble: Trouble) -> None:
    """Loses a third of the store's answers to writes."""
    trouble.cell.users.store.faults.lost_share = 0.3
    trouble.wait(1.0, 3.0)
    trouble.cell.users.store.faults.lost_share = 0.0


@register
def forget_history(trouble: Trouble) -> None:
    """Lets the store drop its history."""
    trouble.cell.users.store.forget_history()


@register
def cut_minion(trouble: Trouble) -> None:
    """Cuts a minion off, one way or both."""
    minion_id = trouble.pick_minion()
    way = trouble.generator.choice(["cut", "hold_up", "hold_down"])
    rule = proxy.Rule(target=minion_id, **{way: True})
    trouble.apply_rule(rule, 0.5, 6.0)


@register
def reset_connections(trouble: Trouble) -> None:
    """Resets every connection of the entries."""
    trouble.network.reset_all()


@register
def carry_out_late(trouble: Trouble) -> None:
    """Lets a minion carry starts out late and unanswered."""
    minion = trouble.cell.users.minions[trouble.pick_minion()]
    minion.late_s = trouble.generator.uniform(0.5, 4.0)
    trouble.wait(0.5, 2.0)
    minion.late_s = 0.0


@register
def rebear_minion(trouble: Trouble) -> None:
    """Lets a minion crash and start again under its id."""
    users = trouble.cell.users
    minion = users.minions[trouble.pick_minion()]
    for run in list(minion.runs.values()):
        minion.end(run, "crashed")
    minion.be_reborn()
    users.register(minion)


@register
def change_kind(trouble: Trouble) -> None:
    """Lets a minion crash and return under its id, of any kind.

    It is away for long enough for a poll to fail. It may answer polls before
    it is registered anew, or the other way round. One minion of each kind keeps
    it.
    """
    users = trouble.cell.users
    minion_id = trouble.pick_minion()
    minion = users.minions[minion_id]
    users.gone.add(minion_id)
    for run in list(minion.runs.values()):
        minion.end(run, "crashed")
    minion.silent = True
    trouble.wait(1.5, 4.0)
    minion.be_reborn()
    if minion_id not in list(users.minions)[: len(KINDS)]:
        minion.kind = trouble.generator.choice(KINDS)
    answers_first = trouble.generator.random() < 0.5
    minion.silent = not answers_first
    if not answers_first:
        users.register(minion)
    trouble.wait(0.0, HEARTBEAT_S)
    minion.silent = False
    users.register(minion)
    users.gone.discard(minion_id)


@register
def cut_reborn_minion(trouble: Trouble) -> None:
    """Lets a minion start again under its id and cuts it off soon after.

    What is sent meanwhile over new connections reaches its next life.
    """
    users = trouble.cell.users
    minion_id = trouble.pick_minion()
    minion = users.minions[minion_id]
    rule = proxy.Rule(target=minion_id, hold_up=True)
    for run in list(minion.runs.values()):
        minion.end(run, "crashed")
    minion.be_reborn()
    trouble.apply_rule(rule, 0.3, 1.0)
    users.register(minion)
    trouble.wait(0.2, 2.0)
    way = trouble.generator.choice(["cut", "hold_up"])
    trouble.apply_rule(proxy.Rule(target=minion_id, **{way: True}), 4.0, 9.0)


@register
def lose_registration(trouble: Trouble) -> None:
    """Lets a minion's registration expire while the minion works on."""
    users = trouble.cell.users
    minion_id = trouble.pick_minion()
    users.gone.add(minion_id)
    users.store.delete(f"servers/{minion_id}")
    trouble.wait(0.5, 4.0)
    users.gone.discard(minion_id)


@register
def change_configuration(trouble: Trouble) -> None:
    """Puts a new configuration in force."""
    version = trouble.cell.users.store.revision
    trouble.cell.users.configure(version, targetLatencyMs=version % 5_000)


@register
def change_limit(trouble: Trouble) -> None:
    """Puts another limit of the workspace in force."""
    users = trouble.cell.users
    users.limit_cpu = trouble.generator.choice(LIMITS_CPU)
    users.configure(users.store.revision)


def assign_kinds(users: platform.Platform) -> None:
    """Registers the minions as of each kind in turn."""
    for index, minion in enumerate(users.minions.values()):
        minion.kind = KINDS[index % len(KINDS)]
        users.register(minion)
