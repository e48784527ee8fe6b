namespace cpp hawthornpick.quorum.wire

struct member {
  1: string node
  2: i64 disk
}

// Change that is contained in the value. `digest` identifies it when its sender repeats it.
struct accepted_change {
  1: i64 version
  2: binary digest
}

struct evacuation {
  1: string failure_domain
  2: i64 since
}

struct evacuation_list {
  1: i64 revision
  2: list<evacuation> items
}

// The whole replicated state. Each value replaces the previous one.
struct group_value {
  1: i64 term
  2: i64 index
  3: i64 version
  4: binary content
  5: list<accepted_change> changes
  6: list<member> voters
  // Left out before the first order.
  7: optional evacuation_list evacuations
  // Identities of the newest orders that the list contains, oldest first.
  8: optional list<i64> evacuation_orders
}

struct vote_request {
  1: i64 term
  2: member candidate
  3: i64 value_term
  4: i64 value_index
  5: bool trial
}

struct vote_answer {
  1: i64 term
  2: member voter
  3: bool granted
  4: bool trial
}

// A heartbeat if `value` is not set.
struct append_request {
  1: i64 term
  2: member leader
  3: i64 round
  4: i64 committed_term
  5: i64 committed_index
  6: optional group_value value
}

// `value_term` and `value_index` are the position of the newest value that the voter has on disk.
struct append_answer {
  1: i64 term
  2: member voter
  3: i64 round
  4: i64 value_term
  5: i64 value_index
}

struct join_request {
  1: member newcomer
}

struct evacuation_order {
  1: i64 id
  2: i64 base_revision
  3: string failure_domain
  4: bool starts
  5: i64 since
}

// Operator request that a node forwards to the leader.
struct operator_request {
  1: i64 number
  2: i8 kind
  3: i64 base_version
  4: bool has_base
  5: i64 version
  6: binary digest
  7: i8 format
  8: binary body
  9: optional evacuation_order evacuation
}

struct operator_answer {
  1: i64 number
  2: i8 kind
  3: i64 version
  4: string detail
  5: binary content
  6: optional evacuation_list evacuations
}

struct message {
  1: optional vote_request ask_vote
  2: optional vote_answer vote
  3: optional append_request append
  4: optional append_answer appended
  5: optional join_request join
  6: optional operator_request ask
  7: optional operator_answer answer
}
