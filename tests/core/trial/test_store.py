"""Tests of the store's client against a server that answers badly."""

import unittest

import gevent
import gevent.pywsgi
from returns import result

from hickoryreach import exceptions
from hickoryreach.trial import instances
from hickoryreach.trial import store

ROW = b'[{"Key":"k","Value":"dg==","ModifyIndex":7,"Flags":0,"CreateIndex":1}]'


class StoreTest(unittest.TestCase):
    """One client and one server."""

    def setUp(self):
        self.status = "200 OK"
        self.body = b"[]"
        self.delay_s = 0.0
        self.server = gevent.pywsgi.WSGIServer(
            ("127.0.0.1", 0), self.answer, log=None
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        url = f"http://127.0.0.1:{self.server.server_port}"
        self.client = store.Store(url=url, timeout_s=0.2)
        self.addCleanup(self.client.http.close)

    def answer(self, environ, start_response) -> list[bytes]:
        """Answers every call alike."""
        gevent.sleep(self.delay_s)
        start_response(self.status, [("X-Consul-Index", "9")])
        return [self.body]

    def test_values_are_read_with_their_index(self):
        self.body = ROW
        snapshot = self.client.get("k").unwrap()
        self.assertEqual(snapshot.index, 9)
        self.assertEqual(snapshot.values[0].data, b"v")
        self.assertEqual(snapshot.values[0].index, 7)

    def test_only_not_found_means_that_nothing_is_there(self):
        self.status = "404 Not Found"
        self.assertEqual(self.client.get_prefix("k").unwrap().values, ())
        for status in ("403 Forbidden", "429 Too Many", "500 Down"):
            with self.subTest(status=status):
                self.status = status
                read = self.client.get_prefix("k")
                self.assertIsInstance(read, result.Failure)

    def test_malformed_answers_are_failures(self):
        self.body = b"<html>"
        for call in (
            lambda: self.client.get("k"),
            lambda: self.client.put_if("k", b"v", index=0),
            lambda: self.client.create_lease(ttl_s=1, name="n"),
            lambda: instances.get_workers(self.client),
        ):
            self.assertIsInstance(call(), result.Failure)

    def test_a_conflict_is_told_from_a_failure(self):
        self.status = "409 Conflict"
        written = self.client.put_if("k", b"v", index=0)
        self.assertIsInstance(written.failure(), exceptions.Conflict)

    def test_a_slow_answer_leaves_the_effect_open(self):
        self.delay_s = 0.5
        written = self.client.put_if("k", b"v", index=0)
        self.assertTrue(written.failure().effect_unknown)

    def test_a_lapsed_lease_is_told_from_a_failure(self):
        self.status = "404 Not Found"
        self.assertEqual(self.client.renew_lease("x"), result.Success(False))
        self.status = "429 Too Many"
        self.assertIsInstance(self.client.renew_lease("x"), result.Failure)

    def test_a_wrong_row_fails_the_whole_list_of_instances(self):
        self.body = b'[{"Service":{"ID":"w1","Meta":{}}}]'
        read = instances.get_workers(self.client)
        self.assertIsInstance(read, result.Failure)


if __name__ == "__main__":
    unittest.main()
