"""The entry server: wires its parts together and drains on request."""

import logging
import time

import gevent
from gevent import event as gevent_event

from hickoryreach.trial import store
from hickoryreach_entry import http_connections
from hickoryreach_entry import http_server
from hickoryreach_entry import lists
from hickoryreach_entry import membership
from hickoryreach_entry import peers
from hickoryreach_entry import router
from hickoryreach_entry.api import app
from hickoryreach_entry.api import bodies
from hickoryreach_entry.config import settings as entry_settings

log = logging.getLogger(__name__)

DRAIN_POLL_S = 0.05
DRAIN_LIMIT_S = 90.0
BACKLOG_S = 0.2


class EntryServer:
    """One entry instance.

    Attributes:
        settings: Its settings.
        draining: Whether it was asked to stop.
        stopped: Set once it has stopped.
    """

    def __init__(self, *, settings: entry_settings.Settings) -> None:
        """Creates a server that is not started yet."""
        self.settings = settings
        self.draining = False
        self.stopped = gevent_event.Event()
        self.client = store.Store(url=settings.store_url)
        self.lists = lists.Lists(client=self.client)
        self.membership = membership.Membership(
            client=self.client,
            me=membership.Member(
                name=settings.name,
                peer_address=f"{settings.peer_host}:{settings.peer_port}",
                failure_domain=settings.failure_domain,
            ),
            lease_s=settings.member_lease_s,
        )
        self.router = router.Router(
            settings=settings,
            client=self.client,
            members=self.membership,
            in_force=self.lists,
        )
        self.peer_server = peers.PeerServer(
            host=settings.peer_host,
            port=settings.peer_port,
            handler=self.router,
        )
        self.http_server = http_server.HttpServer(
            (settings.http_host, settings.http_port),
            app.build_app(
                front_end=self.router.front,
                in_force=self.lists,
                settings=settings,
                is_ready=self.is_ready,
                list_jobs=self.router.find_jobs,
            ),
            table=http_connections.ConnectionTable(
                name="http",
                max_connections=settings.max_callers
                + settings.max_check_connections,
                share=http_connections.ClientShare(
                    max_held_bytes=settings.max_held_bytes
                ),
            ),
            limits=settings,
            max_body_bytes=bodies.LIMIT_BYTES,
        )

    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return (
            not self.draining
            and bool(self.membership.members)
            and self.lists.revisions["plans"] > 0
        )

    def run(self) -> None:
        """Serves until drained."""
        self.peer_server.start()
        self.lists.start()
        self.membership.start()
        self.router.start()
        self.http_server.start()
        log.info("entry_started", extra={"port": self.settings.http_port})
        self.stopped.wait()

    def drain(self) -> None:
        """Hands shards over, finishes with every caller, then stops."""
        if self.draining:
            return
        self.draining = True
        log.info("drain_started", extra={})
        self.router.ownership.release_all()
        self.membership.drain()
        gevent.sleep(self.settings.drain_lag_s)
        self.http_server.draining = True
        self.router.front.drain()
        gevent.sleep(BACKLOG_S)
        self.http_server.close()
        finished = self.wait_for_callers()
        self.membership.leave()
        log.info("drain_finished", extra={"finished": finished})
        self.stopped.set()

    def wait_for_callers(self) -> bool:
        """Waits until nobody depends on this entry; returns whether so."""
        deadline = time.monotonic() + DRAIN_LIMIT_S
        while time.monotonic() < deadline:
            if not self.http_server.active and not self.router.front.is_busy():
                return True
            gevent.sleep(DRAIN_POLL_S)
        return False
