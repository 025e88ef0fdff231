"""What the scripts of the third review share: platform, entries, record.

The store, the minions and the HTTP servers are the project's own stand-ins.
Entries are started with the command of the deploy file.
"""

import base64
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import gevent
import yaml

from standins.users import cell
from standins.users import minions
from standins.users import platform

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of the smallest deployment of the pages (cedarline-goreg).
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 10000,
    "stopGraceMs": 900,
    "gangWaitMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpointS": 1,
    "restoreMs": 250,
    "leaseMs": 3000,
}

LIMITS = {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100}


class Minion(minions.Minion):
    """Minion that tells how far each run is, as the pages say.

    Attributes:
        after_start: Called with each start that was carried out, if set.
    """

    after_start = None

    def hold(self, body):
        """Lists what runs, with its progress in percent."""
        answer = super().hold(body)
        if answer is None or answer[0] != 200:
            return answer
        now = self.get_clock()
        for row in answer[1]["running"]:
            run = self.runs.get(row[0])
            if run is not None:
                done = run.done_ms + now - run.begun_ms
                row[3] = min(99, int(100 * done / run.work_ms))
        return answer


class Entry(cell.Entry):
    """Entry that is started with the command of the deploy file."""

    def __init__(self, **options):
        """Completes the settings with the bounds of a small deployment."""
        super().__init__(**options)
        rows = yaml.safe_load(self.settings_path.read_text())
        rows["bounds"] = BOUNDS
        rows["limits"] = LIMITS
        rows["seeds"] = [rows["listen"]["control"]]
        self.settings_path.write_text(yaml.safe_dump(rows))

    def start(self):
        """Starts the process."""
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = roles["roles"]["entry"]["run"].split()
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=kept
                | {
                    "HICKORYREACH_CONFIG": str(self.settings_path),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                },
                stdout=log,
                stderr=log,
            )


class Platform(platform.Platform):
    """Platform whose minions tell how far each run is."""

    def add_minion(self, minion_id, index):
        """Adds a minion and registers it."""
        minion = Minion(
            minion_id=minion_id,
            hold_limit_ms=BOUNDS["holdMaxMs"],
            seen=self.seen,
            fenced=self.fenced,
            starts=self.starts,
            gangs=self.gangs,
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


class Case(cell.Cell):
    """A platform and its entries, and a record of what was seen.

    Attributes:
        lines: Lines of the record.
    """

    def __init__(self, *, folder, entry_count=3, minion_count=2, network=None):
        """Starts the entries.

        Args:
            folder: Folder of the case, where its record goes.
            entry_count: Number of entries.
            minion_count: Number of minions.
            network: Proxy between the entries and all else, or None.
        """
        self.case_folder = pathlib.Path(folder)
        self.lines = []
        self.begun_at = time.monotonic()
        self.users = Platform(minion_count=minion_count, network=network)
        self.users.configure()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.entries = [
            Entry(
                users=self.users,
                index=index,
                folder=pathlib.Path(self.folder.name),
            )
            for index in range(entry_count)
        ]
        for entry in self.entries:
            entry.start()

    def get_age(self):
        """Returns the time since the case began, in s."""
        return time.monotonic() - self.begun_at

    def note(self, text):
        """Adds a line to the record."""
        self.lines.append(f"{self.get_age():8.3f} {text}")

    def send(self, entry, method, path, body=None, **options):
        """Makes one call and records it; returns status and body."""
        try:
            status, answer = entry.call(method, path, body, **options)
        except OSError as error:
            self.note(f"{method} {path} at {entry.name}: no answer ({error})")
            return 0, None
        self.note(f"{method} {path} at {entry.name}: {status} {answer}")
        return status, answer

    def hand_in(self, entry, steps, payload, queue="runs", **job):
        """Hands a job in; returns its id and the status."""
        job_id = secrets.token_hex(8)
        body = {"spec": json.dumps(payload), "steps": steps} | job
        status, _ = self.send(entry, "POST", f"/{queue}/{job_id}", body)
        return job_id, status

    def read_owner(self):
        """Returns the name of the owner that the store names, or ""."""
        item = self.users.store.items.get("hickoryreach/owner")
        if item is None:
            return ""
        return json.loads(base64.b64decode(item.value))["name"]

    def list_running(self):
        """Returns every run that is at work on a minion."""
        for minion in self.users.minions.values():
            minion.advance()
        return [
            run
            for minion in self.users.minions.values()
            for run in minion.runs.values()
        ]

    def write_record(self, verdict):
        """Writes what was sent, answered and run to `record.txt`."""
        runs = [
            f"{each.at_s - self.begun_at:8.3f} {each.what} {each.task} "
            f"run={each.number} on {each.minion_id} {each.how}"
            for each in self.users.seen
        ]
        lines = sorted([*self.lines, *runs], key=lambda line: float(line[:8]))
        lines.append(f"verdict: {verdict}")
        (self.case_folder / "record.txt").write_text("\n".join(lines) + "\n")

    def keep_logs(self):
        """Copies the logs of the entries to the folder that LOGS names."""
        target = os.environ.get("LOGS")
        if target:
            for entry in self.entries:
                path = pathlib.Path(target) / f"{entry.name}.log"
                path.write_bytes(entry.log_path.read_bytes())


def find_doubles(seen):
    """Returns breaks of the rule TWICE, one line each.

    A task runs twice at once, or starts after an end `done` that was taken
    note of, then or later, while the minion's lease had not lapsed.
    """
    noted = {
        (each.task, each.number)
        for each in seen
        if each.what == "noted" and each.how == "done"
    }
    running, done, faults = {}, {}, []
    for each in seen:
        present = running.setdefault(each.task, {})
        name = (each.number, each.minion_id)
        if each.what == "start":
            if present:
                faults.append(f"{each.task}: {name} beside {sorted(present)}")
            if each.task in done:
                faults.append(f"{each.task}: {name} after {done[each.task]}")
            present[name] = each.at_s
        elif each.what == "end":
            present.pop(name, None)
            if each.how == "done" and (each.task, each.number) in noted:
                done[each.task] = name
    return faults


def run_case(build, play):
    """Plays a case and exits with its verdict.

    Args:
        build: Returns the case.
        play: Plays it; returns the breaks of the rule, one line each, or
            raises if it couldn't run.
    """
    verdict = NOT_RUN
    case = build()
    main = gevent.getcurrent()
    gevent.signal_handler(signal.SIGTERM, main.throw, KeyboardInterrupt)
    try:
        case.wait_ready()
        faults = play(case)
        verdict = BROKEN if faults else HELD
        for line in faults[:20]:
            print(line)
        print(f"{len(faults)} breaks; trouble={TROUBLE}")
    except (Exception, KeyboardInterrupt) as error:  # noqa: BLE001
        print(f"could not run: {type(error).__name__}: {error}")
        case.note(f"could not run: {type(error).__name__}: {error}")
    finally:
        case.keep_logs()
        case.write_record(verdict)
        case.close()
    sys.exit(verdict)


def kill(case, entries):
    """Kills entries at the same moment."""
    case.note(f"SIGKILL to {', '.join(each.name for each in entries)}")
    for entry in entries:
        entry.signal(signal.SIGKILL)
    for entry in entries:
        entry.wait()


def pause(seconds):
    """Waits while the stand-ins work on."""
    gevent.sleep(seconds)
