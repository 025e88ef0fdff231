// Frames between an entry and the owner of its cell, over one connection.
// A frame holds exactly one of its optional messages. A frame with a number
// is a request; its response has the same number and `answer` set.
namespace py hickoryreach.wire

struct PeerInfo {
  1: string name,
  2: string address,
  // Processor time that the entry may use, in cores.
  3: double processor = 0,
}

// entry -> owner, first frame of a connection.
struct Greeting {
  1: PeerInfo peer,
}

// owner -> entry, several times a second.
struct Status {
  // 0 if the sender is not the owner.
  1: i64 epoch,
  // Number of jobs none of whose tasks has started, by queue.
  2: map<string, i32> pending,
  // The first entries in the order of succession.
  3: list<PeerInfo> succession,
  // The owner is stopping; the first successor takes over immediately.
  4: bool leaving = 0,
  // Minions that do not respond, with the time in ms after which no task
  // that the owner started can still run there.
  5: map<string, i32> silent,
  // False during a takeover, while the owner has no counts yet.
  6: bool serving = 0,
  // The sender is writing the owner's key and is not the owner yet.
  7: bool claiming = 0,
  // Time of day by the median of the entries' wall clocks, in ms since 1970.
  8: i64 cell_ms = 0,
  // When this was sent, on the owner's clock in ms.
  9: i64 sent_ms = 0,
  // Number of entries that follow the owner.
  10: i32 followers = 0,
  // Memory that jobs take of the owner, in bytes.
  11: i64 job_bytes = 0,
}

// entry -> owner, several times a second.
struct Pulse {
  // Time in ms since the store last served a call of the entry.
  1: i64 store_age_ms = 0,
  // Wall clock of the entry, in ms since 1970.
  2: i64 wall_ms = 0,
  // Highest epoch of an owner that the entry knows of.
  3: i64 epoch = 0,
  // `sent_ms` of the last status that this owner has sent; 0 for none.
  4: i64 echoed_ms = 0,
  // The entry is about to stop and will not take over any more.
  5: bool leaving = 0,
}

// entry -> owner: a job. With `offered`, the entry is storing it; otherwise
// the entry has stored it (`kept`) or asks the owner to store it.
struct Submission {
  1: binary job,
  2: bool kept = 1,
  3: bool offered = 0,
}

// entry -> owner: asks for the state of a job. A job of another workspace is
// reported as unknown; an empty workspace matches every job.
struct Query {
  1: string job_id,
  2: string workspace = "",
}

// entry -> owner: cancels a job.
struct Cancellation {
  1: string job_id,
  2: string workspace = "",
}

// owner -> entry: response to Submission, Query and Cancellation.
struct JobReport {
  1: bool known = 0,
  2: string state = "",
  // False if the owner could not store what was asked, or if the receiver
  // does not serve as the owner.
  3: bool kept = 1,
  // A write to the store got no response and may still take effect.
  4: bool unclear = 0,
}

// owner -> entry: asks the entry to call the advice service.
struct AdviceCall {
  1: string step,
  2: list<string> minions,
  3: double cost_ms = 0,
  4: i64 valid_ms = 0,
  // Incarnations of the minions that the owner knows as the call begins.
  5: map<string, i64> incarnations,
}

// entry -> owner: response to AdviceCall.
struct AdviceReport {
  1: bool failed = 0,
  2: map<string, string> tickets,
  3: i64 valid_ms = 0,
}

// An answer of the advice service whose tickets are still valid.
struct PastAdvice {
  1: string step,
  2: list<string> minions,
  3: map<string, string> tickets,
  4: i64 left_ms = 0,
  // Incarnations of the minions that the answer is about.
  5: map<string, i64> incarnations,
}

// entry -> a new owner: valid answers that an earlier owner asked for.
struct AdviceNews {
  1: list<PastAdvice> answers,
}

// entry -> entry: asks whether the receiver has heard from the owner lately.
struct OwnerQuestion {
  1: i64 epoch,
}

// entry -> entry: response to OwnerQuestion.
struct OwnerReport {
  1: bool heard = 0,
  2: i64 epoch = 0,
  // The owner that the sender hears from.
  3: optional PeerInfo owner,
}

struct Frame {
  1: i64 number = 0,
  2: bool answer = 0,
  3: optional Greeting greeting,
  4: optional Status status,
  5: optional Pulse pulse,
  6: optional Submission submission,
  7: optional Query query,
  8: optional Cancellation cancellation,
  9: optional JobReport job_report,
  10: optional AdviceCall advice_call,
  11: optional AdviceReport advice_report,
  12: optional OwnerQuestion owner_question,
  13: optional OwnerReport owner_report,
  14: optional AdviceNews advice_news,
}
