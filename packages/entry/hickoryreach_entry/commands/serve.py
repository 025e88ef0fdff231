"""Serves one entry instance."""

import signal

import gevent

from hickoryreach_entry import garbage
from hickoryreach_entry import server
from hickoryreach_entry.config import settings as entry_settings


def serve(settings: entry_settings.Settings) -> None:
    """Serves until a SIGTERM has been drained."""
    entry = server.EntryServer(settings=settings)
    gevent.signal_handler(signal.SIGTERM, gevent.spawn, entry.drain)
    gevent.signal_handler(signal.SIGINT, gevent.spawn, entry.drain)
    garbage.set_up()
    entry.run()
