"""The state machine: work, faults and replaced owners in any order."""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from tests.core.fuzz import fakes
from tests.core.fuzz import oracle as oracles
from tests.core.fuzz import owner as owners

WORKERS = ("w1", "w2", "w3")
WORKSPACES = ("north", "south")
CAPACITY = resources.Resources(cpu_millis=4_000, memory_mb=4_000, slots=2)
QUIET_ROUNDS = 200
QUIET_TICK_MS = 5_000

sizes = strategies.sampled_from((1_000, 2_000, 3_000))
limits = strategies.sampled_from((None, 0, 2_000, 5_000))
positions = strategies.integers(min_value=0, max_value=31)
names = strategies.sampled_from(WORKSPACES)
worker_ids = strategies.sampled_from(WORKERS)
kinds = strategies.sampled_from(list(jobs.Kind))
outcomes = strategies.sampled_from(
    (jobs.TaskResult.SUCCEEDED, jobs.TaskResult.FAILED)
)
losses = strategies.sampled_from(
    ("none", "request", "reply", "copied", "copied_and_reply")
)


def _square(size: int | None) -> resources.Resources | None:
    if size is None:
        return None
    return resources.Resources(
        cpu_millis=size, memory_mb=size, slots=size // 1_000
    )


class Machine(stateful.RuleBasedStateMachine):
    """Owners, workers, callers and operators of one shard.

    Attributes:
        broken: Names of protections that are taken out.
        left_out: Kinds of work that are submitted as batch jobs instead.
        fixed_limits: Whether operators leave the limits alone.
    """

    broken: frozenset[str] = frozenset()
    left_out: frozenset[jobs.Kind] = frozenset()
    fixed_limits: bool = False

    def __init__(self) -> None:
        """Creates three workers, two workspaces and the first owner."""
        super().__init__()
        self.oracle = oracles.Oracle()
        self.journal: dict[str, owners.Kept] = {}
        self.cut: set[str] = set()
        self.lapsed: set[str] = set()
        self.emptied: set[str] = set()
        self.stray: list[tuple[str, fakes.Sync]] = []
        self.outcomes: list[events.TaskEnded] = []
        self.made = 0
        self.usage: dict[str, int] = {}
        self.now_ms = 1_000
        self.fakes = {
            name: fakes.FakeWorker(
                worker=workers.Worker(
                    worker_id=name,
                    failure_domain=f"d{number}",
                    rack=f"r{number}",
                    capacity=CAPACITY,
                    service="desk",
                ),
                oracle=self.oracle,
                usage=self.usage,
                fenced="fence" not in self.broken,
            )
            for number, name in enumerate(WORKERS)
        }
        self.oracle.limits = dict.fromkeys(WORKSPACES, None)
        self.owner = self._make_owner(1)
        self.owner.entitle()
        for name in WORKERS:
            self._join(name)
        self._clear_holds()

    @stateful.rule(
        kind=kinds,
        workspace=names,
        tasks=strategies.integers(min_value=1, max_value=3),
        size=sizes,
        idempotent=strategies.booleans(),
        urgent=strategies.booleans(),
        preemptible=strategies.booleans(),
        usage=strategies.sampled_from((100, 30, 150)),
    )
    def submit(
        self,
        kind: jobs.Kind,
        workspace: str,
        tasks: int,
        size: int,
        idempotent: bool,
        urgent: bool,
        preemptible: bool,
        usage: int = 100,
    ) -> None:
        """A caller's job is accepted, or refused for good."""
        self.made += 1
        if kind in self.left_out:
            kind = jobs.Kind.BATCH
        self.usage[f"0.{self.made}"] = usage
        request = kind is jobs.Kind.REQUEST
        service = kind is jobs.Kind.SERVICE
        self.owner.submit(
            jobs.Job(
                job_id=f"0.{self.made}",
                workspace=workspace,
                kind=kind,
                command="run",
                tasks=1 if request else tasks,
                need=resources.Resources(slots=1)
                if request
                else resources.Resources(cpu_millis=size, memory_mb=size),
                idempotent=idempotent or service,
                urgent=urgent and kind is jobs.Kind.BATCH,
                preemptible=preemptible and kind is jobs.Kind.BATCH,
                wave="wave",
                service="desk" if request else "",
            )
        )

    @stateful.rule(position=positions)
    def cancel(self, position: int) -> None:
        """A caller cancels a job, perhaps a finished one."""
        known = list(self.oracle.accepted)
        if known:
            job_id = known[position % len(known)]
            self.owner.take(events.JobCancelled(job_id=job_id))

    @stateful.rule(workspace=names)
    def cancel_wave(self, workspace: str) -> None:
        """A caller cancels every job of a workspace."""
        self.owner.take(events.WaveCancelled(workspace=workspace, wave="wave"))

    @stateful.rule(workspace=names, size=limits)
    def set_limit(self, workspace: str, size: int | None) -> None:
        """An operator changes a limit."""
        if self.fixed_limits:
            return
        self.oracle.limits[workspace] = _square(size)
        self.owner.entitle()

    @stateful.rule(milliseconds=strategies.sampled_from((50, 1_000, 30_000)))
    def tick(self, milliseconds: int) -> None:
        """Time passes."""
        self._pass(milliseconds)
        self.owner.take(events.Ticked())

    @stateful.rule(worker_id=worker_ids, loss=losses)
    def sync(self, worker_id: str, loss: str) -> None:
        """The owner syncs a worker; messages may be lost or copied."""
        self._sync(worker_id, loss)

    @stateful.rule(position=positions)
    def deliver_stray(self, position: int) -> None:
        """A message that was copied or delayed arrives late."""
        if self.stray:
            worker_id, message = self.stray.pop(position % len(self.stray))
            if worker_id not in self.cut:
                self.fakes[worker_id].sync(message)

    @stateful.rule(position=positions)
    def repeat_event(self, position: int) -> None:
        """The owner hears something twice, or late."""
        if self.owner.heard:
            heard = self.owner.heard
            self.owner.take(heard[position % len(heard)])

    @stateful.rule(worker_id=worker_ids)
    def report_late(self, worker_id: str) -> None:
        """An earlier list of a worker arrives again."""
        link = self.owner.links[worker_id]
        if link.grant is not None:
            self.owner.take(
                events.WorkerReported(worker_id=worker_id, running=link.listed)
            )

    @stateful.rule(position=positions, outcome=outcomes)
    def finish(self, position: int, outcome: jobs.TaskResult) -> None:
        """A task ends on its worker, or a request on its minion."""
        keys = sorted(self.oracle.running, key=str)
        if keys:
            self._finish(keys[position % len(keys)], outcome)

    @stateful.rule(position=positions, arrives=strategies.booleans())
    def dispatch(self, position: int, arrives: bool) -> None:
        """A request reaches its minion, or is given up before."""
        waiting = self.owner.dispatches
        if waiting:
            self._dispatch(position % len(waiting), arrives)

    @stateful.rule(position=positions)
    def hear_outcome(self, position: int) -> None:
        """The owner hears how a request ended; the entry may repeat it."""
        if self.outcomes:
            place = position % len(self.outcomes)
            self.owner.take(self.outcomes.pop(place))

    @stateful.rule(worker_id=worker_ids)
    def cut_off(self, worker_id: str) -> None:
        """A worker can't be reached any more."""
        if worker_id not in self.cut:
            self.cut.add(worker_id)
            self.owner.take(events.WorkerUnreachable(worker_id=worker_id))
            if "early_loss" in self.broken:
                self.owner.forget(worker_id)

    @stateful.rule(worker_id=worker_ids)
    def heal(self, worker_id: str) -> None:
        """A worker can be reached again."""
        self.cut.discard(worker_id)

    @stateful.rule(worker_id=worker_ids)
    def lapse(self, worker_id: str) -> None:
        """A worker out of reach stops all as its leases lapse."""
        if worker_id in self.cut:
            self.fakes[worker_id].lapse()
            self._end_requests(worker_id)
            self.lapsed.add(worker_id)
            self.emptied.add(worker_id)

    @stateful.rule(worker_id=worker_ids)
    def lose(self, worker_id: str) -> None:
        """The owner learns that the leases must have lapsed."""
        if worker_id in self.lapsed:
            self._lose(worker_id)

    @stateful.rule(worker_id=worker_ids)
    def reboot(self, worker_id: str) -> None:
        """A worker restarts and knows nothing."""
        if worker_id not in self.cut:
            self.fakes[worker_id].reboot()
            self._end_requests(worker_id)
            self.emptied.add(worker_id)
            self._lose(worker_id)

    @stateful.rule(worker_id=worker_ids)
    def join(self, worker_id: str) -> None:
        """The owner takes the grant of a worker it has none of."""
        self._join(worker_id)

    @stateful.rule(worker_id=worker_ids, departing=strategies.booleans())
    def depart(self, worker_id: str, departing: bool) -> None:
        """The platform announces that it retires a worker, or not."""
        fake = self.fakes[worker_id]
        fake.worker = dataclasses.replace(fake.worker, departing=departing)
        if self._reachable(worker_id):
            self.emptied.discard(worker_id)
            self.owner.join(fake)

    @stateful.rule()
    def clear_holds(self) -> None:
        """All workers have listed their tasks, or their leases lapsed."""
        self._clear_holds()

    @stateful.rule()
    def sync_all(self) -> None:
        """The owner syncs every worker; nothing is lost."""
        for worker_id in WORKERS:
            self._sync(worker_id, "none")

    @stateful.rule(
        carried=strategies.integers(min_value=0, max_value=3),
        joined=strategies.sets(worker_ids),
    )
    def replace_owner(self, carried: int, joined: set[str]) -> None:
        """Another owner takes over while the last one was deciding."""
        old = self.owner
        old.take(events.Ticked(), carried=carried)
        for worker_id in old.links:
            self.stray.append((worker_id, old.message(worker_id)))
        self.owner = self._make_owner(old.term + 1)
        self.owner.entitle()
        self.owner.restore()
        self._submit_again()
        for worker_id in sorted(joined):
            self._join(worker_id)
        self._clear_holds()

    def teardown(self) -> None:
        """Ends the faults; everything accepted must get its answer."""
        if self.oracle.violated:
            return
        for name in WORKSPACES:
            self.set_limit(name, None)
        for name in WORKERS:
            self.cut.discard(name)
            self.depart(name, False)
        for job_id, job in self.oracle.accepted.items():
            if job.kind is jobs.Kind.SERVICE:
                self.owner.take(events.JobCancelled(job_id=job_id))
        for _ in range(QUIET_ROUNDS):
            if self._settle_round():
                break
        self.oracle.check_answered()

    def _settle_round(self) -> bool:
        for name in WORKERS:
            if name in self.lapsed:
                self._lose(name)
            self._join(name)
        self._clear_holds()
        while self.owner.dispatches:
            self._dispatch(0, True)
        for name in WORKERS:
            self._sync(name, "none")
        for key in list(self.oracle.running):
            if self.oracle.running[key].job.kind is not jobs.Kind.SERVICE:
                self._finish(key, jobs.TaskResult.SUCCEEDED)
        while self.outcomes:
            self.owner.take(self.outcomes.pop())
        for name in WORKERS:
            self._sync(name, "none")
        self._pass(QUIET_TICK_MS)
        self.owner.take(events.Ticked())
        return all(
            job_id in self.oracle.told or job.kind is jobs.Kind.SERVICE
            for job_id, job in self.oracle.accepted.items()
        )

    def _make_owner(self, term: int) -> owners.Owner:
        return owners.Owner(
            term=term,
            oracle=self.oracle,
            journal=self.journal,
            worker_ids=WORKERS,
            now_ms=self.now_ms,
            broken=self.broken,
        )

    def _pass(self, milliseconds: int) -> None:
        self.now_ms += milliseconds
        self.owner.now_ms = self.now_ms

    def _reachable(self, worker_id: str) -> bool:
        return worker_id not in self.cut and worker_id not in self.lapsed

    def _join(self, worker_id: str) -> None:
        link = self.owner.links[worker_id]
        if link.grant is None and self._reachable(worker_id):
            self.emptied.discard(worker_id)
            self.owner.join(self.fakes[worker_id])

    def _lose(self, worker_id: str) -> None:
        self.lapsed.discard(worker_id)
        self.owner.forget(worker_id)

    def _sync(self, worker_id: str, loss: str) -> None:
        link = self.owner.links[worker_id]
        if link.grant is None:
            return
        message = self.owner.message(worker_id)
        if loss.startswith("copied"):
            self.stray.append((worker_id, message))
        if worker_id in self.cut or loss == "request":
            return
        reply = self.fakes[worker_id].sync(message)
        if reply is not None and not loss.endswith("reply"):
            self.owner.answered(worker_id, message)
            self.owner.learn(worker_id, reply)

    def _clear_holds(self) -> None:
        waiting = [
            name
            for name, link in self.owner.links.items()
            if link.grant is None and name not in self.emptied
        ]
        early = "early_clear" in self.broken
        if early or not (waiting or self._old_requests()):
            self.owner.take(events.HoldsCleared())

    def _old_requests(self) -> bool:
        floor = (self.owner.term - 1) * owners.ATTEMPTS_PER_TERM
        return self.owner.term > 1 and any(
            running.job.kind is jobs.Kind.REQUEST and key.attempt <= floor
            for key, running in self.oracle.running.items()
        )

    def _finish(self, key: jobs.TaskKey, outcome: jobs.TaskResult) -> None:
        running = self.oracle.running[key]
        if running.job.kind is not jobs.Kind.REQUEST:
            self.fakes[running.worker_id].finish(key, outcome)
            return
        self.oracle.end(key, outcome)
        self._tell_outcome(key, running.worker_id, outcome)

    def _dispatch(self, position: int, arrives: bool) -> None:
        effect = self.owner.dispatches.pop(position)
        serving = [
            running
            for running in self.oracle.running.values()
            if running.worker_id == effect.worker_id and running.need.slots
        ]
        if not arrives or len(serving) >= CAPACITY.slots:
            self._tell_outcome(
                effect.key, effect.worker_id, jobs.TaskResult.NOT_RUN
            )
            return
        job = self.oracle.accepted[effect.key.job_id]
        self.oracle.start(
            effect.key,
            oracles.Running(
                worker_id=effect.worker_id,
                job=job,
                need=job.need,
                limit=None,
            ),
        )

    def _tell_outcome(
        self, key: jobs.TaskKey, worker_id: str, outcome: jobs.TaskResult
    ) -> None:
        self.outcomes.append(
            events.TaskEnded(
                key=key, worker_id=worker_id, result=outcome, status=200
            )
        )

    def _submit_again(self) -> None:
        """An entry repeats the requests that the store does not keep."""
        for job_id, job in self.oracle.accepted.items():
            if job_id in self.journal or job_id in self.oracle.told:
                continue
            if self._entry_has_answer(job_id):
                self.oracle.told[job_id] = (
                    jobs.JobState.SUCCEEDED,
                    jobs.ExecutionStatus.RAN,
                )
            else:
                self.owner.take(events.JobSubmitted(job=job, entry="e1"))

    def _entry_has_answer(self, job_id: str) -> bool:
        self.outcomes = [
            end
            for end in self.outcomes
            if end.key.job_id != job_id
            or end.result is not jobs.TaskResult.NOT_RUN
        ]
        runs = any(key.job_id == job_id for key in self.oracle.running)
        return runs or any(end.key.job_id == job_id for end in self.outcomes)

    def _end_requests(self, worker_id: str) -> None:
        for key, running in list(self.oracle.running.items()):
            if running.worker_id == worker_id and running.need.slots:
                self._finish(key, jobs.TaskResult.UNKNOWN)
