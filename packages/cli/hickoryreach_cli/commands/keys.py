"""Makes, grants and withdraws keys."""

from returns import result

from hickoryreach.lists import keys
from hickoryreach.lists import plans
from hickoryreach_cli import client
from hickoryreach_cli import reports
from hickoryreach_cli.commands import lists


def make() -> reports.Report:
    """Makes a key and shows it with its hash, without any call."""
    key = keys.make_key()
    return reports.Report(lines=(f"key: {key}", f"hash: {plans.hash_key(key)}"))


def grant(
    caller: client.Client, workspace: str, key_id: str, digest: str
) -> reports.Report:
    """Grants the key with a hash, or else a new key that is shown once."""
    key = "" if digest else keys.make_key()
    outcome = caller.call(
        "POST",
        "/v1/keys",
        {
            "workspace": workspace,
            "key_id": key_id,
            "hash": digest or plans.hash_key(key),
        },
    )
    granted = reports.report(outcome, lists.show_change)
    if not key or isinstance(outcome, result.Failure):
        return granted
    if granted.exit_code:
        return granted
    return reports.Report(
        lines=(*granted.lines, f"key (shown only now): {key}")
    )


def withdraw(
    caller: client.Client, workspace: str, key_id: str
) -> reports.Report:
    """Withdraws a key; succeeds also if it is not granted."""
    path = f"/v1/keys/{client.quote(workspace)}/{client.quote(key_id)}"
    return reports.report(caller.call("DELETE", path), lists.show_change)
