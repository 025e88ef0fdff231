"""Entries as processes on the stand-in of the users' platform."""

from __future__ import annotations

import base64
import dataclasses
import http.client
import json
import os
import pathlib
import resource
import secrets
import signal
import subprocess
import sys
import tempfile
import time

import gevent
import geventhttpclient
import yaml

from standins import proxy
from standins.users import platform

FRONT_PORT = 8183
READY_PORT = 8184
CONTROL_PORT = 8180
METRICS_PORT = 9464
START_LIMIT_S = 30.0
POLL_S = 0.05
MODULE = "hickoryreach_entry"
CALL_TIMEOUT_S = 4.0
FILE_DESCRIPTORS = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of an entry's machine.

    Attributes:
        memory_mb: Memory, in MB.
        max_fds: Descriptors, of which `FILE_DESCRIPTORS` are for files.
    """

    memory_mb: int
    max_fds: int

    @property
    def max_sockets(self) -> int:
        """Descriptors that sockets and pipes share."""
        return self.max_fds - FILE_DESCRIPTORS

    def to_settings(self) -> dict[str, int]:
        """Returns the limits as fields of the settings file."""
        return {"memoryMb": self.memory_mb, "maxFds": self.max_fds}


class Entry:
    """One entry process.

    Attributes:
        name: Its name.
        host: Address that it serves at.
        process: The running process, or None.
        log_path: Where its log goes.
    """

    def __init__(
        self,
        *,
        users: platform.Platform,
        index: int,
        folder: pathlib.Path,
        module: str = MODULE,
        limits: Limits | None = None,
    ) -> None:
        """Writes the entry's settings; starts nothing.

        Args:
            users: The platform.
            index: Number of the entry.
            folder: Where its settings and its log go.
            module: What is run, with words that go before the command.
            limits: Limits of the entry's machine, or None for none.
        """
        self.limits = limits
        self.module = module.split()
        self.name = f"entry-{index}"
        self.host = f"127.{users.block}.1.{index + 1}"
        self.settings_path = folder / f"{self.name}.yaml"
        self.log_path = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None
        self.settings_path.write_text(
            yaml.safe_dump(
                {
                    "node": self.name,
                    "zone": f"zone-{index % 4}",
                    "listen": {
                        "front": f"{self.host}:{FRONT_PORT}",
                        "ready": f"{self.host}:{READY_PORT}",
                        "control": f"{self.host}:{CONTROL_PORT}",
                    },
                    "limits": {"cpuShare": 1.0, "cores": 1}
                    | (limits.to_settings() if limits else {}),
                    "heartbeatMs": 1_500,
                    "orders": "call",
                    "advice": users.advice,
                    "platform": {"address": users.add_store(self.name, index)},
                }
            ),
            encoding="utf-8",
        )

    def start(self) -> None:
        """Starts the process."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.module, "cell"],
                env=os.environ
                | {"HICKORYREACH_CONFIG": str(self.settings_path)},
                stdout=log,
                stderr=log,
            )
        if self.limits is not None:
            sockets = self.limits.max_sockets
            resource.prlimit(
                self.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets)
            )

    def signal(self, number: int) -> None:
        """Sends the process a signal."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.process.kill()
        self.wait()

    def wait(self) -> int:
        """Waits for the end of the process; returns its exit code."""
        while self.process.poll() is None:
            gevent.sleep(POLL_S)
        return self.process.returncode

    def is_ready(self) -> bool:
        """Returns whether it reports itself ready."""
        try:
            status, _ = self.call("GET", "/ready", port=READY_PORT)
        except OSError:
            return False
        return status == 200

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        port: int = FRONT_PORT,
        key: str = platform.KEY,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, object]:
        """Makes one call; returns its status and decoded body."""
        client = geventhttpclient.HTTPClient(
            self.host,
            port=port,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )
        try:
            response = client.request(
                method,
                path,
                body=b"" if body is None else json.dumps(body).encode(),
                headers={
                    "Host": platform.HOST,
                    "Authorization": f"Token {key}",
                    "Request-Deadline-Ms": "3000",
                },
            )
            status = response.status_code
            data = bytes(response.read())
        except http.client.HTTPException as error:
            raise ConnectionError(str(error)) from error
        finally:
            client.close()
        return status, json.loads(data) if data else None


class Cell:
    """A platform and its entries.

    Attributes:
        users: The platform.
        entries: The entries.
    """

    def __init__(
        self,
        *,
        entry_count: int = 3,
        minion_count: int = 4,
        network: proxy.Network | None = None,
        module: str = MODULE,
        limit_cpu: int = 0,
        limits: Limits | None = None,
    ) -> None:
        """Starts a cell, behind a proxy if one is given.

        A workspace may use `limit_cpu` thousandths of a core; 0 for any.
        `limits` are those of each entry's machine.
        """
        self.users = platform.Platform(
            minion_count=minion_count, network=network, limit_cpu=limit_cpu
        )
        self.users.configure()
        self.folder = tempfile.TemporaryDirectory(prefix="hickoryreach-")
        self.entries = [
            Entry(
                users=self.users,
                index=index,
                folder=pathlib.Path(self.folder.name),
                module=module,
                limits=limits,
            )
            for index in range(entry_count)
        ]
        for entry in self.entries:
            entry.start()

    def wait_ready(self) -> None:
        """Waits until every running entry is ready."""
        self.wait_for(
            lambda: all(
                entry.is_ready()
                for entry in self.entries
                if entry.process.poll() is None
            )
        )

    def wait_for(self, is_done, limit_s: float = START_LIMIT_S) -> None:
        """Waits until something holds.

        Raises:
            TimeoutError: It does not hold after `limit_s`.
        """
        deadline = time.monotonic() + limit_s
        while not is_done():
            if time.monotonic() > deadline:
                raise TimeoutError(f"not so after {limit_s} s")
            gevent.sleep(POLL_S)

    def find_owner(self) -> Entry | None:
        """Returns the entry that the store names as owner."""
        item = self.users.store.items.get("hickoryreach/owner")
        if item is None:
            return None
        name = json.loads(base64.b64decode(item.value))["name"]
        return next(each for each in self.entries if each.name == name)

    def submit(
        self,
        entry: Entry,
        *,
        queue: str = "runs",
        payload: dict | None = None,
        **step: object,
    ) -> str:
        """Hands a job of one step in; returns its id.

        Raises:
            AssertionError: It was not accepted.
        """
        job_id = secrets.token_hex(8)
        status = self.submit_as(
            entry, job_id, payload or {"work_ms": 100}, queue=queue, **step
        )
        if status != 200:
            raise AssertionError(f"status {status}")
        return job_id

    def submit_as(
        self,
        entry: Entry,
        job_id: str,
        payload: dict,
        *,
        queue: str = "runs",
        later_steps: int = 0,
        **step: object,
    ) -> int:
        """Hands a job in under an id; returns the status.

        It has one step, and `later_steps` like it, each after the one before.
        """
        first = {"count": 1, "cpu": 1_000, "estimateMs": 100} | step
        later = [first | {"after": [number]} for number in range(later_steps)]
        body = {"spec": json.dumps(payload), "steps": [first, *later]}
        status, _ = entry.call("POST", f"/{queue}/{job_id}", body)
        return status

    def get_state(self, job_id: str, queue: str = "runs") -> str:
        """Returns a job's state, from the first entry that tells it."""
        for entry in self.entries:
            if entry.process.poll() is not None:
                continue
            try:
                status, body = entry.call("GET", f"/{queue}/{job_id}")
            except OSError:
                continue
            if status == 200:
                return body["state"]
        return ""

    def wait_state(self, job_id: str, state: str, queue: str = "runs") -> None:
        """Waits until a job is shown in a state."""
        self.wait_for(lambda: self.get_state(job_id, queue) == state)

    def close(self) -> None:
        """Ends every process and server that this cell started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.signal(signal.SIGCONT)
                entry.kill()
        self.users.close()
        self.folder.cleanup()
