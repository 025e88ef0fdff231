"""Frames of peers with any of their fields missing or unusual."""

import types
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from hickoryreach.wire import frames
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import member_status
from hickoryreach_entry.cell import records

TEXT = strategies.none() | strategies.text(max_size=6)
NUMBER = strategies.integers(min_value=-(2**31), max_value=2**31 - 1)
PEER = strategies.builds(
    frames.PeerInfo,
    name=TEXT,
    address=TEXT,
    processor=strategies.none() | strategies.floats(allow_nan=False),
)
COUNTS = strategies.none() | strategies.dictionaries(
    strategies.text(max_size=4), NUMBER, max_size=3
)
MESSAGES = {
    "greeting": strategies.builds(
        frames.Greeting, peer=strategies.none() | PEER
    ),
    "status": strategies.builds(
        frames.Status,
        epoch=strategies.none() | NUMBER,
        pending=COUNTS,
        succession=strategies.none() | strategies.lists(PEER, max_size=3),
        silent=COUNTS,
        cell_ms=strategies.none() | NUMBER,
    ),
    "pulse": strategies.builds(
        frames.Pulse, store_age_ms=NUMBER, wall_ms=strategies.none() | NUMBER
    ),
    "advice_news": strategies.builds(
        frames.AdviceNews,
        answers=strategies.none()
        | strategies.lists(
            strategies.builds(frames.PastAdvice, step=TEXT), max_size=2
        ),
    ),
    "submission": strategies.builds(
        frames.Submission, job=strategies.none() | strategies.binary()
    ),
    "owner_question": strategies.builds(frames.OwnerQuestion),
}


class MalformedFrameTest(unittest.TestCase):
    """What runs without a peer goes on after any of its frames."""

    def setUp(self) -> None:
        """Creates a member that owns the cell."""
        settings = types.SimpleNamespace(
            node="me",
            listen=types.SimpleNamespace(control="127.0.0.1:1"),
            processor=1.0,
            advice=None,
        )
        client = mock.Mock()
        client.health.failing_since = 0.0
        self.member = member_module.Member(
            settings=settings,
            client=client,
            configuration_source=mock.Mock(),
        )
        self.member.owner = mock.Mock(
            epoch=3, begun_at=0.0, leaving=False, serving=True
        )
        self.member.owner.progress.failing_since = 0.0
        self.member.owner.published_states.count_pending.return_value = {}
        self.member.owner.published_states.held_bytes = 0
        self.member.owner.fleet.list_silent.return_value = {}
        self.member.release_ownership = mock.Mock()

    def receive(self, name: str, message: object) -> None:
        """Handles a frame as a channel does, which closes after an error."""
        peer = mock.Mock(peer=frames.PeerInfo(name="peer", address="a:1"))
        peer.last_received_at = 0.0
        peer.opened_at = 0.0
        self.member.election.owner_channel = peer
        try:
            data = frames.encode(frames.Frame(**{name: message}))
            received_name, received = frames.get_message(frames.decode(data))
            self.member.handle(peer, received_name, received)
        except Exception as error:  # noqa: BLE001  as in channel.Channel
            self.assertNotIsInstance(error, AssertionError)

    def run_vital_parts(self) -> None:
        """Runs what must not fail, since its failure ends the process."""
        frames.encode(
            frames.Frame(status=member_status.build_status(self.member))
        )
        self.member.fitness_review.run()
        self.member.cell_clock.now_ms()
        known = records.Ownership(name="a", address="a:1", epoch=2)
        self.member.election.list_predecessors(known)
        self.member.election.is_following()
        self.member.owner_client.get_pending("q", 1.0)
        self.member.election.last_status.get_silent_minions(4)

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.data())
    def test_any_frame_is_survived(self, data) -> None:
        name = data.draw(strategies.sampled_from(sorted(MESSAGES)))
        self.receive(name, data.draw(MESSAGES[name]))
        self.run_vital_parts()
