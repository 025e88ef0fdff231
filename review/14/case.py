"""An entry that was frozen takes a job that its caller has cancelled since."""

import json
import pathlib
import secrets
import signal
import socket

from review import harness_3 as harness
from standins.users import cell
from standins.users import platform

FREEZE_S = 4.0
CALLER_WAIT_S = 3.0
WORK_MS = 3_000
CANCEL_S = 3.0  # cancel_ms
WATCH_S = 16.0


def build():
    """Returns the case: three entries, two minions."""
    return harness.Case(folder=pathlib.Path(__file__).parent)


def send_post(entry, job_id):
    """Sends a POST; returns the open connection."""
    later = [{"after": [number]} for number in range(2)]
    steps = [
        {"count": 2, "cpu": 1_000, "memMb": 64, "estimateMs": WORK_MS} | each
        for each in ({}, *later)
    ]
    spec = json.dumps({"work_ms": WORK_MS})
    body = json.dumps({"spec": spec, "steps": steps}).encode()
    head = (
        f"POST /runs/{job_id} HTTP/1.1\r\n"
        f"Host: {platform.HOST}\r\n"
        f"Authorization: Token {platform.KEY}\r\n"
        "Request-Deadline-Ms: 3000\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    connection = socket.create_connection((entry.host, cell.FRONT_PORT))
    connection.sendall(head + body)
    return connection


def await_answer(connection):
    """Waits as long as the caller does; returns the status line, or ""."""
    connection.settimeout(CALLER_WAIT_S)
    try:
        return connection.recv(4_096).decode().split("\r\n")[0]
    except TimeoutError:
        return ""
    finally:
        connection.close()


def play(case):
    """Freezes an entry that isn't the owner; returns the breaks of UNASKED."""
    owner = case.read_owner()
    entry, other = [each for each in case.entries if each.name != owner][:2]
    job_id = secrets.token_hex(8)
    if harness.TROUBLE:
        case.note(f"SIGSTOP to {entry.name}")
        entry.signal(signal.SIGSTOP)
    connection = send_post(entry, job_id)
    case.note(f"POST /runs/{job_id} sent to {entry.name}")
    answer = await_answer(connection)
    case.note(f"answer to the POST: {answer or 'none; the caller leaves'}")
    status, _ = case.send(other, "DELETE", f"/runs/{job_id}")
    if status not in (200, 410):
        raise RuntimeError(f"cancelling not acknowledged: {status}")
    cancelled_at = case.get_age()
    if harness.TROUBLE:
        harness.pause(FREEZE_S - CALLER_WAIT_S)
        case.note(f"SIGCONT to {entry.name}")
        entry.signal(signal.SIGCONT)
    harness.pause(WATCH_S)
    if case.read_owner() != owner:
        raise RuntimeError("the owner has changed")
    return [
        f"{each.task} started {at_s - cancelled_at:.1f} s after the "
        f"cancelling was acknowledged ({status})"
        for each in case.users.seen
        if each.what == "start"
        and (at_s := each.at_s - case.begun_at) > cancelled_at + CANCEL_S
    ]


harness.run_case(build, play)
