"""Resource through which callers cancel many jobs at once."""

import falcon
import gevent
from returns import result

from hickoryreach.wire import messages
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import notices
from hickoryreach_entry.api import resources

SEND_COUNT = 3
SEND_INTERVAL_S = 0.2


class Wave(resources.WorkResource):
    """Cancels every job of one wave."""

    @answers.responder
    def on_delete(self, req: falcon.Request, wave: str) -> answers.Outcome:
        """Asks the owner of every shard to cancel a wave of the caller."""
        return self.access.find_caller(req).bind(
            lambda caller: self.cancel(caller.workspace, wave)
        )

    def cancel(self, workspace: str, wave: str) -> answers.Outcome:
        """Sends the cancellation repeatedly, in case a message is lost."""
        message = messages.Cancellation(workspace=workspace, wave=wave)
        sent = self.send(message)
        for _ in range(SEND_COUNT - 1):
            gevent.sleep(SEND_INTERVAL_S)
            sent = self.send(message)
        if not sent:
            return result.Failure(notices.build_no_owner_problem())
        return result.Success(
            answers.Answer(media={"wave": wave, "cancelling": True}, status=202)
        )

    def send(self, message: messages.Cancellation) -> bool:
        """Sends to every shard, and returns whether each one had an owner."""
        return all(
            [
                self.front.send_to_owner(shard, "cancellations", message)
                for shard in range(self.shards)
            ]
        )
