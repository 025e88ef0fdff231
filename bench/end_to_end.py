"""Measures real processes on loopback: `python -m bench.end_to_end`.

Starts the store, worker and minion stand-ins and six entries, and loads them
from this process with keep-alive clients. All share the machine, so rates
are a lower bound and processor times are what to rely on.
"""

import dataclasses
import os
import pathlib
import tempfile
import time
import urllib.parse

import gevent
import geventhttpclient
from hdrh import histogram
import orjson

from standins import cell
from standins import samples

PATH = pathlib.Path("build/end_to_end.json")
PHASE_S = 6.0
IDLE_S = 8.0
SETTLE_S = 2.0
CLIENTS = 96
TIMEOUT_S = 30.0
MAX_LATENCY_US = 60_000_000
MINION_RUN_MS = 5
JOB_TASKS = 20
CALL_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Phase:
    """One measured stretch of time.

    Attributes:
        name: What was done.
        seconds: How long.
        done: Answers that were right.
        wrong: Answers that were not, by status.
        per_s: Answers a second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of latency.
        owner_core: Part of a core the shard owner used.
        busiest_core: The same of the busiest other entry.
        entries_core: The same of all entries together.
        store_core: The same of the store stand-in.
        workers_core: The same of all worker stand-ins.
        client_core: The same of this process.
        store_calls_per_s: Calls that the store counted, by kind.
    """

    name: str
    seconds: float
    done: int
    wrong: dict[str, int]
    per_s: float
    p50_ms: float
    p99_ms: float
    owner_core: float
    busiest_core: float
    entries_core: float
    store_core: float
    workers_core: float
    client_core: float
    store_calls_per_s: dict[str, float]


class Load:
    """Clients that submit and wait for the end.

    Attributes:
        urls: Entries to use, in turn.
        fields: What every submission carries.
        latencies: Latency of right answers, in us.
        wrong: Other answers, by status.
    """

    def __init__(self, *, urls: list[str], fields: dict, tag: str) -> None:
        """Creates an idle load."""
        self.urls = urls
        self.fields = fields
        self.tag = tag
        self.latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.wrong: dict[str, int] = {}
        self.until_s = 0.0

    def run(self, seconds: float, clients: int) -> None:
        """Runs all clients until the time is over."""
        self.until_s = time.monotonic() + seconds
        gevent.joinall(
            [gevent.spawn(self._submit_forever, n) for n in range(clients)],
            raise_error=True,
        )

    def _submit_forever(self, number: int) -> None:
        url = urllib.parse.urlsplit(self.urls[number % len(self.urls)])
        client = geventhttpclient.HTTPClient(
            url.hostname,
            port=url.port,
            concurrency=1,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )
        workspace = samples.WORKSPACES[number % len(samples.WORKSPACES)]
        headers = {
            "Authorization": f"Bearer {samples.caller_key(workspace)}",
            "Content-Type": "application/json",
        }
        count = 0
        while time.monotonic() < self.until_s:
            count += 1
            body = orjson.dumps(
                {"request_id": f"{self.tag}-{number}-{count}", **self.fields}
            )
            before_s = time.monotonic()
            reply = client.post(
                "/v1/jobs?wait_ms=20000", body=body, headers=headers
            )
            data = orjson.loads(bytes(reply.read()))
            took_us = (time.monotonic() - before_s) * 1e6
            state = data.get("state", data.get("type", ""))
            if reply.status_code == 200 and state == "succeeded":
                self.latencies.record_value(int(took_us))
            else:
                label = f"{reply.status_code} {state}"
                self.wrong[label] = self.wrong.get(label, 0) + 1
        client.close()


class Usage:
    """Processor time of every process, as the system counts it.

    Attributes:
        whole: The cell.
    """

    def __init__(self, *, whole: cell.Cell) -> None:
        """Reads the first values."""
        self.whole = whole
        self.began_s = time.monotonic()
        self.before = self.read()
        self.calls_before = self.read_calls()

    def read(self) -> dict[str, float]:
        """Returns processor seconds by process."""
        processes = [
            self.whole.store,
            *self.whole.workers,
            *self.whole.entries,
        ]
        used = {row.name: read_cpu_s(row.popen.pid) for row in processes}
        return {**used, "client": time.process_time()}

    def read_calls(self) -> dict[str, int]:
        """Returns the store's calls by kind."""
        _, data = cell.call("GET", f"{self.whole.store.url}/counts")
        return data["calls"]

    def end(self, name: str, load: Load | None) -> Phase:
        """Returns what was used since the start."""
        seconds = time.monotonic() - self.began_s
        after = self.read()
        cores = {
            key: (after[key] - self.before[key]) / seconds for key in after
        }
        calls = {
            kind: round((count - self.calls_before.get(kind, 0)) / seconds, 2)
            for kind, count in self.read_calls().items()
        }
        entries = sorted(
            (cores[entry.name] for entry in self.whole.entries), reverse=True
        )
        owner = cores[find_owner(self.whole).name]
        rest = [core for core in entries if core != owner]
        values = load.latencies if load else histogram.HdrHistogram(1, 2, 3)
        done = values.get_total_count()
        return Phase(
            name=name,
            seconds=round(seconds, 2),
            done=done,
            wrong=load.wrong if load else {},
            per_s=round(done / seconds, 1),
            p50_ms=values.get_value_at_percentile(50) / 1000,
            p99_ms=values.get_value_at_percentile(99) / 1000,
            owner_core=round(owner, 4),
            busiest_core=round(rest[0] if rest else 0.0, 4),
            entries_core=round(sum(entries), 4),
            store_core=round(cores["store"], 4),
            workers_core=round(
                sum(cores[row.name] for row in self.whole.workers), 4
            ),
            client_core=round(cores["client"], 4),
            store_calls_per_s=calls,
        )


def read_cpu_s(pid: int) -> float:
    """Returns the processor seconds a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MiB."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    row = next(line for line in lines if line.startswith("VmRSS"))
    return int(row.split()[1]) / 1024


def find_owner(whole: cell.Cell) -> cell.Process:
    """Returns the entry that owns the shard."""
    return max(whole.entries, key=read_shards)


def read_shards(entry: cell.Process) -> float:
    """Returns how many shards an entry owns."""
    text = _read_metrics(entry)
    rows = [
        line.rsplit(" ", 1)[1]
        for line in text.splitlines()
        if line.startswith("hickoryreach_shards_owned")
    ]
    return sum(float(row) for row in rows)


def _read_metrics(entry: cell.Process) -> str:
    url = urllib.parse.urlsplit(entry.url)
    client = geventhttpclient.HTTPClient(url.hostname, port=url.port)
    try:
        return bytes(client.get("/metrics").read()).decode()
    finally:
        client.close()


def measure(whole: cell.Cell) -> list[Phase]:
    """Returns every phase."""
    urls = [entry.url for entry in whole.entries]
    request = {
        "kind": "request",
        "command": "/check",
        "service": whole.deployment.service,
        "arguments": [f"run_ms={MINION_RUN_MS}"],
    }
    once = {**request, "idempotent": False}
    batch = {
        "kind": "batch",
        "command": "run.sh",
        "tasks": JOB_TASKS,
        "arguments": ["run_ms=200"],
        "need": {"cpu_millis": 500, "memory_mb": 256},
    }
    other = [
        entry.url
        for entry in whole.entries
        if entry.name != find_owner(whole).name
    ][:1]
    plan = (
        ("requests through one entry", other, request),
        ("requests through six entries", urls, request),
        ("at-most-once requests through six entries", urls, once),
        (f"batch jobs of {JOB_TASKS} tasks through six entries", urls, batch),
    )
    time.sleep(SETTLE_S)
    usage = Usage(whole=whole)
    time.sleep(IDLE_S)
    phases = [usage.end("idle", None)]
    for name, targets, fields in plan:
        load = Load(urls=targets, fields=fields, tag=name)
        usage = Usage(whole=whole)
        load.run(PHASE_S, CLIENTS)
        phases.append(usage.end(name, load))
        print(phases[-1], flush=True)
        time.sleep(SETTLE_S)
    return phases


def main() -> None:
    """Starts a cell, measures, ends it and writes the figures."""
    deployment = cell.Deployment(name="cedarline", service="registry")
    with tempfile.TemporaryDirectory() as folder:
        whole = cell.Cell(deployment=deployment, log_folder=folder)
        try:
            whole.start()
            samples.write_lists(whole.store.url)
            whole.wait_until_ready()
            phases = measure(whole)
            memory = {
                entry.name: round(read_memory_mb(entry.popen.pid), 1)
                for entry in whole.entries
            }
        finally:
            whole.stop()
    PATH.parent.mkdir(exist_ok=True)
    PATH.write_bytes(
        orjson.dumps(
            {"phases": phases, "memory_mb": memory},
            option=orjson.OPT_INDENT_2,
        )
    )
    print(PATH.read_text())


if __name__ == "__main__":
    main()
