"""Membership of an entry in its cell, as the owner or a follower."""

import logging
import time

import gevent
from returns import result

from hickoryreach.decisions import registry
from hickoryreach.platform import node as node_module
from hickoryreach.platform import store
from hickoryreach.structure import cells
from hickoryreach.wire import frames
from hickoryreach_entry import greenlets
from hickoryreach_entry.cell import cell_clock
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import election
from hickoryreach_entry.cell import fitness_review
from hickoryreach_entry.cell import local_advisor
from hickoryreach_entry.cell import member_status
from hickoryreach_entry.cell import owner as owner_module
from hickoryreach_entry.cell import owner_client
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

STATUS_INTERVAL_S = 0.15
CALL_TIMEOUT_S = 1.0

handlers: registry.Registry = registry.Registry(title="frame handlers")


class Member:
    """Handles the frames of peers, and owns the cell or follows the owner.

    Attributes:
        own_info: Name, address and processor time of this entry.
        owner: The owner that runs in this entry, or None.
        followers: Channels of the entries that follow this one, by name.
        leaving_followers: Names of those that are about to stop.
        store_served_at: When the store last served each follower, in s.
        cell_clock: Time of day that the entries agree on.
        election: Election that follows the owner or takes over from it.
        fitness_review: Review of whether this entry should go on as the owner.
        owner_client: Client of the owner for callers' requests.
        draining: Whether this entry is about to stop.
    """

    def __init__(
        self,
        *,
        settings: node_module.NodeSettings,
        client: store.Store,
        configuration_source: configuration_watch.ConfigurationWatch,
    ) -> None:
        """Creates a member that is not started yet."""
        self.settings = settings
        self.client = client
        self.configuration_source = configuration_source
        self.own_info = frames.PeerInfo(
            name=settings.node,
            address=settings.listen.control,
            processor=settings.processor,
        )
        self.advisor = local_advisor.LocalAdvisor(address=settings.advice)
        self.cell_clock = cell_clock.CellClock()
        self.configuration: cells.Configuration | None = None
        self.owner: owner_module.Owner | None = None
        self.followers: dict[str, channel.Channel] = {}
        self.leaving_followers: set[str] = set()
        self.store_served_at: dict[str, float] = {}
        self.draining = False
        self.election = election.Election(member=self)
        self.fitness_review = fitness_review.FitnessReview(member=self)
        self.owner_client = owner_client.OwnerClient(
            member=self, election=self.election
        )
        self.server = None

    def start(self) -> None:
        """Starts to serve peers and to follow the owner."""
        self.server = channel.serve(
            self.settings.listen.control,
            self.handle,
            self.remove_follower,
            self.settings.limits.max_new_peers,
        )
        greenlets.spawn_vital(self.election.follow_forever)
        greenlets.spawn_vital(self.send_status_forever)
        greenlets.spawn_vital(self.owner_client.report_stored_jobs_forever)

    def change_configuration(self, configuration: cells.Configuration) -> None:
        """Applies a configuration."""
        self.configuration = configuration
        if self.owner is not None:
            self.owner.change_configuration(configuration)

    def handle(
        self, peer: channel.Channel, name: str, message: object
    ) -> object | None:
        """Passes a message to its handler; returns the answer, if any."""
        return handlers.find(name)(self, peer, message)

    @handlers.register("greeting")
    def handle_greeting(
        self, peer: channel.Channel, message: frames.Greeting
    ) -> None:
        """Adds a follower, or answers that this entry is not the owner."""
        if message.peer is None or not message.peer.name:
            peer.close("greeting without a name")
            return
        peer.peer = message.peer
        if self.owner is None:
            peer.send(
                status=frames.Status(epoch=0, claiming=self.election.claiming)
            )
            return
        self.followers[message.peer.name] = peer
        self.leaving_followers.discard(message.peer.name)
        self.owner.ownership_validity.quorum.add(message.peer.name)
        self.owner.advice_dispatcher.dispatch()
        log.info("follower_added", extra={"peer": message.peer.name})
        peer.send(status=member_status.build_status(self))

    @handlers.register("status")
    def handle_status(
        self, peer: channel.Channel, message: frames.Status
    ) -> None:
        """Passes the owner's status to the election."""
        self.election.handle_status(peer, message)

    @handlers.register("pulse")
    def handle_pulse(
        self, peer: channel.Channel, message: frames.Pulse
    ) -> None:
        """Records a follower's clock, its store and what it hears."""
        if peer.peer is None:
            return
        if message.leaving:
            self.leaving_followers.add(peer.peer.name)
        if self.owner is not None:
            self.record_echo(peer.peer.name, message)
        self.store_served_at[peer.peer.name] = (
            time.monotonic() - message.store_age_ms / 1000
        )
        self.cell_clock.record_sample(peer.peer.name, message.wall_ms)

    def record_echo(self, name: str, message: frames.Pulse) -> None:
        """Records whether a follower knows this owner or a later one."""
        validity = self.owner.ownership_validity
        if message.epoch > self.owner.epoch:
            validity.record_later_owner(name)
        elif message.epoch == self.owner.epoch and message.echoed_ms:
            validity.quorum.record_echo(
                name, message.echoed_ms / member_status.MS_PER_S
            )
        if message.leaving:
            validity.quorum.record_leaving(name)

    @handlers.register("submission")
    def handle_submission(
        self, peer: channel.Channel, message: frames.Submission
    ) -> frames.JobReport:
        """Handles a job that a follower submits."""
        return self.submit_locally(message)

    def submit_locally(self, message: frames.Submission) -> frames.JobReport:
        """Submits a job to the owner that runs in this entry."""
        owner = self.owner
        if owner is None or owner.leaving:
            return frames.JobReport(kept=False)
        decoded = records.decode_job(message.job)
        if isinstance(decoded, result.Failure):
            log.error(
                "submission_unreadable", extra={"reason": decoded.failure()}
            )
            return frames.JobReport(kept=True)
        job = decoded.unwrap()
        if message.offered:
            owner.offer(job)
            return frames.JobReport(known=True)
        if not message.kept:
            failure = self.save_job(job.job_id, message.job)
            if failure is not None:
                return frames.JobReport(
                    kept=False,
                    unclear=failure.effect_unknown or bool(failure.conflict),
                )
        owner.submit(job)
        return frames.JobReport(known=True)

    def save_job(self, job_id: str, data: bytes) -> store.StoreFailure | None:
        """Saves a job for an entry that cannot write to the store.

        Returns:
            Why the job is not stored, or None if it is.
        """
        written = self.owner_client.write_record(job_id, data)
        if isinstance(written, result.Success):
            return None
        failure = written.failure()
        if failure.conflict and failure.conflict[0].data == data:
            return None
        return failure

    @handlers.register("query")
    def handle_query(
        self, peer: channel.Channel, message: frames.Query
    ) -> frames.JobReport:
        """Answers a follower's query for the state of a job."""
        return self.query_locally(message)

    def query_locally(self, message: frames.Query) -> frames.JobReport:
        """Queries the owner that runs in this entry for the state of a job."""
        if self.owner is None or not self.owner.serving:
            return frames.JobReport(kept=False)
        return self.owner.published_states.query(message)

    @handlers.register("cancellation")
    def handle_cancellation(
        self, peer: channel.Channel, message: frames.Cancellation
    ) -> frames.JobReport:
        """Handles a follower's cancellation of a job."""
        return self.cancel_locally(message)

    def cancel_locally(self, message: frames.Cancellation) -> frames.JobReport:
        """Cancels a job through the owner that runs in this entry."""
        owner = self.owner
        if owner is None or not owner.serving or owner.leaving:
            return frames.JobReport(kept=False)
        return owner.cancel(message, CALL_TIMEOUT_S)

    @handlers.register("advice_call")
    def handle_advice_call(
        self, peer: channel.Channel, message: frames.AdviceCall
    ) -> frames.AdviceReport:
        """Calls the advice service on behalf of the owner.

        If its channel has ended meanwhile, the current owner gets the advice.
        """
        report = self.advisor.ask(message)
        if peer.closed.is_set():
            self.forward_advice()
        return report

    @handlers.register("advice_news")
    def handle_advice_news(
        self, peer: channel.Channel, message: frames.AdviceNews
    ) -> None:
        """Applies advice that an earlier owner asked for."""
        if self.owner is not None:
            self.owner.apply_past_advice(message)

    def forward_advice(self) -> None:
        """Sends the owner the advice that is still valid."""
        news = self.advisor.collect_valid_advice()
        if not news.answers:
            return
        if self.owner is not None:
            self.owner.apply_past_advice(news)
        elif self.election.owner_channel is not None:
            self.election.owner_channel.send(advice_news=news)

    @handlers.register("owner_question")
    def handle_owner_question(
        self, peer: channel.Channel, message: frames.OwnerQuestion
    ) -> frames.OwnerReport:
        """Answers whether this entry owns the cell or hears the owner."""
        if self.owner is not None:
            return frames.OwnerReport(
                heard=not self.owner.leaving,
                epoch=self.owner.epoch,
                owner=self.own_info,
            )
        return self.election.report()

    def remove_follower(self, peer: channel.Channel) -> None:
        """Removes a follower whose channel has ended."""
        if peer.peer is None:
            return
        if self.followers.get(peer.peer.name) is peer:
            del self.followers[peer.peer.name]
            self.leaving_followers.discard(peer.peer.name)
            self.store_served_at.pop(peer.peer.name, None)
            self.cell_clock.drop_sample(peer.peer.name)
            log.warning(
                "peer_lost",
                extra={"peer": peer.peer.name, "reason": peer.reason},
            )

    def send_status_forever(self) -> None:
        """Sends the status to followers, or a pulse to the owner."""
        while True:
            gevent.sleep(STATUS_INTERVAL_S)
            if self.owner is not None:
                self.fitness_review.run()
                status = member_status.build_status(self)
                for peer in list(self.followers.values()):
                    peer.send(status=status)
            elif self.election.owner_channel is not None:
                self.election.owner_channel.send(
                    pulse=member_status.build_pulse(self)
                )

    def release_ownership(self, owner: owner_module.Owner | None) -> None:
        """Releases an ownership to the first entry in the succession.

        Args:
            owner: The owner; nothing is done for None, nor for one that has
                ended or is being released.
        """
        if owner is None or owner is not self.owner or owner.leaving:
            return
        owner.leaving = True
        status = member_status.build_status(self)
        self.election.owner_lookup.record_peers(status.succession)
        for peer in list(self.followers.values()):
            peer.send(status=status)
        log.info(
            "ownership_released",
            extra={
                "epoch": owner.epoch,
                "to": status.succession[0].name if status.succession else "",
            },
        )
        owner.hand_over()
        self.end_ownership(owner, "released")

    def end_deposed(self, owner: owner_module.Owner, reason: str) -> None:
        """Ends an ownership whose own greenlet reports that it is over."""
        gevent.spawn(self.end_ownership, owner, reason)

    def end_ownership(self, owner: owner_module.Owner, reason: str) -> None:
        """Stops an owner and closes the channels of its followers.

        What is told of an ownership that has ended concerns no later one.

        Args:
            owner: The owner.
            reason: Why it ends, for logs.
        """
        if owner is not self.owner:
            log.info(
                "ownership_end_ignored",
                extra={"epoch": owner.epoch, "cause": reason},
            )
            return
        self.owner = None
        owner.close()
        log.warning(
            "ownership_ended", extra={"epoch": owner.epoch, "cause": reason}
        )
        for peer in list(self.followers.values()):
            peer.close(reason)
        self.followers.clear()
        self.leaving_followers.clear()
