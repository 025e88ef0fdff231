// Messages between entries.
// One envelope carries all messages of an entry for one peer, so that a
// thousand starts cost a handful of calls. A message may be lost, duplicated
// or delayed: receivers are idempotent, and senders repeat a message until it
// is answered.
namespace py hickoryreach.wire

struct Resources {
  1: i64 cpu_millis = 0,
  2: i64 memory_mb = 0,
  3: i32 accelerators = 0,
  4: i32 slots = 0,
}

// A job as accepted from a caller.
struct Job {
  1: string job_id,
  2: string workspace,
  3: string request_id,
  4: string queue,
  5: string kind,
  6: string command,
  7: list<string> arguments,
  8: i32 tasks = 1,
  9: Resources need,
  10: i64 run_time_ms = 0,
  11: bool idempotent = 1,
  12: bool urgent = 0,
  13: bool preemptible = 0,
  14: i64 submitted_ms = 0,
  15: i64 timeout_ms = 0,
  16: string wave = "",
  17: string digest = "",
  18: string minion_service = "",
}

// entry -> owner: submits a job; repeated until a notice arrives.
struct Submission {
  1: Job job,
  // Unique id of the caller's call; a call that was refused stays refused.
  2: string call_id = "",
  // An earlier owner may have received this call already.
  3: bool repeated = 0,
  // The sender may have sent an attempt of the job to a minion.
  4: bool sent = 0,
  // The sender rejects dispatches of a lower term for this shard.
  5: i64 barrier = 0,
}

// entry -> owner: asks for notices of a job, now and at each change.
struct Query {
  1: string job_id,
  2: string workspace,
}

// entry -> owner: cancels one job, or all jobs of a wave.
struct Cancellation {
  1: string workspace,
  2: string job_id = "",
  3: string wave = "",
  4: string actor = "",
}

// owner -> entry: the entry sends a request to a minion at once.
struct Dispatch {
  1: string job_id,
  2: i64 attempt,
  3: string worker_id,
  4: string address,
  5: i64 term,
  6: i64 valid_ms,
  // Number of connections to this minion that the receiver may use.
  7: i32 connections = 0,
}

// entry -> owner: the outcome of a dispatched request; repeated until a notice
// acknowledges its attempt and term.
struct Outcome {
  1: string job_id,
  2: i64 attempt,
  3: string worker_id,
  4: string result,
  5: i64 run_ms = 0,
  6: binary answer = "",
  7: i32 status = 0,
  8: string reason = "",
  9: i64 term = 0,
}

// owner -> entry: reports the state of a job.
struct Notice {
  1: string job_id,
  2: string state,
  3: string ran,
  4: string reason = "",
  5: string detail = "",
  6: binary answer = "",
  7: i32 status = 0,
  8: i32 tasks_running = 0,
  9: i32 tasks_done = 0,
  10: i32 tasks_failed = 0,
  11: list<string> workers = [],
  12: i32 tasks = 0,
  // Attempt and term of an outcome that is acknowledged, so that the receiver
  // stops repeating it.
  13: i64 taken_attempt = 0,
  14: i64 taken_term = 0,
  // Id of the call that is refused.
  15: string call_id = "",
}

// Claim of the sender to own a shard.
struct Claim {
  1: i32 shard,
  2: i64 term,
}

// State of an entry, sent to each other entry at least once a second.
struct Status {
  1: list<Claim> claims = [],
  2: bool draining = 0,
  // Entries that answered the sender recently.
  3: list<string> heard = [],
  // Shards that the sender does not take over at present.
  4: list<i32> declined = [],
}

// Newest revision of an operators' list that the sender has in force.
struct ListHead {
  1: string name,
  2: i64 revision,
  3: binary document = "",
}

// entry -> entry: all messages for one peer.
struct Envelope {
  1: string sender,
  2: list<Submission> submissions = [],
  3: list<Query> queries = [],
  4: list<Cancellation> cancellations = [],
  5: list<Outcome> outcomes = [],
  6: list<Dispatch> dispatches = [],
  7: list<Notice> notices = [],
  8: list<ListHead> heads = [],
  9: Status status,
}

// Response to an envelope.
struct Receipt {
  1: string receiver,
  2: list<ListHead> heads = [],
  3: Status status,
}

// entry -> owner: asks for a page of the jobs of a workspace.
struct ListRequest {
  1: i32 shard,
  2: string workspace,
  3: string state = "",
  4: string wave = "",
  5: string after = "",
  6: i32 limit = 100,
}

// Response to ListRequest.
struct ListReply {
  1: bool owner,
  2: list<Notice> jobs = [],
  3: string after = "",
}

service Peer {
  Receipt deliver(1: Envelope envelope),
  ListReply list_jobs(1: ListRequest request),
}
