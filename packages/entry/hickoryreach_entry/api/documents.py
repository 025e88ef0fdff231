"""Resources through which operators read, check and replace a list."""

import falcon
from returns import result

from hickoryreach.lists import documents
from hickoryreach.lists import editor
from hickoryreach.lists import edits
from hickoryreach.lists import plans
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import bodies
from hickoryreach_entry.api import changes
from hickoryreach_entry.api import parameters
from hickoryreach_entry.api import problems
from hickoryreach_entry.api import resources


class Document(resources.ListResource):
    """Reads or replaces one list."""

    @answers.responder
    def on_get(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Returns the list in force with its revision."""
        return changes.find_list_name(name).bind(
            lambda known: self.access.find_operator(req).map(
                lambda _: answers.Answer(
                    media=changes.describe_list(
                        known,
                        self.lists.revisions[known],
                        self.lists.flats[known],
                    )
                )
            )
        )

    @answers.responder
    def on_put(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Replaces the list if `revision` is still the newest."""
        return changes.find_list_name(name).bind(
            lambda known: self.access.find_operator(req).bind(
                lambda operator: get_revision(req).bind(
                    lambda revision: read_document(req, known).bind(
                        lambda document: self.replace(
                            known, operator, revision, document
                        )
                    )
                )
            )
        )

    def replace(
        self, name: str, operator: str, revision: int, document: plans.Model
    ) -> answers.Outcome:
        """Replaces the list with a document."""
        return changes.make_change(
            self.lists,
            edits.Edit(
                name=name,
                actor=operator,
                action="set",
                revision=revision,
                build=lambda _: result.Success(document),
                min_revision=self.lists.revisions[name],
            ),
        )


class Check(resources.ListResource):
    """Checks a document without storing it."""

    @answers.responder
    def on_post(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Returns the faults and the diff of the document in the body."""
        return changes.find_list_name(name).bind(
            lambda known: self.access.find_operator(req).bind(
                lambda _: bodies.read(req).map(
                    lambda body: self.check(known, body)
                )
            )
        )

    def check(self, name: str, body: bytes) -> answers.Answer:
        """Checks a document against the lists in force."""
        faults: list[str] = []
        lines: list[str] = []
        parsed = editor.parse(name, body)
        if isinstance(parsed, result.Failure):
            faults += parsed.failure().faults
        else:
            document = parsed.unwrap()
            other = getattr(self.lists, editor.OTHER_LIST[name])
            faults += editor.find_faults(name, document, other)
            lines += self.compare(name, document)
        return answers.Answer(
            media={
                "list": name,
                "revision": self.lists.revisions[name],
                "faults": faults,
                "diff": lines,
            }
        )

    def compare(self, name: str, document: plans.Model) -> list[str]:
        """Returns the diff from the list in force."""
        before = self.lists.flats[name]
        delta = documents.compute_delta(before, documents.flatten(document))
        return documents.describe_delta(before, delta)


def get_revision(
    req: falcon.Request,
) -> result.Result[int, problems.Problem]:
    """Returns the revision that a change is based on."""
    revision = parameters.parse_number(req.get_param("revision") or "")
    if revision is not None:
        return result.Success(revision)
    return result.Failure(
        problems.Problem(
            status=400,
            reason="revision_missing",
            detail="Give `revision`, as the list was when you read it.",
        )
    )


def read_document(
    req: falcon.Request, name: str
) -> result.Result[plans.Model, problems.Problem]:
    """Returns the validated document in the body."""
    return bodies.read(req).bind(
        lambda body: editor.parse(name, body).alt(
            lambda refused: changes.build_faults_problem(refused, 400)
        )
    )
