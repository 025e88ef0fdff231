"""Crowds whose bodies are too long, endless or never finished."""

from tests.crowds import cases


class BodyTest(cases.CrowdCase):
    """Each crowd meets the owner of a cell on its address for callers."""

    def test_unfinished_bodies(self) -> None:
        self.check_crowd("unfinished_bodies", connections=400)

    def test_endless_bodies(self) -> None:
        self.check_crowd("endless_bodies", connections=40)

    def test_unasked_bodies(self) -> None:
        self.check_crowd("unasked_bodies", connections=40)

    def test_tiny_chunks(self) -> None:
        self.check_crowd("tiny_chunks", connections=40)

    def test_endless_chunk(self) -> None:
        self.check_crowd("endless_chunk", connections=40)

    def test_endless_trailers(self) -> None:
        self.check_crowd("endless_trailers", connections=40)

    def test_endless_trailers_of_one_client(self) -> None:
        self.check_crowd("endless_trailers", connections=1)

    def test_tiny_chunks_of_one_client(self) -> None:
        self.check_crowd("tiny_chunks", connections=1)

    def test_unread_answers_of_one_client(self) -> None:
        self.check_crowd("unread_answers", connections=1)
