"""Reads, checks and changes the operators' lists."""

import dataclasses
import pathlib

import orjson
from returns import result

from hickoryreach.runbooks import steps
from hickoryreach_cli import client
from hickoryreach_cli import reports


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Draft:
    """A list read from a file.

    Attributes:
        document: The document.
        revision: Revision it is based on; None if the file names none.
    """

    document: object
    revision: int | None = None


def read_draft(path: str) -> result.Result[Draft, reports.Report]:
    """Reads a document, alone or as `lists get` printed it."""
    try:
        media = orjson.loads(pathlib.Path(path).read_bytes())
    except (OSError, ValueError) as error:
        return result.Failure(reports.report_usage(f"{path}: {error}"))
    if isinstance(media, dict) and "document" in media:
        return result.Success(
            Draft(document=media["document"], revision=media.get("revision"))
        )
    return result.Success(Draft(document=media))


def get(caller: client.Client, name: str) -> reports.Report:
    """Shows a list with its revision, in the form that `put` accepts."""
    return reports.report(
        caller.call("GET", build_path(name)), reports.report_media
    )


def put(
    caller: client.Client, name: str, path: str, revision: int | None
) -> reports.Report:
    """Replaces a list with a file's document if its revision is the newest."""
    read = read_draft(path)
    if isinstance(read, result.Failure):
        return read.failure()
    draft = read.unwrap()
    expected_revision = draft.revision if revision is None else revision
    if expected_revision is None:
        return reports.report_usage(
            "give --revision, or a file as `lists get` prints it"
        )
    return reports.report(
        caller.call(
            "PUT",
            build_path(name),
            draft.document,
            query={"revision": expected_revision},
        ),
        show_change,
    )


def check(caller: client.Client, name: str, path: str) -> reports.Report:
    """Shows the faults of a file's document; changes nothing."""
    return request_check(caller, name, path, show_faults)


def diff(caller: client.Client, name: str, path: str) -> reports.Report:
    """Shows the diff that a file's document would make; changes nothing."""
    return request_check(caller, name, path, show_diff)


def request_check(
    caller: client.Client, name: str, path: str, show
) -> reports.Report:
    """Has an entry check a file's document."""
    read = read_draft(path)
    if isinstance(read, result.Failure):
        return read.failure()
    return reports.report(
        caller.call(
            "POST", f"{build_path(name)}/check", read.unwrap().document
        ),
        show,
    )


def show_change(media: dict) -> reports.Report:
    """Returns the report of an accepted change."""
    return reports.Report(
        lines=(
            *media["diff"],
            f"{media['list']} is at revision {media['revision']}",
        )
    )


def show_faults(media: dict) -> reports.Report:
    """Returns the report of a check."""
    if not media["faults"]:
        return reports.Report(lines=("no faults",))
    return reports.Report(
        exit_code=steps.EXIT_NOT_RUN, errors=tuple(media["faults"])
    )


def show_diff(media: dict) -> reports.Report:
    """Returns the report of a diff."""
    return reports.Report(
        lines=tuple(media["diff"]), errors=tuple(media["faults"])
    )


def build_path(name: str) -> str:
    """Returns the path of a list."""
    return f"/v1/lists/{client.quote(name)}"
