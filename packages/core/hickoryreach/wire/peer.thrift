// Messages between entry instances.
// One envelope carries all that an instance has for one peer, so that a
// thousand starts cost a handful of calls. Every message may be lost, doubled
// or late: receivers are idempotent and senders repeat until answered.
namespace py hickoryreach.wire

struct Resources {
  1: i64 cpu_millis = 0,
  2: i64 memory_mb = 0,
  3: i32 accelerators = 0,
  4: i32 slots = 0,
}

// A job as accepted at the border.
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

// entry -> owner: take this job; repeated until a notice arrives.
struct Submission {
  1: Job job,
  // Unique to the caller's call; a call refused once stays refused.
  2: string call_id = "",
  // An earlier owner may have been given this call already.
  3: bool repeated = 0,
  // The sender may have sent an attempt of it to a minion.
  4: bool sent = 0,
  // The sender takes no dispatch of a lower term for this shard any more.
  5: i64 barrier = 0,
}

// entry -> owner: tell me about this job now and when it changes.
struct Query {
  1: string job_id,
  2: string workspace,
}

// entry -> owner: cancel one job, or each job of a wave.
struct Cancellation {
  1: string workspace,
  2: string job_id = "",
  3: string wave = "",
  4: string actor = "",
}

// owner -> entry: send the request to this minion now.
struct Dispatch {
  1: string job_id,
  2: i64 attempt,
  3: string worker_id,
  4: string address,
  5: i64 term,
  6: i64 valid_ms,
  // Connections to this minion that the receiver may use.
  7: i32 connections = 0,
}

// entry -> owner: a dispatched request has ended; repeated until a notice
// names its attempt and term as taken in.
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

// owner -> entry: the state of a job.
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
  // The outcome of this attempt, under this term, need not be repeated.
  13: i64 taken_attempt = 0,
  14: i64 taken_term = 0,
  // Call that a refusal is meant for.
  15: string call_id = "",
}

// A shard that the sender owns.
struct Claim {
  1: i32 shard,
  2: i64 term,
}

// What each entry tells the others about itself, at least once a second.
struct Status {
  1: list<Claim> claims = [],
  2: bool draining = 0,
  // Entries that answered the sender a short while ago.
  3: list<string> heard = [],
  // Shards that the sender does not take for now.
  4: list<i32> declined = [],
}

// Newest revision of one operators' list that the sender has in force.
struct ListHead {
  1: string name,
  2: i64 revision,
  3: binary document = "",
}

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

struct Receipt {
  1: string receiver,
  2: list<ListHead> heads = [],
  3: Status status,
}

struct ListRequest {
  1: i32 shard,
  2: string workspace,
  3: string state = "",
  4: string wave = "",
  5: string after = "",
  6: i32 limit = 100,
}

struct ListReply {
  1: bool owner,
  2: list<Notice> jobs = [],
  3: string after = "",
}

service Peer {
  Receipt deliver(1: Envelope envelope),
  ListReply list_jobs(1: ListRequest request),
}
