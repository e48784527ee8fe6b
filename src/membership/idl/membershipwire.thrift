namespace cpp hawthornpick.membership.wire

// An upstream as published by its node; `name` is the id without the prefix of the node.
struct upstream {
  1: string name
  2: string service_name
  3: i32 slots
  4: i8 state
  5: bool ejected
  6: i64 incarnation
  7: i64 sequence
}

// State of a node according to the failure detector.
struct status {
  1: string node
  2: i64 incarnation
  3: i64 refutation
  4: i8 condition
}

// A change of one upstream, or the announcement that the node is leaving.
struct change {
  1: string node
  2: i64 incarnation
  3: bool leaving
  4: optional upstream entry
}

// Complete information about a node. An upstream whose last known sequence number is at most
// `complete` and that is not listed no longer exists.
struct record {
  1: status state
  2: bool leaving
  3: string host
  4: string region
  5: string failure_domain
  6: string address
  7: i32 port
  8: i64 complete
  9: list<upstream> upstreams
}

// Digest of the information about a node, for comparison by anti-entropy.
struct version {
  1: status state
  2: i32 digest
}

struct message {
  1: i8 kind
  2: optional i64 number
  // The sender's own incarnation and refutation number.
  3: i64 incarnation
  4: i64 refutation
  5: optional string target
  6: optional i32 digest
  7: optional list<i32> buckets
  8: optional list<status> statuses
  9: optional list<change> changes
  10: optional list<record> records
  11: optional list<version> versions
  12: optional list<string> wanted
  // Record, without upstreams, of a sender whose address the receiver may not know.
  13: optional record introduction
}
