"""A small deployment for the review: its platform, entries and records.

The entries are the project's own programs, started with the command of the
deploy file. The platform, its minions and its advice service are the project's
stand-ins, changed where they are simpler than the users' pages: heartbeats
come every 1.5 s, a registration lapses after three of them, a minion that has
lost power returns as another life, and progress is told.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import json
import os
import pathlib
import secrets
import shutil
import signal
import subprocess
import tempfile
import time

import gevent
import yaml

from standins import proxy
from standins.users import cell
from standins.users import minions
from standins.users import platform

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ("python3", "-S", "deploy/entry.py")
HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S
VALID_MS = 2_500
HOLD_LIMIT_MS = 10_000
STOP_GRACE_MS = 900
CRASHED = minions.CRASHED
OK = 200
HELD = 0
BROKEN = 1
NOT_RUN = 2
ZONES = ("bc-west-a", "bc-west-b", "bc-west-c", "bc-west-d")
REGION = "bc-west"


class Minion(minions.Minion):
    """A minion that tells its progress."""

    def __init__(self, *, machine: int, kind: str, **options: object) -> None:
        """Creates a minion on a machine.

        Args:
            machine: Number of its machine.
            kind: First of its labels.
            **options: Arguments of the project's stand-in.
        """
        super().__init__(hold_limit_ms=HOLD_LIMIT_MS, **options)
        self.machine = machine
        self.kind = kind

    def hold(self, body: dict) -> tuple[int, dict] | None:
        """Answers a poll with the progress of each run."""
        answered = super().hold(body)
        if answered is None or answered[0] != OK:
            return answered
        now = self.get_clock()
        for row in answered[1]["running"]:
            run = self.runs.get(row[0])
            if run is not None:
                done = run.done_ms + now - run.begun_ms
                row[3] = max(0, min(99, int(100 * done / run.work_ms)))
        return answered


class Platform(platform.Platform):
    """The users' platform with minions that lose power.

    Attributes:
        kinds: Kind of each machine, in order.
        rack_size: Machines of a rack.
        terms: Terms of the advice of the queue, or None without advice.
        is_allowed: Whether the policy of the queue lets a machine run a step.
        lives: Lives that minions have begun.
        registered: Ids under which minions have registered, with the time of
            the last heartbeat.
    """

    def __init__(
        self,
        *,
        kinds: Iterable[str],
        rack_size: int = 6,
        terms: dict | None = None,
        is_allowed: Callable[[int], bool] = lambda machine: True,
        network: proxy.Network | None = None,
    ) -> None:
        """Starts the platform; see the attributes."""
        self.kinds = list(kinds)
        self.rack_size = rack_size
        self.terms = terms
        self.is_allowed = is_allowed
        self.lives = 0
        self.registered: dict[str, float] = {}
        super().__init__(minion_count=len(self.kinds), network=network)

    def name_life(self) -> str:
        """Returns the id of a new life."""
        self.lives += 1
        return f"i-{secrets.token_hex(3)}{self.lives:02d}"

    def add_minion(self, minion_id: str, index: int) -> Minion:
        """Adds a machine with the first life of its minion."""
        minion = Minion(
            machine=index,
            kind=self.kinds[index],
            minion_id=self.name_life(),
            seen=self.seen,
            starts=self.starts,
            gangs=self.gangs,
        )

        def answer(method, path, words, body, environ):
            expected = environ.get("HTTP_EXPECT_INSTANCE", "")
            return minion.answer(path, body, expected)

        self.minions[minion.minion_id] = minion
        address = self.add_server(
            f"127.{self.block}.3.{index + 1}:8080", answer
        )
        self.addresses[minion.minion_id] = self.front(
            "entry", f"machine-{index}", address, 6
        )
        self.register(minion)
        return minion

    def register(self, minion: Minion) -> None:
        """Writes a minion's registration."""
        document = {
            "service": platform.SERVICE,
            "address": self.addresses[minion.minion_id],
            "zone": ZONES[minion.machine % len(ZONES)],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": minion.cpu, "memMb": 32_768, "gpu": 0},
            "labels": [minion.kind, f"r1-{minion.machine // self.rack_size}"],
            "clockMs": int(minion.get_clock()),
            "born": minion.incarnation,
            "machine": f"m-{minion.machine:02d}",
            "seq": int(time.monotonic() * 1000),
        }
        self.registered[minion.minion_id] = time.monotonic()
        self.store.put(
            f"servers/{minion.minion_id}", json.dumps(document).encode()
        )

    def beat_forever(self) -> None:
        """Sends heartbeats; removes registrations that have lapsed."""
        while True:
            gevent.sleep(0.1)
            now = time.monotonic()
            for minion_id, beat_at in list(self.registered.items()):
                minion = self.minions.get(minion_id)
                if minion is not None and not minion.silent:
                    minion.advance()
                    if now - beat_at >= HEARTBEAT_S:
                        self.register(minion)
                elif now - beat_at >= LAPSE_S:
                    del self.registered[minion_id]
                    self.store.delete(f"servers/{minion_id}")

    def lose_power(self, machines: Iterable[Minion], for_s: float) -> None:
        """Takes the power from minions; they return as other lives."""
        chosen = list(machines)
        for minion in chosen:
            for run in list(minion.runs.values()):
                minion.end(run, CRASHED)
            minion.silent = True
        for minion in chosen:
            gevent.spawn_later(for_s, self.begin_life, minion, minion.kind)

    def begin_life(
        self, minion: Minion, kind: str, minion_id: str = ""
    ) -> None:
        """Begins another life of a minion, under another id if none is given.

        It answers at the address that it had.
        """
        address = self.addresses[minion.minion_id]
        minion_id = minion_id or self.name_life()
        if minion_id != minion.minion_id:
            del self.minions[minion.minion_id]
        minion.be_reborn()
        minion.minion_id, minion.kind = minion_id, kind
        self.minions[minion_id] = minion
        self.addresses[minion_id] = address
        minion.silent = False
        self.register(minion)

    def answer_advice(self, method, path, words, body, environ):
        """Answers which minions may run a step, after the time it takes."""
        self.advice_calls.append(body["step"])
        asked = body["workers"]
        terms = self.terms or {}
        cost_ms = terms.get("decideMs", 0) + len(asked) * terms.get(
            "periodMs", 0
        )
        gevent.sleep(cost_ms / 1000)
        return 200, {
            "good": [
                [minion_id, f"ticket-{minion_id}"]
                for minion_id in asked
                if minion_id in self.minions
                and self.is_allowed(self.minions[minion_id].machine)
            ]
        }

    def configure(self, version: int = 1, **changes: object) -> None:
        """Puts a configuration in force, with advice if there are terms."""
        if self.terms is not None:
            changes = {"advice": self.terms} | changes
        super().configure(version, **changes)


class Entry(cell.Entry):
    """One entry process, started as the deploy file says."""

    def __init__(
        self, *, users: Platform, index: int, folder: pathlib.Path, count: int
    ) -> None:
        """Writes the settings file with the fields of the users' page."""
        super().__init__(users=users, index=index, folder=folder)
        settings = yaml.safe_load(self.settings_path.read_text("utf-8"))
        settings |= {
            "role": "entry",
            "class": "edge",
            "serves": ["edge", "control"],
            "ip": self.host,
            "zone": ZONES[index % len(ZONES)],
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "seeds": [
                f"127.{users.block}.1.{each + 1}:{cell.CONTROL_PORT}"
                for each in range(min(3, count))
            ],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300},
            "bounds": {
                "graceS": 6,
                "holdMaxMs": HOLD_LIMIT_MS,
                "stopGraceMs": STOP_GRACE_MS,
                "status_s": 120,
            },
        }
        self.settings_path.write_text(yaml.safe_dump(settings), "utf-8")

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["HICKORYREACH_CONFIG"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=variables, stdout=log, stderr=log
            )


class Trial(cell.Cell):
    """A small deployment, and a record of what was sent, answered and run.

    Attributes:
        trouble: Whether the disruption is brought about.
        lines: Lines of the record, with their time in s.
        begun_at: Start of the record, on the monotonic clock in s.
    """

    def __init__(
        self, *, users: Platform, trouble: bool, entry_count: int = 4
    ) -> None:
        """Starts the entries."""
        self.trouble = trouble
        self.begun_at = time.monotonic()
        self.lines: list[tuple[float, str]] = []
        self.users = users
        users.configure()
        self.folder = tempfile.TemporaryDirectory(prefix="hickoryreach-")
        self.entries = [
            Entry(
                users=users,
                index=index,
                folder=pathlib.Path(self.folder.name),
                count=entry_count,
            )
            for index in range(entry_count)
        ]
        for entry in self.entries:
            entry.start()

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        self.lines.append((time.monotonic(), text))

    def hand_in(self, entry: Entry, payload: dict, **step: object) -> str:
        """Hands a job of one step in; returns its id.

        Raises:
            RuntimeError: It was not accepted.
        """
        job_id = secrets.token_hex(8)
        self.note(f"sent POST {job_id} to {entry.name}: {payload} {step}")
        status = self.submit_as(entry, job_id, payload, **step)
        self.note(f"answered POST {job_id}: {status}")
        if status != OK:
            raise RuntimeError(f"status {status}")
        return job_id

    def ask(self, job_id: str) -> str:
        """Returns a job's state, which goes into the record."""
        state = self.get_state(job_id)
        self.note(f"answered GET {job_id}: {state or 'nothing'}")
        return state

    def list_runs(self, job_id: str) -> list[minions.Begun]:
        """Returns what minions have begun and ended of a job."""
        return [
            each for each in self.users.seen if each.task.startswith(job_id)
        ]

    def count_starts(self, job_id: str) -> int:
        """Returns how often tasks of a job were started."""
        return sum(each.what == "start" for each in self.list_runs(job_id))

    def is_running(self, job_id: str) -> bool:
        """Returns whether a task of a job runs."""
        return any(
            run.task.startswith(job_id)
            for minion in self.users.minions.values()
            for run in minion.runs.values()
        )

    def save(self, folder: pathlib.Path, verdict: str) -> None:
        """Writes the record, what the minions ran included."""
        rows = self.lines + [
            (
                each.at_s,
                f"ran {each.what} {each.task} run {each.number} on "
                f"{each.minion_id} {each.how}".rstrip(),
            )
            for each in self.users.seen
        ]
        text = "".join(
            f"{at - self.begun_at:8.3f} {row}\n" for at, row in sorted(rows)
        )
        (folder / "record.txt").write_text(text + verdict + "\n", "utf-8")

    def copy_logs(self) -> None:
        """Copies the logs to the folder that KEEP_LOGS names, if any."""
        if not os.environ.get("KEEP_LOGS"):
            return
        target = pathlib.Path(os.environ["KEEP_LOGS"])
        target.mkdir(parents=True, exist_ok=True)
        for entry in self.entries:
            shutil.copy(entry.log_path, target)

    def close(self) -> None:
        """Ends every process and server that this trial started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.signal(signal.SIGCONT)
                entry.kill()
        self.users.close()
        self.folder.cleanup()


def serve_trial(
    folder: pathlib.Path, build: Callable[[], Trial], play: Callable
) -> int:
    """Plays a trial; returns the exit code of its script.

    Args:
        folder: Where the record goes.
        build: Starts the trial.
        play: Brings the disruption about; returns what breaks the rule, or "".
    """
    trial = build()
    try:
        trial.wait_ready()
        fault = play(trial)
        code = BROKEN if fault else HELD
        verdict = f"broken: {fault}" if fault else "held"
    except (OSError, RuntimeError, TimeoutError) as error:
        code, verdict = NOT_RUN, f"could not run: {error!r}"
    finally:
        trial.copy_logs()
        trial.close()
    trial.save(folder, verdict)
    print(verdict)
    return code
