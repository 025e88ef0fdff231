"""Each fault of the proxy, against a process that answers whole bodies."""

import concurrent.futures
import tempfile
import unittest

from standins import cell
from standins import load

SHORT_S = 0.5
LONG_S = 30.0


class ProxyTest(unittest.TestCase):
    """A store stand-in behind the proxy."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.cell = cell.Cell(
            deployment=cell.Deployment(name="proxy", service="none"),
            log_folder=folder.name,
            proxied=True,
        )
        cls.addClassCleanup(cls.cell.stop)
        cls.cell.start_proxy()
        cls.cell.start_store()

    def tearDown(self):
        self.cell.set_rules()

    def write(self, key: str) -> int:
        """Writes a key through the proxy; 0 without a whole answer."""
        operation = {"Verb": "set", "Key": key, "Value": "eA=="}
        url = f"{self.cell.store.public_url}/v1/txn"
        return load.fetch("PUT", url, "", [{"KV": operation}])[0]

    def has(self, key: str) -> bool:
        """Returns whether the store has a key."""
        return cell.call("GET", f"{self.cell.store.url}/v1/kv/{key}")[0] == 200

    def test_without_rules_passes_everything(self):
        self.assertEqual(self.write("plain"), 200)

    def test_cut_lets_nothing_through(self):
        self.cell.set_rules({"target": "store", "cut": True})
        self.assertEqual(self.write("cut"), 0)
        self.assertFalse(self.has("cut"))

    def test_cut_spares_other_pairs(self):
        self.cell.set_rules({"source": "entry-*", "cut": True})
        self.assertEqual(self.write("spared"), 200)

    def test_dropped_answer_has_had_its_effect(self):
        self.cell.set_rules({"drop_answers": True})
        self.assertEqual(self.write("dropped"), 0)
        self.assertTrue(self.has("dropped"))

    def test_one_way_cut_holds_until_healed(self):
        self.cell.set_rules({"hold_up": True})
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            call = pool.submit(self.write, "held")
            with self.assertRaises(concurrent.futures.TimeoutError):
                call.result(SHORT_S)
            self.assertFalse(self.has("held"))
            self.cell.set_rules()
            self.assertEqual(call.result(LONG_S), 200)

    def test_cut_in_a_body_is_seen_as_broken(self):
        self.cell.set_rules({"cut_down_bytes": 20})
        self.assertEqual(self.write("half"), 0)
        self.assertTrue(self.has("half"))

    def test_trickle_delay_and_jitter_pass_everything(self):
        self.cell.set_rules(
            {"trickle_bytes": 50, "delay_ms": 5, "jitter_ms": 5}
        )
        self.assertEqual(self.write("slow"), 200)


if __name__ == "__main__":
    unittest.main()
