"""Messages between entries, and the conversion of jobs to and from them."""

import pathlib

import thriftpy2

from hickoryreach.structure import jobs
from hickoryreach.structure import resources

_PATH = pathlib.Path(__file__).with_name("peer.thrift")

peer = thriftpy2.load(str(_PATH), module_name="peer_thrift")

Peer = peer.Peer
Envelope = peer.Envelope
Receipt = peer.Receipt
Submission = peer.Submission
Query = peer.Query
Cancellation = peer.Cancellation
Dispatch = peer.Dispatch
Outcome = peer.Outcome
Notice = peer.Notice
Claim = peer.Claim
Status = peer.Status
ListHead = peer.ListHead
ListRequest = peer.ListRequest
ListReply = peer.ListReply


def pack_job(job: jobs.Job) -> "peer.Job":
    """Returns the thrift message of a job."""
    need = job.need
    return peer.Job(
        job_id=job.job_id,
        workspace=job.workspace,
        request_id=job.request_id,
        queue=job.queue,
        kind=str(job.kind),
        command=job.command,
        arguments=list(job.arguments),
        tasks=job.tasks,
        need=peer.Resources(
            cpu_millis=need.cpu_millis,
            memory_mb=need.memory_mb,
            accelerators=need.accelerators,
            slots=need.slots,
        ),
        run_time_ms=job.run_time_ms,
        idempotent=job.idempotent,
        urgent=job.urgent,
        preemptible=job.preemptible,
        submitted_ms=job.submitted_ms,
        timeout_ms=job.timeout_ms,
        wave=job.wave,
        digest=job.digest,
        minion_service=job.service,
    )


def unpack_job(message: "peer.Job") -> jobs.Job:
    """Returns the job in a thrift message."""
    need = message.need
    return jobs.Job(
        job_id=message.job_id,
        workspace=message.workspace,
        request_id=message.request_id,
        queue=message.queue,
        kind=jobs.Kind(message.kind),
        command=message.command,
        arguments=tuple(message.arguments),
        tasks=message.tasks,
        need=resources.Resources(
            cpu_millis=need.cpu_millis,
            memory_mb=need.memory_mb,
            accelerators=need.accelerators,
            slots=need.slots,
        ),
        run_time_ms=message.run_time_ms,
        idempotent=message.idempotent,
        urgent=message.urgent,
        preemptible=message.preemptible,
        submitted_ms=message.submitted_ms,
        timeout_ms=message.timeout_ms,
        wave=message.wave,
        digest=message.digest,
        service=message.minion_service,
    )
