"""Shows the audit trail of a list."""

import datetime

from hickoryreach_cli import client
from hickoryreach_cli import reports


def audit(
    caller: client.Client, name: str, after: str, limit: int
) -> reports.Report:
    """Shows one page of the changes of a list, newest first."""
    return reports.report(
        caller.call(
            "GET",
            f"/v1/audit/{client.quote(name)}",
            query={"after": after, "limit": limit},
        ),
        show_changes,
    )


def show_changes(media: dict) -> reports.Report:
    """Returns the report of a page of changes."""
    lines = [line for change in media["changes"] for line in describe(change)]
    if media["lost_up_to"]:
        lines.append(f"lost: changes up to revision {media['lost_up_to']}")
    return reports.report_page(lines, media["after"])


def describe(change: dict) -> list[str]:
    """Returns the lines of one change."""
    moment = datetime.datetime.fromtimestamp(
        change["at_ms"] / 1000, tz=datetime.UTC
    )
    head = (
        f"{moment.isoformat(timespec='milliseconds')} {change['actor']} "
        f"{change['action']} {change['from_revision']} -> "
        f"{change['to_revision']} token={change['token']}"
    )
    removed = [f"  - {path}" for path in change["removed"]]
    put = [f"  + {path}: {value}" for path, value in change["set"].items()]
    return [head, *removed, *put]
