"""Tests of the check of frames against the bytes that they have."""

import unittest

import hypothesis
from hypothesis import strategies

from hickoryreach import exceptions
from hickoryreach.wire import frame_checks
from hickoryreach.wire import frames

# A list of lists, one flat list, and a map of pairs that aren't there.
ENDLESS = (
    "0f00010f7fffffff0f7fffffff",
    "0f00010a7fffffff",
    "0d0a0d0a0d00003000",
    "0f00010affffffff00",
    "0b00017fffffff",
)
PEER = frames.PeerInfo(name="e", address="a:1", processor=0.5)
SOUND = (
    frames.Frame(greeting=frames.Greeting(peer=PEER)),
    frames.Frame(
        status=frames.Status(
            epoch=3,
            pending={"runs": 4, "checks": 0},
            succession=[PEER, PEER],
            leaving=True,
            silent={},
        )
    ),
    frames.Frame(
        number=7,
        submission=frames.Submission(job=b"{}" * 1_000, offered=True),
    ),
    frames.Frame(
        number=7,
        answer=True,
        advice_report=frames.AdviceReport(tickets={"i-1": "t", "i-2": ""}),
    ),
    frames.Frame(
        advice_news=frames.AdviceNews(
            answers=[frames.PastAdvice(step="j.0.0", minions=["i-1"])]
        )
    ),
)


class FrameChecksTest(unittest.TestCase):
    """Frames of entries pass; those that state more than they hold don't."""

    def test_frames_of_entries_pass(self) -> None:
        for frame in SOUND:
            frame_checks.check(frames.encode(frame))

    # Guards against a frame of some bytes that takes minutes to decode.
    def test_containers_without_their_elements_are_refused(self) -> None:
        for text in ENDLESS:
            with (
                self.subTest(text),
                self.assertRaises(exceptions.MalformedFrameError),
            ):
                frame_checks.check(bytes.fromhex(text))

    def test_parts_of_frames_and_longer_ones_are_refused(self) -> None:
        for frame in SOUND:
            data = frames.encode(frame)
            odd = [data[:size] for size in range(min(len(data), 200))]
            for each in [*odd, data + b"\x00"]:
                with self.assertRaises(exceptions.MalformedFrameError):
                    frame_checks.check(each)

    def test_deeply_nested_values_are_refused(self) -> None:
        data = b"\x0c\x00\x01" * 1_000 + b"\x00" * 1_001
        with self.assertRaises(exceptions.MalformedFrameError):
            frame_checks.check(data)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_whatever_passes_can_be_decoded_or_raises(
        self, data: bytes
    ) -> None:
        try:
            frame_checks.check(data)
        except exceptions.MalformedFrameError:
            return
        try:
            frames.decode(data)
        except Exception as error:  # noqa: BLE001  no common base
            self.assertNotIsInstance(error, MemoryError)
