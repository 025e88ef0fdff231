// Frames between an entry and the owner of its cell, over one connection.
// A frame holds exactly one of its optional messages. A frame with a number
// is answered by one with the same number and `answer` set.
namespace py hickoryreach.wire

struct PeerInfo {
  1: string name,
  2: string address,
  // Cores' worth of processor time that it gets.
  3: double processor = 0,
}

// entry -> owner, first frame of a connection.
struct Greeting {
  1: PeerInfo peer,
}

// owner -> entry, several times a second.
struct Status {
  // 0 from an entry that is not the owner.
  1: i64 epoch,
  // Jobs by queue none of whose tasks has started.
  2: map<string, i32> pending,
  // The first entries in the order in which they should take over.
  3: list<PeerInfo> succession,
  // The owner is stopping; the first of the succession takes over at once.
  4: bool leaving = 0,
  // Minions that do not answer, with the time in ms until nothing that the
  // owner started can run there.
  5: map<string, i32> silent,
  // False while the owner is still taking over and has no counts.
  6: bool serving = 0,
  // An entry that is not the owner yet is writing the owner's key.
  7: bool claiming = 0,
}

// entry -> owner, several times a second.
struct Pulse {
  // Time since the store last served a call of the entry.
  1: i64 store_age_ms = 0,
}

// entry -> owner: this job is kept, is to be written for the entry, or (as
// `offered`) is being written by it.
struct Submission {
  1: binary job,
  2: bool kept = 1,
  3: bool offered = 0,
}

// Of a job of another workspace nothing is told; an empty one sees all.
struct Query {
  1: string job_id,
  2: string workspace = "",
}

struct Cancellation {
  1: string job_id,
  2: string workspace = "",
}

// owner -> entry, in answer to the three above.
struct JobReport {
  1: bool known = 0,
  2: string state = "",
  // False when the owner could not keep what was asked.
  3: bool kept = 1,
  // A write that was tried without an answer may still be carried out.
  4: bool unclear = 0,
}

// owner -> entry: ask the advice service.
struct AdviceCall {
  1: string step,
  2: list<string> minions,
  3: double cost_ms = 0,
  4: i64 valid_ms = 0,
}

struct AdviceReport {
  1: bool failed = 0,
  2: map<string, string> tickets,
  3: i64 valid_ms = 0,
}

// An answer of the advice service that is still valid.
struct PastAdvice {
  1: string step,
  2: list<string> minions,
  3: map<string, string> tickets,
  4: i64 left_ms = 0,
}

// entry -> a new owner: answers that the entry had for an earlier one.
struct AdviceNews {
  1: list<PastAdvice> answers,
}

// entry -> entry: have you heard the owner lately?
struct OwnerQuestion {
  1: i64 epoch,
}

struct OwnerReport {
  1: bool heard = 0,
  2: i64 epoch = 0,
  // The owner that is heard.
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
