namespace cpp hawthornpick.policy.wire

struct organisation_summary {
  1: string organisation
  2: double requests
  3: double failures
}

struct upstream_summary {
  1: string upstream
  2: double recent_requests
  3: double recent_failures
  4: double recent_log_latency
  5: double usual_requests
  6: double usual_failures
  7: double usual_log_latency
  8: double usual_log_deviation
  9: list<organisation_summary> organisations
  10: double evidence
}

struct baseline_message {
  1: string service_name
  2: i64 question
  3: i64 answer_to
  4: list<upstream_summary> upstreams
}

enum permit_kind {
  Request = 1,
  Release = 2,
  Grant = 3,
  Denial = 4,
  NotHolder = 5,
  Recall = 6,
}

struct permit_message {
  1: permit_kind kind
  2: string service_name
  3: string region
  4: string upstream
  5: i64 number
  6: bool held
  7: double badness
}

// Evidence about a request. The record with the higher (generation, crashes) is newer.
struct crash_record {
  1: i64 fingerprint
  2: i32 generation
  3: i32 crashes
}

struct crash_message {
  1: string service_name
  7: list<crash_record> records
}
