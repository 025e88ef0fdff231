"""Resources through which operators grant and withdraw keys."""

import falcon
import pydantic

from hickoryreach.lists import edits
from hickoryreach.lists import key_edits
from hickoryreach.lists import plans
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import bodies
from hickoryreach_entry.api import changes
from hickoryreach_entry.api import resources


class Grant(pydantic.BaseModel):
    """Body of a grant, with the hash of the key but never the key."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    workspace: plans.Name
    key_id: plans.Name
    hash: plans.Hash


class KeyResource(resources.ListResource):
    """Base of the resources that change the keys in the list of plans."""

    def change_keys(
        self, operator: str, action: str, build: key_edits.Build
    ) -> answers.Outcome:
        """Applies a change to the newest revision of the plans."""
        return changes.make_change(
            self.lists,
            edits.Edit(
                name="plans",
                actor=operator,
                action=action,
                revision=None,
                build=build,
                min_revision=self.lists.revisions["plans"],
            ),
        )


class Keys(KeyResource):
    """Grants keys."""

    @answers.responder
    def on_post(self, req: falcon.Request) -> answers.Outcome:
        """Grants the key whose hash is in the body."""
        return self.access.find_operator(req).bind(
            lambda operator: (
                bodies.read(req)
                .bind(lambda body: bodies.parse(Grant, body))
                .bind(lambda grant: self.grant(operator, grant))
            )
        )

    def grant(self, operator: str, grant: Grant) -> answers.Outcome:
        """Adds the key to its workspace."""
        key = plans.Key(key_id=grant.key_id, hash=grant.hash)
        return self.change_keys(
            operator, "grant", key_edits.grant_key(grant.workspace, key)
        )


class Key(KeyResource):
    """Withdraws a key."""

    @answers.responder
    def on_delete(
        self, req: falcon.Request, workspace: str, key_id: str
    ) -> answers.Outcome:
        """Withdraws the key; succeeds also if it is not granted."""
        return self.access.find_operator(req).bind(
            lambda operator: self.change_keys(
                operator,
                "withdraw",
                key_edits.withdraw_key(workspace, key_id),
            )
        )
