"""Starts a store, workers and entries as processes on loopback."""

import dataclasses
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from standins import ports

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
WORKERS_PER_RACK = 6
LOG_TAIL_LINES = 12
ADVERTISE_VARIABLE = "HICKORYREACH_PEER_ADVERTISE"
SHARD_TAKEN = re.compile(r"=shard_taken\b.*?\bshard=(\d+)\b.*?\bterm=(\d+)")
ENTRY_MODULE = "hickoryreach_entry"


@dataclasses.dataclass(kw_only=True)
class Deployment:
    """Size of one users' cell.

    Attributes:
        name: Name of the deployment.
        service: Service its minions answer for.
        failure_domains: Names of its failure domains.
        workers: Number of workers.
        entries: Number of entries.
        workers_per_rack: Workers in each rack; each rack stands in the next
            failure domain.
    """

    name: str
    service: str
    failure_domains: tuple[str, ...] = ("a", "b", "c", "d")
    workers: int = 24
    entries: int = 6
    workers_per_rack: int = WORKERS_PER_RACK


def call(
    method: str,
    url: str,
    body: object = None,
    key: str = "",
    timeout_s: float = 30.0,
) -> tuple[int, object]:
    """Makes one HTTP call and returns its status and JSON body."""
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    request = urllib.request.Request(
        url,
        data=None if body is None else json.dumps(body).encode(),
        headers=headers,
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as reply:
            data = reply.read()
            status = reply.status
    except urllib.error.HTTPError as error:
        data = error.read()
        status = error.code
    return status, json.loads(data) if data else None


class Process:
    """One child process, ended by its own id.

    Attributes:
        name: Name for messages.
        url: Base URL it serves.
        public_url: URL through the proxy, or `url` without one.
    """

    def __init__(
        self,
        *,
        name: str,
        url: str,
        arguments: list[str],
        log: str,
        public_url: str = "",
        variables: dict[str, str] | None = None,
    ) -> None:
        """Starts the process."""
        self.name = name
        self.url = url
        self.public_url = public_url or url
        self.arguments = arguments
        self.log_path = log
        with open(log, "ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env=os.environ | (variables or {}),
            )

    def signal(self, number: int) -> None:
        """Sends a signal."""
        os.kill(self.popen.pid, number)

    def freeze(self) -> None:
        """Stops the process until it is thawed."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a frozen process go on."""
        self.signal(signal.SIGCONT)

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.popen.poll() is None

    def kill(self) -> None:
        """Kills the process, stopped or not."""
        if self.is_running():
            self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S * 3) -> int:
        """Asks the process to end and returns its exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)

    def ask(self) -> None:
        """Asks the process to end, without waiting for it."""
        self.signal(signal.SIGTERM)

    def control(self, **fields: object) -> None:
        """Brings a fault about in a stand-in."""
        put(f"{self.url}/control", fields)


class Cell:
    """A whole cell of processes.

    Attributes:
        store: The store stand-in.
        proxy: The proxy, where the cell has one.
        workers: The worker stand-ins.
        entries: The entries.
        entry_module: Module that is run as an entry.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        log_folder: str,
        environment: dict[str, str] | None = None,
        proxied: bool = False,
        entry_module: str = ENTRY_MODULE,
        worker_flags: dict[str, str] | None = None,
    ) -> None:
        """Creates a cell that is not started yet.

        Args:
            deployment: Its size.
            log_folder: Folder of the processes' logs and records.
            environment: Further flags of each entry.
            proxied: Whether connections go through the proxy.
            entry_module: Module that is run as an entry.
            worker_flags: Further flags of each worker.
        """
        self.deployment = deployment
        self.log_folder = log_folder
        self.environment = environment or {}
        self.proxied = proxied
        self.entry_module = entry_module
        self.worker_flags = worker_flags or {}
        self.store: Process | None = None
        self.proxy: Process | None = None
        self.workers: list[Process] = []
        self.entries: list[Process] = []

    def start(self) -> None:
        """Starts everything; the entries need not be ready yet."""
        os.makedirs(self.log_folder, exist_ok=True)
        if self.proxied:
            self.start_proxy()
        self.start_store()
        for number in range(self.deployment.workers):
            self.workers.append(self.start_worker(number))
        for number in range(self.deployment.entries):
            self.entries.append(self.start_entry(number))

    def start_proxy(self) -> None:
        """Starts the proxy."""
        port = ports.find_port()
        self.proxy = Process(
            name="proxy",
            url=f"http://127.0.0.1:{port}",
            arguments=["standins.proxy", "--port", str(port)],
            log=f"{self.log_folder}/proxy.log",
        )
        wait_for(f"{self.proxy.url}/links")

    def expose(self, target: str, port: int) -> int:
        """Returns the port under which others reach a target."""
        if self.proxy is None:
            return port
        answer = put(
            f"{self.proxy.url}/target", {"target": target, "port": port}
        )
        return answer["port"]

    def start_store(self) -> None:
        """Starts the store stand-in."""
        port = ports.find_port()
        self.store = Process(
            name="store",
            url=f"http://127.0.0.1:{port}",
            public_url=f"http://127.0.0.1:{self.expose('store', port)}",
            arguments=["standins.store", "--port", str(port)],
            log=f"{self.log_folder}/store.log",
        )
        wait_for(f"{self.store.url}/counts")

    def start_worker(self, number: int) -> Process:
        """Starts one worker stand-in."""
        domains = self.deployment.failure_domains
        rack = number // self.deployment.workers_per_rack
        port = ports.find_port()
        minion_port = ports.find_port()
        name = f"worker-{number}"
        flags = {
            "worker-id": name,
            "port": port,
            "minion-port": minion_port,
            "listed-port": self.expose(name, port),
            "listed-minion-port": self.expose(f"minion-{number}", minion_port),
            "store-url": self.store.url,
            "record": f"{self.log_folder}/{name}.record",
            "failure-domain": domains[rack % len(domains)],
            "rack": f"rack-{rack}",
            "service": self.deployment.service,
            **self.worker_flags,
        }
        return Process(
            name=name,
            url=f"http://127.0.0.1:{port}",
            arguments=["standins.worker", *render_flags(flags)],
            log=f"{self.log_folder}/{name}.log",
        )

    def start_entry(self, number: int, module: str = "") -> Process:
        """Starts one entry."""
        domains = self.deployment.failure_domains
        port = ports.find_port()
        peer_port = ports.find_port()
        name = f"entry-{number}"
        listed = self.expose(f"peer-{number}", peer_port)
        flags = {
            "name": name,
            "failure-domain": domains[number % len(domains)],
            "http-port": port,
            "peer-port": peer_port,
            "store-url": self.store.public_url,
            **self.environment,
        }
        entry = Process(
            name=name,
            url=f"http://127.0.0.1:{port}",
            public_url=f"http://127.0.0.1:{self.expose(name, port)}",
            arguments=[
                *(module or self.entry_module).split(),
                "serve",
                *render_flags(flags),
            ],
            log=f"{self.log_folder}/{name}.log",
            variables={ADVERTISE_VARIABLE: f"127.0.0.1:{listed}"},
        )
        self.name_sources([*self.entries, entry])
        return entry

    def name_sources(self, entries: list[Process]) -> None:
        """Tells the proxy which process is which entry."""
        if self.proxy is not None:
            names = {entry.popen.pid: entry.name for entry in entries}
            put(f"{self.proxy.url}/sources", names)

    def replace_entry(self, number: int) -> None:
        """Starts a new entry in the place of one that has ended."""
        self.entries[number] = self.start_entry(number)
        self.name_sources(self.entries)

    def set_rules(self, *rules: dict) -> None:
        """Replaces every rule of the proxy; none heals everything."""
        put(f"{self.proxy.url}/rules", list(rules))

    def kill_worker(self, number: int) -> None:
        """Kills a worker and what runs on it."""
        worker = self.workers[number]
        worker.kill()
        line = {
            "at": time.monotonic(),
            "worker": worker.name,
            "what": "died",
        }
        path = pathlib.Path(f"{self.log_folder}/{worker.name}.record")
        with path.open("a") as record:
            record.write(json.dumps(line) + "\n")

    def find_owner(self, shard: int = 0) -> int:
        """Returns the number of the entry that last took a shard."""
        takes = []
        for number, entry in enumerate(self.entries):
            text = pathlib.Path(entry.log_path).read_text()
            takes += [
                (int(term), number)
                for taken, term in SHARD_TAKEN.findall(text)
                if int(taken) == shard
            ]
        return max(takes)[1]

    def wait_until_ready(self) -> None:
        """Waits until each entry is ready.

        Raises:
            TimeoutError: One was not; the end of its log is in the message.
        """
        for entry in self.entries:
            try:
                wait_for(f"{entry.url}/ready")
            except TimeoutError as error:
                lines = pathlib.Path(entry.log_path).read_text().splitlines()
                tail = "\n".join(lines[-LOG_TAIL_LINES:])
                raise TimeoutError(f"{error}: {tail}") from None

    def stop(self) -> None:
        """Ends every process by its own id."""
        for process in (*self.entries, *self.workers, self.store, self.proxy):
            if process is not None:
                process.kill()


def render_flags(flags: dict[str, object]) -> list[str]:
    """Returns command-line flags."""
    return [f"--{name}={value}" for name, value in flags.items()]


def put(url: str, body: object) -> dict:
    """Puts JSON to a stand-in's control.

    Raises:
        RuntimeError: The stand-in refused it.
    """
    status, answer = call("PUT", url, body)
    if status != 200:
        raise RuntimeError(f"{url} answered {status}: {answer}")
    return answer


def wait_for(url: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Waits until a URL answers 200.

    Raises:
        TimeoutError: It did not within the time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            status, _ = call("GET", url, timeout_s=1.0)
            if status == 200:
                return
        except OSError:
            pass
        time.sleep(POLL_S)
    raise TimeoutError(f"{url} was not ready in {timeout_s} s")
