"""Fuzz of registrations that another writer leaves among sound ones."""

import json
import unittest
from unittest import mock

import gevent
import hypothesis
from hypothesis import strategies
from returns import result

from hickoryreach.platform import documents
from hickoryreach.platform import minion_client
from hickoryreach.platform import minions
from hickoryreach.platform import store
from hickoryreach.scheduling import events
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import reducer
from hickoryreach.scheduling import settings
from hickoryreach.scheduling import state
from hickoryreach.wire import frames
from hickoryreach_entry.cell import fleet
from hickoryreach_entry.cell import leases
from hickoryreach_entry.cell import ownership_scope

SOUND = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 4_000, "memMb": 100, "gpu": 1},
    "labels": ["a", "r1"],
    "remainingMs": 5_000,
    "born": 5,
    "machine": "w",
}
FIELDS = (*SOUND, "seq")
DIGITS = "9" * 400
DEPTH = 100_000
ODD_NUMBERS = (
    *("1e400", "-1e400", DIGITS, f"-{DIGITS}", "1e30", "-1e30", "NaN"),
    *("1e18", "-1", "-0.5", "9223372036854775808", "-9223372036854775809"),
)
ODD_ADDRESSES = (
    *('"127.0.0.1:8_0"', '"127.0.0.1: 80"', '"127.0.0.1:\u0668\u0660"'),
    *('"127.0.0.1:99999"', '"127.0.0.1:0"', '"::1:80"', '":"', '"a:80"'),
)
ODD_TEXTS = ('""', '"x"', '"\\ud800"', '"\\u0000"', json.dumps("x" * 100_000))
ODD_OTHERS = (
    *("null", "true", "[]", "{}", "[null]", json.dumps(["x"] * 1_000)),
    *('{"cpu":-1}', f'{{"cpu":{DIGITS}}}', '{"cpu":1e400}'),
    "[" * DEPTH + "]" * DEPTH,
    '{"a":' * DEPTH + "0" + "}" * DEPTH,
)
ANY_ODD = (*ODD_NUMBERS, *ODD_ADDRESSES, *ODD_TEXTS, *ODD_OTHERS)
ODD_BY_FIELD = {
    "remainingMs": ODD_NUMBERS,
    "born": ODD_NUMBERS,
    "address": ODD_ADDRESSES,
}
KEYS = strategies.sampled_from(("", "b", "b-2", "a\nb", "\u65e5", "b/c"))
ABSENT = ""


@strategies.composite
def draw_document(draw) -> bytes:
    """Returns a registration with some fields missing, replaced or odd."""
    texts = {name: json.dumps(value) for name, value in SOUND.items()}
    names = strategies.sampled_from(FIELDS)
    for name in draw(strategies.sets(names, min_size=1, max_size=2)):
        fitting = ODD_BY_FIELD.get(name, ODD_TEXTS)
        odd = draw(strategies.sampled_from((fitting, ANY_ODD, (ABSENT,))))
        texts[name] = draw(strategies.sampled_from(odd))
    rows = [f'"{name}":{text}' for name, text in texts.items() if text]
    return ("{" + ",".join(rows) + "}").encode()


VALUES = (
    draw_document()
    | draw_document()
    | draw_document()
    | strategies.sampled_from(ANY_ODD).map(str.encode)
    | strategies.binary(max_size=40)
    | strategies.none()
)


class OddRegistrationFuzz(unittest.TestCase):
    """Sound registrations hold, whatever stands beside them."""

    def setUp(self) -> None:
        """Creates a state and a fleet whose minions never answer."""
        failed = result.Failure(minions.OrderFailure(reason="no answer"))
        patch = mock.patch.object(
            minion_client.MinionClient, "poll", return_value=failed
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.begin()
        self.addCleanup(lambda: self.scope.close())
        self.addCleanup(lambda: self.fleet.close())

    def begin(self) -> None:
        """Starts anew without any minion."""
        self.cell = state.CellState(settings=settings.Settings(), epoch=1)
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.fleet = fleet.Fleet(
            scope=self.scope,
            client=mock.Mock(),
            get_terms=lambda: leases.Terms(
                token=5, lease_ms=800, hold_limit_ms=6_000
            ),
            emit=self.apply,
            on_fenced=lambda minion_id: None,
            heartbeat_ms=500,
        )

    def apply(self, event: events.Event) -> None:
        """Applies an event of the fleet to the state."""
        reducer.reduce(self.cell, event, 1)

    def read(self, items: list[tuple[str, bytes | None]]) -> None:
        """Passes a page of registrations to the fleet's watch."""
        watcher = self.fleet.watcher
        watcher.accept(
            store.Page(
                items=tuple(
                    store.Item(
                        key=documents.MINIONS_PREFIX + minion_id,
                        data=data,
                        revision=watcher.revision + 2,
                    )
                    for minion_id, data in items
                ),
                revision=watcher.revision + 2,
            )
        )

    def check_links(self) -> None:
        """Checks that each minion's link works and can be reported."""
        gevent.sleep(0)
        for link in self.fleet.links.values():
            self.assertFalse(link.greenlet.dead)
        frames.encode(
            frames.Frame(status=frames.Status(silent=self.fleet.list_silent()))
        )
        free_capacity.measure(self.cell)

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.lists(
                strategies.tuples(KEYS, VALUES), min_size=2, max_size=6
            ),
            min_size=1,
            max_size=3,
        )
    )
    def test_sound_minions_are_registered_beside_odd_ones(self, pages) -> None:
        self.fleet.close()
        self.begin()
        with self.assertNoLogs("hickoryreach_entry.cell.prefix_watcher"):
            for number, odd in enumerate(pages):
                first, last = f"a{number}", f"z{number}"
                sound = json.dumps(SOUND).encode()
                revision = self.fleet.watcher.revision
                self.read([(first, sound), *odd, (last, sound)])
                self.assertEqual(self.fleet.watcher.revision, revision + 2)
                self.assertLessEqual({first, last}, set(self.cell.minions))
                self.assertLessEqual({first, last}, set(self.fleet.links))
                self.check_links()
