"""Starts a store, workers and entries as processes on loopback."""

import dataclasses
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
WORKERS_PER_RACK = 6


@dataclasses.dataclass(kw_only=True)
class Deployment:
    """Size of one users' cell.

    Attributes:
        name: Name of the deployment.
        service: Service its minions answer for.
        failure_domains: Names of its failure domains.
        workers: Number of workers.
        entries: Number of entries.
    """

    name: str
    service: str
    failure_domains: tuple[str, ...] = ("a", "b", "c", "d")
    workers: int = 24
    entries: int = 6


def find_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


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
    """

    def __init__(self, *, name: str, url: str, arguments: list[str], log: str):
        """Starts the process."""
        self.name = name
        self.url = url
        self.arguments = arguments
        self.log_path = log
        with open(log, "ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: int) -> None:
        """Sends a signal."""
        os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """Kills the process, stopped or not."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self) -> int:
        """Asks the process to end and returns its exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S * 3)


class Cell:
    """A whole cell of processes.

    Attributes:
        store: The store stand-in.
        workers: The worker stand-ins.
        entries: The entries.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        log_folder: str,
        environment: dict[str, str] | None = None,
    ) -> None:
        """Creates a cell that is not started yet."""
        self.deployment = deployment
        self.log_folder = log_folder
        self.environment = environment or {}
        self.store: Process | None = None
        self.workers: list[Process] = []
        self.entries: list[Process] = []

    def start(self) -> None:
        """Starts everything and waits until it is ready."""
        os.makedirs(self.log_folder, exist_ok=True)
        self.start_store()
        for number in range(self.deployment.workers):
            self.workers.append(self.start_worker(number))
        for number in range(self.deployment.entries):
            self.entries.append(self.start_entry(number))

    def start_store(self) -> None:
        """Starts the store stand-in."""
        port = find_port()
        self.store = Process(
            name="store",
            url=f"http://127.0.0.1:{port}",
            arguments=["standins.store", "--port", str(port)],
            log=f"{self.log_folder}/store.log",
        )
        wait_for(f"{self.store.url}/counts")

    def start_worker(self, number: int) -> Process:
        """Starts one worker stand-in."""
        domains = self.deployment.failure_domains
        rack = number // WORKERS_PER_RACK
        port = find_port()
        return Process(
            name=f"worker-{number}",
            url=f"http://127.0.0.1:{port}",
            arguments=[
                "standins.worker",
                *("--worker-id", f"worker-{number}"),
                *("--port", str(port)),
                *("--store-url", self.store.url),
                *("--failure-domain", domains[rack % len(domains)]),
                *("--rack", f"rack-{rack}"),
                *("--service", self.deployment.service),
            ],
            log=f"{self.log_folder}/worker-{number}.log",
        )

    def start_entry(self, number: int, store_url: str = "") -> Process:
        """Starts one entry."""
        domains = self.deployment.failure_domains
        port = find_port()
        flags = {
            "name": f"entry-{number}",
            "failure-domain": domains[number % len(domains)],
            "http-port": str(port),
            "peer-port": str(find_port()),
            "store-url": store_url or self.store.url,
            **self.environment,
        }
        return Process(
            name=f"entry-{number}",
            url=f"http://127.0.0.1:{port}",
            arguments=[
                "hickoryreach_entry",
                "serve",
                *(f"--{name}={value}" for name, value in flags.items()),
            ],
            log=f"{self.log_folder}/entry-{number}.log",
        )

    def wait_until_ready(self) -> None:
        """Waits until each entry is ready."""
        for entry in self.entries:
            wait_for(f"{entry.url}/ready")

    def stop(self) -> None:
        """Ends every process by its own id."""
        for process in (*self.entries, *self.workers, self.store):
            if process is not None:
                process.kill()


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
