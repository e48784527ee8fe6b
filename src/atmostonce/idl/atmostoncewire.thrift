namespace cpp hawthornpick.atmostonce.wire

// Channel Fence. A request has no answer field.
struct fence_message {
  1: i64 attempt_high
  2: i64 attempt_low
  3: i64 incarnation
  4: optional i8 answer
}

struct ballot {
  1: i64 round
  2: i64 proposer
}

struct record {
  1: i8 phase
  2: binary digest
  3: i64 claim
  4: i64 attempt_high
  5: i64 attempt_low
  6: string node
  7: i64 incarnation
  8: i64 life_ms
  9: i32 status
  10: binary answer
}

struct copied_record {
  1: string key
  2: ballot promised
  3: ballot accepted
  4: record value
  5: i64 age_ms
}

// Channel Idempotency.
struct idempotency_message {
  1: i8 kind
  2: string key
  3: ballot number
  4: optional record value
  5: optional ballot accepted
  6: optional i64 age_ms
  7: optional map<string, i64> incarnations
  8: optional list<copied_record> page
  9: optional bool last_page
  10: optional i64 sender_incarnation
  // Region whose replicas the message is for; a node may be a replica of several.
  11: optional string region
}
