"""Server process of an entry on the users' platform."""

import logging
import os
import socket
import time

import gevent
from gevent import event as gevent_event
import prometheus_client
from returns import result

from hickoryreach.platform import node as node_module
from hickoryreach.platform import store
from hickoryreach.structure import cells
from hickoryreach_entry import http_connections
from hickoryreach_entry import http_server
from hickoryreach_entry.cell import caller_api
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import member
from hickoryreach_entry.cell import settings_change

log = logging.getLogger(__name__)

LOAD_BALANCER_DELAY_S = 2.3
DRAIN_MARGIN_S = 0.35
DRAIN_POLL_S = 0.05
SETTINGS_POLL_S = 1.0
METRICS_PORT = 9464


class CellServer:
    """Starts, reconfigures and drains the parts of an entry.

    Attributes:
        settings: The platform's settings file, decoded.
        draining: Whether the entry has begun to stop.
        stopped: Set once the entry has stopped.
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
            path: Path of that file.
            front: Listening socket for callers, or None to open one.
        """
        self.settings = settings
        self.path = path
        self.draining = False
        self.stopped = gevent_event.Event()
        self.client = store.Store(address=settings.platform.address)
        self.configuration_watch = configuration_watch.ConfigurationWatch(
            client=self.client, on_configuration=self.change_configuration
        )
        self.member = member.Member(
            settings=settings,
            client=self.client,
            configuration_source=self.configuration_watch,
        )
        self.caller_api = caller_api.CallerApi(
            member=self.member,
            client=self.client,
            configuration_source=self.configuration_watch,
            limits=settings.limits,
        )
        self.client_share = http_connections.ClientShare(
            max_held_bytes=settings.limits.max_held_bytes
        )
        self.front = self.build_http_server(
            "front",
            settings.listen.front,
            caller_api.build_app(self.caller_api),
            settings.limits.max_caller_connections,
            front,
        )
        self.ready = self.build_http_server(
            "ready",
            settings.listen.ready,
            self.handle_ready_request,
            settings.limits.max_check_connections,
        )
        host = settings.listen.front.rsplit(":", 1)[0]
        self.metrics = self.build_http_server(
            "metrics",
            f"{host}:{METRICS_PORT}",
            prometheus_client.make_wsgi_app(),
            settings.limits.max_check_connections,
        )

    def build_http_server(
        self,
        name: str,
        address: str,
        app,
        max_connections: int,
        listener: socket.socket | None = None,
    ) -> http_server.HttpServer:
        """Returns an HTTP server that is not started yet.

        Args:
            name: Name of the listener, for metrics and logs.
            address: `host:port` to listen at.
            app: The WSGI application.
            max_connections: Most connections at a time.
            listener: Socket that listens there already, or None to open one.
        """
        host, port = address.rsplit(":", 1)
        return http_server.HttpServer(
            listener or (host, int(port)),
            app,
            table=http_connections.ConnectionTable(
                name=name,
                max_connections=max_connections,
                share=self.client_share,
            ),
            limits=self.settings.limits,
        )

    def is_ready(self) -> bool:
        """Returns whether this entry can serve callers."""
        return (
            not self.draining
            and self.caller_api.configuration is not None
            and self.member.owner_client.has_owner()
            and not self.member.owner_client.is_isolated()
        )

    def handle_ready_request(
        self, environ: dict, start_response
    ) -> list[bytes]:
        """Responds to the platform's readiness check."""
        ready = self.is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def change_configuration(self, configuration: cells.Configuration) -> None:
        """Puts a configuration in force."""
        self.front.max_body_bytes = configuration.body_limit
        self.caller_api.change_configuration(configuration)
        self.member.change_configuration(configuration)

    def run(self) -> None:
        """Serves until the entry is drained."""
        self.ready.start()
        self.metrics.start()
        self.configuration_watch.start()
        gevent.spawn(self.caller_api.pause_detector.beat_forever)
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
        """Reloads the settings file when it has changed.

        The first look reloads it in any case, as it may have changed while the
        entry started.
        """
        modified_at = -1.0
        while True:
            gevent.sleep(SETTINGS_POLL_S)
            if get_modification_time(self.path) != modified_at:
                modified_at = get_modification_time(self.path)
                self.reload()

    def reload(self) -> None:
        """Applies what has changed in the settings file if it is valid."""
        loaded = node_module.load(self.path)
        if isinstance(loaded, result.Failure):
            log.error("settings_rejected", extra={"reason": loaded.failure()})
            return
        settings = settings_change.keep_fixed(self.settings, loaded.unwrap())
        changed = settings_change.list_changes(self.settings, settings)
        if not changed:
            return
        self.settings = settings
        settings_change.apply_to_member(self.member, settings)
        log.info("settings_reloaded", extra={"changed": ",".join(changed)})

    def drain(self) -> None:
        """Releases the ownership, serves the open requests, then stops.

        The front stays open for the load balancer's delay, since callers are
        still sent here until the balancer sees that this is not ready.
        """
        if self.draining:
            return
        started_at = time.monotonic()
        self.draining = True
        self.member.draining = True
        log.info("drain_started", extra={})
        self.front.draining = True
        self.member.release_ownership(self.member.owner)
        gevent.sleep(
            max(0.0, started_at + LOAD_BALANCER_DELAY_S - time.monotonic())
        )
        self.front.close()
        deadline = started_at + self.settings.bounds.grace_s - DRAIN_MARGIN_S
        while self.front.active and time.monotonic() < deadline:
            gevent.sleep(DRAIN_POLL_S)
        log.info("drain_finished", extra={"unanswered": self.front.active})
        self.stopped.set()


def get_modification_time(path: str) -> float:
    """Returns when a file was last modified, or 0 if it can't be read."""
    try:
        return os.stat(path).st_mtime
    except OSError as error:
        log.warning("settings_unreadable", extra={"reason": str(error)})
        return 0.0
