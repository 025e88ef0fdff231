"""Crowds of more connections than a process has descriptors."""

from standins.users import cell
from tests.crowds import cases


class ConnectionTest(cases.CrowdCase):
    """Each crowd holds its connections for as long as it may."""

    def test_idle(self) -> None:
        self.check_crowd("idle", connections=700)

    def test_idle_for_readiness(self) -> None:
        self.check_crowd("idle", connections=700, port=cell.READY_PORT)

    def test_idle_for_metrics(self) -> None:
        self.check_crowd("idle", connections=700, port=cell.METRICS_PORT)

    def test_dribbled_heads(self) -> None:
        self.check_crowd("dribbled_heads", connections=700)

    def test_dribbled_bodies(self) -> None:
        self.check_crowd("dribbled_bodies", connections=700)

    def test_held_heads(self) -> None:
        self.check_crowd("held_heads", connections=700)

    def test_unread_answers(self) -> None:
        self.check_crowd("unread_answers", connections=700)

    def test_unread_pages(self) -> None:
        self.check_crowd(
            "unread_pages", connections=700, port=cell.METRICS_PORT
        )
