namespace cpp hawthornpick.upstream.wire

// Load of the service on the executing node.
struct load_report {
  1: i32 usable_slots
  2: i32 busy_slots
  3: i32 waiting
  4: i64 mean_service_us
  5: i32 health_percent
  6: i32 acceptance_percent
  // Left out while all ranks are admitted.
  7: optional i32 lowest_rank
  // Set while the upstreams are cold or name limits.
  8: optional double start_rate
}

// What an incarnation of an upstream has said of itself in its answers.
struct upstream_statement {
  1: string upstream
  2: i64 incarnation
  3: optional double request_limit
  4: bool leaving
}

// Head of a request stream. `headers` holds the header lines to forward, each ended by CRLF. Fields
// ending in `_ms` are remaining times or durations; -1 in `target_ms` and `max_wait_ms` means
// unlimited.
struct request_head {
  1: i64 attempt_high
  2: i64 attempt_low
  3: i64 node_incarnation
  4: i64 config_version
  5: string organisation
  6: string key
  7: string service_name
  8: string route
  9: bool idempotent
  10: i64 remaining_ms
  11: string request_id
  12: binary fingerprint
  13: string method
  14: string target
  15: binary headers
  16: optional i64 content_length
  17: binary body
  18: bool body_complete
  19: i32 min_health_percent
  20: i64 target_ms
  21: i32 priority
  22: i64 max_wait_ms
  // What the entry node has been told about the upstreams of the service on the executing node.
  23: optional list<upstream_statement> statements
}

// Head of an answer stream. `refusal` is set if the request was not run or failed before the answer
// head; then only `detail` and `load` are used.
struct answer_head {
  1: optional i8 refusal
  2: string detail
  3: i32 status
  4: binary headers
  5: optional i64 content_length
  6: binary body
  7: bool body_complete
  8: optional load_report load
  // What the upstreams of the service on this node have said.
  9: optional list<upstream_statement> statements
  // Set if an upstream hasn't answered this process yet.
  10: optional bool statements_incomplete
}

// End of an answer stream. `failure` is an error kind; it is set if the answer is incomplete.
struct answer_end {
  1: optional i8 failure
  2: string detail
  3: load_report load
}
