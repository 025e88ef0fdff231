"""Test case with a served store."""

import unittest

from hickoryreach.platform import store
from hickoryreach.structure import cells
from standins.users import servers
from standins.users import store as standin

QUEUE = cells.Queue(
    name="runs",
    host="h",
    prefix="/runs/",
    service="ledger",
    rank=0,
    attempts=2,
    stretch=2.0,
    objective_ms=1_000,
)


class StoreCase(unittest.TestCase):
    """Serves the stand-in of the store over HTTP.

    Attributes:
        model: The stand-in.
        client: A client of it.
    """

    def setUp(self) -> None:
        """Serves an empty store."""
        self.model = standin.KeyValueStore()

        def answer(method, path, words, body, environ):
            return self.model.answer(method, path, words, body, "me")

        server = servers.serve("127.0.0.1:0", answer)
        self.addCleanup(server.stop, 0)
        self.client = store.Store(address=f"127.0.0.1:{server.server_port}")
