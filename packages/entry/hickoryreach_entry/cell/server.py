"""One entry on the users' platform: wires its parts together and drains."""

import logging
import os
import socket
import time

import gevent
from gevent import event as gevent_event
import prometheus_client
from returns import result

from hickoryreach.platform import documents
from hickoryreach.platform import node as node_module
from hickoryreach.platform import store
from hickoryreach_entry import http_server
from hickoryreach_entry.cell import caller_api
from hickoryreach_entry.cell import member
from hickoryreach_entry.cell import prefix_watcher

log = logging.getLogger(__name__)

CONFIGURATION_WAIT_S = 1.8
BALANCER_LAG_S = 2.3
FINISH_MARGIN_S = 0.35
DRAIN_POLL_S = 0.05
SETTINGS_POLL_S = 1.0
METRICS_PORT = 9464


class CellServer:
    """One entry of a cell.

    Attributes:
        settings: The platform's settings file, decoded.
        draining: Whether it was asked to stop.
        stopped: Set once it has stopped.
    """

    def __init__(
        self,
        *,
        settings: node_module.NodeSettings,
        path: str,
        front: socket.socket | None = None,
    ) -> None:
        """Creates a server that is not started yet.

        Args:
            settings: The platform's settings file, decoded.
            path: Where the file is.
            front: Open socket for callers, or None to open one.
        """
        self.settings = settings
        self.path = path
        self.draining = False
        self.stopped = gevent_event.Event()
        self.client = store.Store(address=settings.platform.address)
        self.member = member.Member(settings=settings, client=self.client)
        self.callers = caller_api.Callers(
            member=self.member, client=self.client
        )
        self.watcher = prefix_watcher.PrefixWatcher(
            client=self.client,
            prefix=documents.CONFIGURATION_KEY,
            wait_s=CONFIGURATION_WAIT_S,
            on_page=self.handle_configuration,
        )
        self.front = build_http_server(
            settings.listen.front, caller_api.build_app(self.callers), front
        )
        self.ready = build_http_server(
            settings.listen.ready, self.handle_ready_request
        )
        host = settings.listen.front.rsplit(":", 1)[0]
        self.metrics = build_http_server(
            f"{host}:{METRICS_PORT}", prometheus_client.make_wsgi_app()
        )

    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return (
            not self.draining
            and self.callers.configuration is not None
            and self.member.owner_client.has_owner()
            and not self.member.owner_client.is_isolated()
        )

    def handle_ready_request(
        self, environ: dict, start_response
    ) -> list[bytes]:
        """Answers the platform's question whether this is ready."""
        ready = self.is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def handle_configuration(self, page: store.Page, complete: bool) -> None:
        """Puts the newest configuration in force."""
        for item in page.items:
            if item.key != documents.CONFIGURATION_KEY or item.data is None:
                continue
            parsed = documents.parse_configuration(item.data)
            if isinstance(parsed, result.Failure):
                log.error(
                    "configuration_unreadable",
                    extra={
                        "revision": item.revision,
                        "reason": parsed.failure(),
                    },
                )
                continue
            configuration = parsed.unwrap()
            log.info(
                "configuration_in_force",
                extra={
                    "version": configuration.version,
                    "revision": item.revision,
                    "queues": len(configuration.queues),
                    "workspaces": len(configuration.workspaces),
                },
            )
            self.callers.change_configuration(configuration)
            self.member.change_configuration(configuration)

    def run(self) -> None:
        """Serves until drained."""
        self.ready.start()
        self.metrics.start()
        self.watcher.start()
        self.member.start()
        self.front.start()
        gevent.spawn(self.watch_settings_file)
        log.info(
            "entry_started",
            extra={
                "node": self.settings.node,
                "failure_domain": self.settings.zone,
                "processor": self.settings.processor,
            },
        )
        self.stopped.wait()

    def watch_settings_file(self) -> None:
        """Reads the settings file again when it has changed."""
        changed_at = get_change_time(self.path)
        while True:
            gevent.sleep(SETTINGS_POLL_S)
            if get_change_time(self.path) != changed_at:
                changed_at = get_change_time(self.path)
                self.reload()

    def reload(self) -> None:
        """Puts changed settings in force, or keeps the old ones."""
        loaded = node_module.load(self.path)
        if isinstance(loaded, result.Failure):
            log.error("settings_rejected", extra={"reason": loaded.failure()})
            return
        settings = loaded.unwrap()
        moved = settings.platform.address != self.settings.platform.address
        self.settings = settings
        self.member.settings = settings
        self.member.advisor.address = settings.advice
        log.info("settings_reloaded", extra={"store_moved": moved})

    def drain(self) -> None:
        """Hands the ownership over, finishes with every caller, then stops."""
        if self.draining:
            return
        begun = time.monotonic()
        self.draining = True
        self.member.draining = True
        log.info("drain_started", extra={})
        self.front.draining = True
        self.member.release()
        gevent.sleep(max(0.0, begun + BALANCER_LAG_S - time.monotonic()))
        self.front.close()
        deadline = begun + self.settings.bounds.grace_s - FINISH_MARGIN_S
        while self.front.active and time.monotonic() < deadline:
            gevent.sleep(DRAIN_POLL_S)
        log.info("drain_finished", extra={"unanswered": self.front.active})
        self.stopped.set()


def build_http_server(
    address: str, app, listener: socket.socket | None = None
) -> http_server.HttpServer:
    """Returns a server on one address that is not started yet.

    Args:
        address: `host:port` to listen at.
        app: The WSGI application.
        listener: Socket that listens there already, or None.
    """
    host, port = address.rsplit(":", 1)
    return http_server.HttpServer(listener or (host, int(port)), app, log=None)


def get_change_time(path: str) -> float:
    """Returns when a file was last changed, or 0 if it can't be read."""
    try:
        return os.stat(path).st_mtime
    except OSError as error:
        log.warning("settings_unreadable", extra={"reason": str(error)})
        return 0.0
