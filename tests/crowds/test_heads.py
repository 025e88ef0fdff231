"""Crowds whose heads are too long, endless or never finished."""

from standins.users import cell
from tests.crowds import cases


class HeadTest(cases.CrowdCase):
    """Each crowd meets the owner of a cell on its address for callers."""

    def test_long_header_lines(self) -> None:
        self.check_crowd("long_header_lines", connections=60)

    def test_short_header_lines(self) -> None:
        self.check_crowd("short_header_lines", connections=60)

    def test_endless_header_line(self) -> None:
        self.check_crowd("endless_header_line", connections=60)

    def test_endless_target(self) -> None:
        self.check_crowd("endless_target", connections=60)

    def test_folded_lines(self) -> None:
        self.check_crowd("folded_lines", connections=60)

    def test_empty_lines(self) -> None:
        self.check_crowd("empty_lines", connections=60)

    def test_bare_line_feeds(self) -> None:
        self.check_crowd("bare_line_feeds", connections=60)

    def test_empty_lines_between(self) -> None:
        self.check_crowd("empty_lines_between", connections=60)

    def test_malformed_heads(self) -> None:
        self.check_crowd("malformed_heads", connections=60)


class OtherPortTest(cases.CrowdCase):
    """The same on the addresses that aren't for callers."""

    def test_long_header_lines_for_readiness(self) -> None:
        self.check_crowd(
            "long_header_lines", connections=60, port=cell.READY_PORT
        )

    def test_long_header_lines_for_metrics(self) -> None:
        self.check_crowd(
            "long_header_lines", connections=60, port=cell.METRICS_PORT
        )
