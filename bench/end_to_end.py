"""Measures real processes on loopback: throughput and takeovers.

    python -m bench.end_to_end throughput
    python -m bench.end_to_end takeover

One row of key=value pairs is printed for each measurement, and all rows go to
build/end_to_end.json.
"""

import argparse
import collections
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import statistics
import tempfile
import threading
import time
import urllib.parse
import urllib.request

from standins import cell
from standins import samples

OUTPUT = pathlib.Path("build/end_to_end.json")
SETTLE_S = 2.5
WAIT_MS = 8_000
BEFORE_FAULT_S = 2.0
AFTER_FAULT_S = 8.0
THAW_S = 2.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """One kind of work, sent again and again by each caller.

    Attributes:
        name: Name in the rows.
        body: Submission without request id.
        placements: Placements that one submission stands for.
    """

    name: str
    body: dict
    placements: int = 1


REQUESTS = Load(
    name="requests",
    body={
        "kind": "request",
        "command": "verify",
        "service": "registry",
        "arguments": ["run_ms=1"],
        "need": {"slots": 1},
    },
)
NON_IDEMPOTENT = Load(
    name="non_idempotent",
    body={**REQUESTS.body, "command": "cancel", "idempotent": False},
)
BATCH = Load(
    name="batch_of_200",
    body={
        "kind": "batch",
        "command": "issue",
        "tasks": 200,
        "arguments": ["run_ms=1"],
        "need": {"cpu_millis": 10, "memory_mb": 1},
    },
    placements=200,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One call as its caller saw it.

    Attributes:
        sent: When it was sent, in s.
        answered: When its answer had come, in s.
        load: Name of its load.
        status: HTTP status, or 0 without an answer.
        state: State of the job.
        ran: Whether it ran.
    """

    sent: float
    answered: float
    load: str
    status: int
    state: str = ""
    ran: str = ""


class Callers:
    """Threads that submit one piece of work after the other.

    Attributes:
        calls: Calls so far.
    """

    def __init__(self, *, urls: list[str], loads: list[Load]) -> None:
        """Creates one caller for each load; entries take turns."""
        self.urls = urls
        self.calls: list[Call] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number, load), daemon=True)
            for number, load in enumerate(loads)
        ]

    def start(self) -> None:
        """Begins to call."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Ends after the calls under way."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(2 * WAIT_MS / 1000)

    def run(self, number: int, load: Load) -> None:
        """Calls one entry over a kept connection."""
        address = urllib.parse.urlsplit(self.urls[number % len(self.urls)])
        connection = http.client.HTTPConnection(
            address.hostname, address.port, timeout=2 * WAIT_MS / 1000
        )
        count = 0
        while not self.stopping.is_set():
            count += 1
            body = {**load.body, "request_id": f"{load.name}-{number}-{count}"}
            self.calls.append(call(connection, load.name, body))

    def list_answered(self) -> list[Call]:
        """Returns the calls that ended well."""
        return [each for each in self.calls if each.state == "succeeded"]


def call(connection: http.client.HTTPConnection, name: str, body: dict) -> Call:
    """Makes one call."""
    sent = time.monotonic()
    headers = {
        "Authorization": f"Bearer {samples.caller_key('north')}",
        "Content-Type": "application/json",
    }
    try:
        connection.request(
            "POST", f"/v1/jobs?wait_ms={WAIT_MS}", json.dumps(body), headers
        )
        reply = connection.getresponse()
        answer = json.loads(reply.read())
    except (OSError, http.client.HTTPException, ValueError):
        connection.close()
        return Call(sent=sent, answered=time.monotonic(), load=name, status=0)
    return Call(
        sent=sent,
        answered=time.monotonic(),
        load=name,
        status=reply.status,
        state=answer.get("state", ""),
        ran=answer.get("ran", ""),
    )


def read_metrics(url: str) -> dict[str, float]:
    """Returns the metrics of one entry, by name with labels."""
    with urllib.request.urlopen(f"{url}/metrics", timeout=5) as reply:
        lines = reply.read().decode().splitlines()
    rows = (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    return {name: float(value) for name, value in rows}


def find_owner(whole: cell.Cell) -> cell.Process:
    """Returns the entry that owns the shard."""
    return next(
        entry
        for entry in whole.entries
        if read_metrics(entry.url).get("hickoryreach_shards_owned") == 1
    )


def read_cpu_s(process: cell.Process) -> float:
    """Returns the processor time that a process has used, in s."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def count_store_calls(whole: cell.Cell) -> dict[str, int]:
    """Returns the calls that the store has counted."""
    return cell.call("GET", f"{whole.store.url}/counts")[1]["calls"]


def start_cell(folder: str, entries: int, workers: int) -> cell.Cell:
    """Returns a cell that serves."""
    whole = cell.Cell(
        deployment=cell.Deployment(
            name="cedarline",
            service="registry",
            workers=workers,
            entries=entries,
        ),
        log_folder=folder,
    )
    whole.start()
    samples.write_lists(whole.store.url)
    whole.wait_until_ready()
    time.sleep(SETTLE_S)
    return whole


def measure_throughput(
    entries: int, load: Load, callers: int, length_s: float
) -> dict:
    """Returns a row on one load through some entries."""
    with tempfile.TemporaryDirectory() as folder:
        whole = start_cell(folder, entries, 24)
        try:
            return watch_throughput(whole, load, callers, length_s)
        finally:
            whole.stop()


def watch_throughput(
    whole: cell.Cell, load: Load, callers: int, length_s: float
) -> dict:
    """Returns a row on one load through a cell that serves."""
    owner = find_owner(whole)
    urls = [entry.url for entry in whole.entries]
    group = Callers(urls=urls, loads=[load] * callers)
    processes = [*whole.entries, whole.store, *whole.workers]
    before = {each.name: read_cpu_s(each) for each in processes}
    stored = count_store_calls(whole)
    started = time.monotonic()
    group.start()
    time.sleep(length_s)
    took_s = time.monotonic() - started
    used = {
        each.name: (read_cpu_s(each) - before[each.name]) / took_s
        for each in processes
    }
    after = count_store_calls(whole)
    answered = [
        each
        for each in group.list_answered()
        if each.answered < started + took_s
    ]
    group.stop()
    latencies = sorted(each.answered - each.sent for each in answered)
    calls = sum(after.values()) - sum(stored.values())
    return {
        "measure": "throughput",
        "load": load.name,
        "entries": len(whole.entries),
        "callers": callers,
        "placements_per_s": round(len(answered) * load.placements / took_s),
        "latency_p50_ms": round(1000 * statistics.median(latencies), 1),
        "latency_p99_ms": round(
            1000 * latencies[int(len(latencies) * 0.99)], 1
        ),
        "owner_cores": round(used[owner.name], 2),
        "busiest_worker_cores": round(
            max(used[worker.name] for worker in whole.workers), 2
        ),
        "store_cores": round(used["store"], 2),
        "store_writes_per_s": round(
            (after.get("txn", 0) - stored.get("txn", 0)) / took_s, 1
        ),
        "store_calls_per_s": round(calls / took_s, 1),
        "not_answered_well": len(group.calls) - len(group.list_answered()),
    }


def measure_takeover(fault: str) -> dict:
    """Returns a row on the time without answers after an owner's fault."""
    with tempfile.TemporaryDirectory() as folder:
        whole = start_cell(folder, 6, 24)
        try:
            return watch_takeover(whole, fault)
        finally:
            whole.stop()


def watch_takeover(whole: cell.Cell, fault: str) -> dict:
    """Brings a fault about under load, and returns a row on it."""
    owner = find_owner(whole)
    urls = [entry.url for entry in whole.entries if entry is not owner]
    loads = [REQUESTS, NON_IDEMPOTENT, BATCH] * 3
    group = Callers(urls=urls, loads=loads)
    group.start()
    time.sleep(BEFORE_FAULT_S)
    stored = count_store_calls(whole)
    began = time.monotonic()
    bring_about(owner, fault)
    time.sleep(AFTER_FAULT_S)
    after = count_store_calls(whole)
    if fault == "freeze":
        owner.signal(signal.SIGCONT)
        time.sleep(THAW_S)
    group.stop()
    answered = sorted(each.answered for each in group.list_answered())
    gaps = [
        (later - earlier, earlier - began)
        for earlier, later in zip(answered, answered[1:], strict=False)
        if later > began
    ]
    longest_s, at_s = max(gaps)
    return {
        "measure": "takeover",
        "fault": fault,
        "without_answers_s": round(longest_s, 2),
        "begun_after_fault_s": round(at_s, 2),
        "store_calls": sum(after.values()) - sum(stored.values()),
        "calls": len(group.calls),
        "by_end": count_ends(group.calls),
        "started_twice": count_started_twice(whole),
    }


def bring_about(owner: cell.Process, fault: str) -> None:
    """Kills, freezes or asks an owner to stop."""
    if fault == "kill":
        owner.kill()
    elif fault == "freeze":
        owner.signal(signal.SIGSTOP)
    else:
        owner.signal(signal.SIGTERM)


def count_ends(calls: list[Call]) -> dict[str, int]:
    """Returns the number of calls by how they ended."""
    ends = collections.Counter(
        f"{each.status} {each.state} {each.ran}".strip() for each in calls
    )
    return dict(ends)


def count_started_twice(whole: cell.Cell) -> int:
    """Returns the tasks and requests that workers began more than once."""
    begun = collections.Counter()
    for worker in whole.workers:
        history = cell.call("GET", f"{worker.url}/history")[1]["history"]
        for line in history:
            if line["what"] in ("start", "request"):
                begun[line["key"]["job_id"], line["key"]["index"]] += 1
    return sum(count > 1 for count in begun.values())


def main() -> None:
    """Runs the measurements asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("measure", choices=("throughput", "takeover"))
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--callers", type=int, default=24)
    options = parser.parse_args()
    if options.measure == "throughput":
        rows = (
            measure_throughput(entries, load, options.callers, options.seconds)
            for entries in (1, 6)
            for load in (REQUESTS, NON_IDEMPOTENT, BATCH)
        )
    else:
        rows = (measure_takeover(each) for each in ("kill", "freeze", "term"))
    kept = []
    for row in rows:
        print(" ".join(f"{key}={value}" for key, value in row.items()))
        kept.append(row)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(kept, indent=1))


if __name__ == "__main__":
    main()
