"""The users' platform in one process: store, minions and advice."""

from __future__ import annotations

import dataclasses
import json
import random
import socket
import time

import gevent

from standins import proxy
from standins.users import checker
from standins.users import gangs
from standins.users import minions
from standins.users import servers
from standins.users import store

BEAT_S = 0.5
RESTART_S = 1.5
FIRST_CLOCK_S = 3_600.0
CONFIGURATION_KEY = "op/config"
SERVICE = "ledger"
HOST = "ledger.example"
KEY = "key-of-hydro"
BLOCKS = range(20, 250)
GUARD_PORT = 8199
WORKSPACE = "hydro"
LIMIT_IN_FORCE_S = 7.0  # an unavailable store delays a new configuration


class Platform:
    """Everything outside the entries.

    Attributes:
        block: Second part of the addresses; several platforms run at once.
        store: The metadata store.
        minions: Minions by id.
        addresses: Address of each minion by id.
        gone: Minions that do not register any more.
        draining: Minions that are about to leave.
        denied: Minions that the advice service lets no step use.
        advice_calls: Steps that were asked about.
        seen: What the minions have begun and ended.
        fenced: Calls that minions refused for their token.
        starts: Starts by task, on all minions.
        gangs: Gangs on all minions.
        limit_cpu: Limit of the workspace, in thousandths of a core; 0 for
            none.
        limits: The limits that were configured, the oldest first.
    """

    def __init__(
        self,
        *,
        minion_count: int = 4,
        network: proxy.Network | None = None,
        limit_cpu: int = 0,
    ) -> None:
        """Creates the platform on loopback addresses of a free block.

        Args:
            minion_count: Number of minions.
            network: Proxy between the entries and all else, or None.
            limit_cpu: Limit of the workspace, in thousandths of a core; 0 for
                none.
        """
        self.network = network
        self.guard = take_block()
        self.block = int(self.guard.getsockname()[0].split(".")[1])
        self.store = store.KeyValueStore()
        self.seen: list[minions.Begun] = []
        self.fenced: list[minions.Fenced] = []
        self.starts: dict[str, int] = {}
        self.gangs = gangs.Gangs()
        self.limit_cpu = limit_cpu
        self.limits: list[checker.Limit] = []
        self.minions: dict[str, minions.Minion] = {}
        self.addresses: dict[str, str] = {}
        self.gone: set[str] = set()
        self.draining: set[str] = set()
        self.denied: set[str] = set()
        self.advice_calls: list[str] = []
        self.servers: list = []
        for index in range(minion_count):
            self.add_minion(f"i-{index:02d}", index)
        self.advice = self.add_server(
            f"127.{self.block}.4.1:8182", self.answer_advice
        )
        self.beating = gevent.spawn(self.beat_forever)

    def add_server(self, address: str, handle: servers.Handler) -> str:
        """Serves one address; returns it."""
        self.servers.append(servers.serve(address, handle))
        return address

    def add_store(self, caller: str, index: int) -> str:
        """Serves the store at an address of one caller; returns it."""

        def answer(method, path, words, body, environ):
            return self.store.answer(method, path, words, body, caller)

        address = self.add_server(
            f"127.{self.block}.2.{index + 1}:8182", answer
        )
        return self.front(caller, "store", address, 7)

    def front(self, source: str, target: str, address: str, part: int) -> str:
        """Puts the proxy in front of an address, if there is one."""
        if self.network is None:
            return address
        host, port = address.split(":")
        near = f"127.{self.block}.{part}.{host.split('.')[3]}"
        self.servers.append(
            self.network.front(
                source=source,
                target=target,
                near=(near, int(port)),
                far=(host, int(port)),
            )
        )
        return f"{near}:{port}"

    def add_minion(self, minion_id: str, index: int) -> minions.Minion:
        """Adds a minion and registers it."""
        minion = minions.Minion(
            minion_id=minion_id,
            seen=self.seen,
            fenced=self.fenced,
            starts=self.starts,
            gangs=self.gangs,
            draw_clock_s=lambda: random.uniform(0.0, FIRST_CLOCK_S),
        )

        def answer(method, path, words, body, environ):
            expected = environ.get("HTTP_EXPECT_INSTANCE", "")
            return minion.answer(path, body, expected)

        minion.on_crash = self.plan_return
        self.minions[minion_id] = minion
        address = self.add_server(
            f"127.{self.block}.3.{index + 1}:8080", answer
        )
        minion.on_rebirth = self.servers[-1].disconnect
        self.addresses[minion_id] = self.front("entry", minion_id, address, 6)
        self.register(minion)
        return minion

    def plan_return(self, minion: minions.Minion, how: str) -> None:
        """Lets a minion that has crashed come back after a while."""
        gevent.spawn_later(RESTART_S, self.bring_back, minion, how)

    def bring_back(self, minion: minions.Minion, how: str) -> None:
        """Brings a minion back, under the same id or as a new one."""
        if how == "same":
            minion.silent = False
            self.register(minion)
            return
        self.gone.add(minion.minion_id)
        self.store.delete(f"servers/{minion.minion_id}")
        index = len(self.minions)
        self.add_minion(f"i-{index:02d}", index)

    def register(self, minion: minions.Minion) -> None:
        """Writes a minion's registration."""
        index = list(self.minions).index(minion.minion_id)
        draining = minion.minion_id in self.draining
        document = {
            "service": SERVICE,
            "address": self.addresses[minion.minion_id],
            "zone": f"zone-{index % 4}",
            "version": "v1",
            "slots": 8,
            "state": "draining" if draining else "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": minion.cpu, "memMb": 32_768, "gpu": 0},
            "labels": [minion.kind, f"r1-{index // 6}"],
            "clockMs": int(minion.get_clock()),
            "born": minion.incarnation,
            "seq": int(time.monotonic() * 1000),
        }
        self.store.put(
            f"servers/{minion.minion_id}", json.dumps(document).encode()
        )

    def beat_forever(self) -> None:
        """Registers every minion again from time to time."""
        while True:
            gevent.sleep(BEAT_S)
            for minion_id, minion in list(self.minions.items()):
                minion.advance()
                if minion_id not in self.addresses or minion.silent:
                    continue
                if minion_id not in self.gone:
                    self.register(minion)

    def remove(self, minion_id: str) -> None:
        """Lets a minion leave: all that runs there ends unseen."""
        self.gone.add(minion_id)
        minion = self.minions[minion_id]
        for run in list(minion.runs.values()):
            minion.end(run, "gone")
        minion.silent = True
        self.store.delete(f"servers/{minion_id}")

    def configure(self, version: int = 1, **changes: object) -> None:
        """Puts a configuration in force; `changes` replace queue fields."""
        self.record_limit()
        queue = {
            "name": "runs",
            "host": HOST,
            "prefix": "/runs/",
            "kind": "non_idempotent",
            "timeoutMs": 3_000,
            "targetLatencyMs": 1_000,
            "priority": 1,
            "service": SERVICE,
            "attempts": 2,
            "stretch": 3.0,
            "noAuth": False,
        } | changes
        document = {
            "version": version,
            "routes": [
                queue,
                queue | {"name": "checks", "prefix": "/checks/", "priority": 0},
            ],
            "services": [{"name": SERVICE, "rejectsOverload": False}],
            "limits": {"maxBodyBytes": 262_144},
            "tenants": [
                {
                    "name": WORKSPACE,
                    "apiKeys": [KEY],
                    "weight": 10,
                    "ceiling": {"cpu": self.limit_cpu, "memMb": 0, "gpu": 0},
                }
            ],
        }
        self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())

    def record_limit(self) -> None:
        """Records the present limit, which replaces the last one."""
        now = time.monotonic()
        if self.limits:
            if self.limits[-1].cpu == self.limit_cpu:
                return
            self.limits[-1] = dataclasses.replace(
                self.limits[-1], until_s=now + LIMIT_IN_FORCE_S
            )
        self.limits.append(
            checker.Limit(workspace=WORKSPACE, cpu=self.limit_cpu, from_s=now)
        )

    def answer_advice(self, method, path, words, body, environ):
        """Answers which minions may run a step."""
        self.advice_calls.append(body["step"])
        good = [
            [minion_id, f"ticket-{minion_id}"]
            for minion_id in body["workers"]
            if minion_id not in self.denied
        ]
        return 200, {"good": good, "validMs": 2_500}

    def close(self) -> None:
        """Stops every server."""
        self.beating.kill()
        for server in self.servers:
            server.stop(timeout=0)
        self.guard.close()


def take_block() -> socket.socket:
    """Returns a socket that holds the first free block of addresses."""
    for block in BLOCKS:
        guard = socket.socket()
        try:
            guard.bind((f"127.{block}.5.1", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        guard.listen()
        return guard
    raise RuntimeError("every block of loopback addresses is taken")
