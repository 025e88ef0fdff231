"""Runs one piece of work of each kind through a whole cell."""

import sys
import tempfile
import time

from standins import cell
from standins import samples

WAIT_MS = 8_000
WORK = (
    {"kind": "request", "command": "verify", "service": "{service}"},
    {"kind": "batch", "command": "issue", "tasks": 12},
    {"kind": "gang", "command": "transfer", "tasks": 6},
    {"kind": "request", "command": "cancel", "idempotent": False},
)


def main() -> int:
    """Returns 0 if every answer is right."""
    failures = 0
    for deployment in (
        cell.Deployment(name="cedarline", service="registry"),
        cell.Deployment(name="association", service="vouchers"),
    ):
        with tempfile.TemporaryDirectory() as folder:
            failures += run_deployment(deployment, folder)
    return 1 if failures else 0


def run_deployment(deployment: cell.Deployment, folder: str) -> int:
    """Returns the number of wrong answers of one deployment."""
    started = time.monotonic()
    whole = cell.Cell(deployment=deployment, log_folder=folder)
    try:
        whole.start()
        samples.write_lists(whole.store.url)
        whole.wait_until_ready()
        print(f"{deployment.name}: ready {time.monotonic() - started:.1f} s")
        return sum(
            run_work(whole, number, dict(work))
            for number, work in enumerate(WORK)
        )
    finally:
        whole.stop()


def run_work(whole: cell.Cell, number: int, work: dict) -> int:
    """Returns 0 if one piece of work was answered as it should be."""
    entry = whole.entries[number % len(whole.entries)]
    need = {"cpu_millis": 500, "memory_mb": 256}
    if work["kind"] == "request":
        need = {"slots": 1}
        work["service"] = whole.deployment.service
    status, answer = cell.call(
        "POST",
        f"{entry.url}/v1/jobs?wait_ms={WAIT_MS}",
        {"request_id": f"demo-{number}", "need": need, **work},
        samples.caller_key("north"),
    )
    right = status == 200 and answer["state"] == "succeeded"
    print(entry.name, status, work["kind"], answer.get("state"), answer)
    return 0 if right else 1


if __name__ == "__main__":
    sys.exit(main())
