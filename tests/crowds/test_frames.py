"""Crowds on the address for connections between entries."""

from standins.users import cell
from tests.crowds import cases


class FrameTest(cases.CrowdCase):
    """Each crowd meets the owner where the other entries do."""

    def test_idle(self) -> None:
        self.check_crowd("idle", connections=700, port=cell.CONTROL_PORT)

    def test_unfinished_frames(self) -> None:
        self.check_crowd(
            "unfinished_frames", connections=60, port=cell.CONTROL_PORT
        )

    def test_foreign_frames(self) -> None:
        self.check_crowd(
            "foreign_frames", connections=60, port=cell.CONTROL_PORT
        )

    # Guards against an entry that hangs in one frame of 13 bytes.
    def test_endless_lists(self) -> None:
        self.check_crowd(
            "endless_lists", connections=60, port=cell.CONTROL_PORT
        )

    def test_long_header_lines(self) -> None:
        self.check_crowd(
            "long_header_lines", connections=60, port=cell.CONTROL_PORT
        )
