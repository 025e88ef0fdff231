"""A fault-injecting TCP proxy, controlled over HTTP.

Each target has one port on the proxy. A connection's source is found by the
process that opened it, so that a fault can be put on one pair of processes.
What a one-way cut holds back is delivered once it heals, unless the
connection ended meanwhile.
"""

import argparse
import contextlib
import dataclasses
import fnmatch
import pathlib
import random
import re
import socket
import struct

import falcon
import gevent
from gevent import monkey
import gevent.server

from standins import http

monkey.patch_all()

CHUNK_BYTES = 16_384
HOLD_POLL_S = 0.02
TRICKLE_S = 0.05
RESET = struct.pack("ii", 1, 0)
JITTER_SEED = 7
OTHER_SOURCE = "caller"


@dataclasses.dataclass(kw_only=True)
class Rule:
    """Faults on the connections from some sources to some targets.

    Attributes:
        source: Pattern of source names.
        target: Pattern of target names.
        cut: Whether connections are reset and new ones refused.
        hold_up: Whether bytes towards the target are held back, and new
            connections with them.
        hold_down: Whether bytes towards the source are held back.
        delay_ms: Time each chunk waits.
        jitter_ms: Most that is added to it.
        drop_answers: Whether the connection is reset when the target
            begins to answer.
        cut_down_bytes: Bytes towards the source after which a connection is
            reset; 0 for never.
        trickle_bytes: Bytes passed on in each TRICKLE_S; 0 for no limit.
    """

    source: str = "*"
    target: str = "*"
    cut: bool = False
    hold_up: bool = False
    hold_down: bool = False
    delay_ms: int = 0
    jitter_ms: int = 0
    drop_answers: bool = False
    cut_down_bytes: int = 0
    trickle_bytes: int = 0

    def covers(self, source: str, target: str) -> bool:
        """Returns whether the rule holds for a pair."""
        return fnmatch.fnmatch(source, self.source) and fnmatch.fnmatch(
            target, self.target
        )


class Network:
    """Every listening port, connection and rule.

    Attributes:
        sources: Name by process id.
        rules: Rules in force.
        links: Connections open now.
    """

    def __init__(self) -> None:
        """Creates a network without faults."""
        self.sources: dict[int, str] = {}
        self.rules: list[Rule] = []
        self.links: set[Link] = set()
        self.random = random.Random(JITTER_SEED)

    def front(
        self,
        *,
        source: str,
        target: str,
        near: tuple[str, int],
        far: tuple[str, int],
    ) -> gevent.server.StreamServer:
        """Opens an address in front of a target, for one known source."""

        def serve(connection, address):
            Link(
                network=self,
                source=source,
                target=target,
                near=connection,
                address=far,
            ).run()

        server = gevent.server.StreamServer(near, serve)
        server.start()
        return server

    def listen(self, *, target: str, port: int) -> int:
        """Opens a port in front of a target and returns its number."""

        def serve(connection, address):
            source = self.find_source(address[1], server.server_port)
            Link(
                network=self,
                source=source,
                target=target,
                near=connection,
                address=("127.0.0.1", port),
            ).run()

        server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
        server.start()
        return server.server_port

    def find_source(self, port: int, listening: int) -> str:
        """Returns the name of the process that opened a connection."""
        inode = find_inode(port, listening)
        for process, name in self.sources.items():
            if inode and owns_socket(process, inode):
                return name
        return OTHER_SOURCE

    def get_rules(self, source: str, target: str) -> list[Rule]:
        """Returns the rules for a pair."""
        return [rule for rule in self.rules if rule.covers(source, target)]

    def set_rules(self, rules: list[Rule]) -> None:
        """Replaces every rule; resets what a cut covers."""
        self.rules = rules
        for link in list(self.links):
            if any(rule.cut for rule in link.get_rules()):
                link.reset()

    def reset_all(self) -> None:
        """Resets every connection once."""
        for link in list(self.links):
            link.reset()


class Link:
    """One connection through the proxy."""

    def __init__(
        self,
        *,
        network: Network,
        source: str,
        target: str,
        near,
        address: tuple[str, int],
    ) -> None:
        """Creates a link that has not reached its target yet."""
        self.network = network
        self.source = source
        self.target = target
        self.near = near
        self.address = address
        self.far = None
        self.passed_down = 0

    def get_rules(self) -> list[Rule]:
        """Returns the rules in force for this link."""
        return self.network.get_rules(self.source, self.target)

    def run(self) -> None:
        """Carries bytes both ways until either side ends."""
        if any(rule.cut for rule in self.get_rules()):
            reset_socket(self.near)
            return
        self.wait(down=False)
        try:
            self.far = socket.create_connection(self.address)
        except OSError:
            reset_socket(self.near)
            return
        for end in (self.near, self.far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.network.links.add(self)
        up = gevent.spawn(self.pump, self.near, self.far, False)
        down = gevent.spawn(self.pump, self.far, self.near, True)
        gevent.joinall([up, down])
        self.network.links.discard(self)
        self.near.close()
        self.far.close()

    def pump(self, source, sink, down: bool) -> None:
        """Carries bytes one way, under the rules at each chunk."""
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                if not data or not self.carry(data, sink, down):
                    break
        except OSError:
            self.reset()
            return
        shut(sink)

    def carry(self, data: bytes, sink, down: bool) -> bool:
        """Passes one chunk on; returns False once the link was reset."""
        self.wait(down)
        rules = self.get_rules()
        if down and any(rule.drop_answers for rule in rules):
            self.reset()
            return False
        limit = min(
            (r.cut_down_bytes for r in rules if r.cut_down_bytes), default=0
        )
        if down and limit and self.passed_down + len(data) > limit:
            sink.sendall(data[: max(0, limit - self.passed_down)])
            self.reset()
            return False
        trickle = min(
            (r.trickle_bytes for r in rules if r.trickle_bytes), default=0
        )
        for start in range(0, len(data), trickle or len(data)):
            sink.sendall(data[start : start + (trickle or len(data))])
            gevent.sleep(TRICKLE_S if trickle else 0)
        self.passed_down += len(data) if down else 0
        return True

    def wait(self, down: bool) -> None:
        """Waits out delay, jitter and one-way cuts."""
        for rule in self.get_rules():
            jitter = rule.jitter_ms * self.network.random.random()
            gevent.sleep((rule.delay_ms + jitter) / 1000)
        while any(
            rule.hold_down if down else rule.hold_up
            for rule in self.get_rules()
        ):
            gevent.sleep(HOLD_POLL_S)

    def reset(self) -> None:
        """Ends both sides with a reset."""
        for end in (self.near, self.far):
            if end is not None:
                reset_socket(end)


def find_inode(port: int, remote: int) -> str:
    """Returns the inode of the loopback socket between two ports, or empty.

    One local port may serve connections to several remote ones.
    """
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ends = [int(end.rsplit(":", 1)[1], 16) for end in fields[1:3]]
        if ends == [port, remote] and fields[9] != "0":
            return fields[9]
    return ""


def owns_socket(process: int, inode: str) -> bool:
    """Returns whether a process has a socket open."""
    try:
        return any(
            re.fullmatch(rf"socket:\[{inode}\]", str(entry.readlink()))
            for entry in pathlib.Path(f"/proc/{process}/fd").iterdir()
        )
    except OSError:
        return False


def reset_socket(end) -> None:
    """Closes a socket so that its peer sees a reset."""
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    end.close()


def shut(end) -> None:
    """Passes on the end of a stream."""
    try:
        end.shutdown(socket.SHUT_WR)
    except OSError:
        return


class Control:
    """The proxy's control interface."""

    def __init__(self, *, network: Network) -> None:
        """Keeps the network."""
        self.network = network

    def on_put_target(self, req: falcon.Request, resp: falcon.Response):
        """Opens a port in front of a target."""
        body = req.get_media()
        resp.media = {
            "port": self.network.listen(
                target=body["target"], port=body["port"]
            )
        }

    def on_put_sources(self, req: falcon.Request, resp: falcon.Response):
        """Replaces the names of the processes."""
        self.network.sources = {
            int(process): name for process, name in req.get_media().items()
        }
        resp.media = {}

    def on_put_rules(self, req: falcon.Request, resp: falcon.Response):
        """Replaces every rule."""
        self.network.set_rules([Rule(**row) for row in req.get_media()])
        resp.media = {}

    def on_put_reset(self, req: falcon.Request, resp: falcon.Response):
        """Resets every connection once."""
        self.network.reset_all()
        resp.media = {}

    def on_get_links(self, req: falcon.Request, resp: falcon.Response):
        """Lists the open connections as pairs."""
        resp.media = sorted(
            f"{link.source} {link.target}" for link in self.network.links
        )


def main() -> None:
    """Serves until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    control = Control(network=Network())
    app = falcon.App()
    for name in ("target", "sources", "rules", "reset", "links"):
        app.add_route(f"/{name}", control, suffix=name)
    http.build_server(app, host="127.0.0.1", port=options.port).serve_forever()


if __name__ == "__main__":
    main()
