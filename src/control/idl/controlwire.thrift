namespace cpp hawthornpick.control.wire

struct member {
  1: string node
  2: i64 disk
}

struct replacement {
  1: member old_member
  2: member new_member
  3: string change_id
}

struct membership {
  1: list<member> voters
  2: list<member> learners
  3: list<replacement> replacements
}

struct command {
  1: i8 kind
  2: i64 version
  3: string change_id
  4: i64 base
  5: binary digest
  6: binary bytes
  7: i64 part
  8: bool is_delta
  9: string reason
  10: membership members
}

struct entry {
  1: i64 index
  2: i64 term
  3: binary command_bytes
}

struct change {
  1: string id
  2: i64 version
  3: binary digest
  4: i8 outcome
  5: i8 reason
  6: i64 winner
  7: binary winner_digest
  8: string detail
}

struct accepted_version {
  1: i64 version
  2: binary digest
  3: string change_id
}

struct state {
  1: i64 accepted
  2: binary accepted_digest
  3: i64 assigned
  4: i64 in_force
  5: i64 pending
  6: binary pending_digest
  7: string pending_change
  8: list<change> changes
  9: list<accepted_version> history
  10: binary accepted_content
  11: binary pending_content
  12: string parts_change
  13: binary parts
}

struct snapshot {
  1: i64 index
  2: i64 term
  3: membership members
  4: binary state_bytes
}

struct vote {
  1: i64 term
  2: i64 disk
  3: i64 last_index
  4: i64 last_term
  5: bool trial
}

struct vote_answer {
  1: i64 term
  2: i64 disk
  3: bool granted
  4: bool trial
  5: i64 asked_term
}

struct append {
  1: i64 term
  2: i64 disk
  3: i64 previous_index
  4: i64 previous_term
  5: list<entry> entries
  6: i64 commit
  7: i64 round
}

struct append_answer {
  1: i64 term
  2: i64 disk
  3: bool matched
  4: i64 last
  5: i64 round
}

struct snapshot_offer {
  1: i64 term
  2: i64 disk
  3: i64 index
  4: binary digest
  5: i64 round
}

struct hello {
  1: i64 disk
}

struct hello_answer {
  1: i64 disk
  2: bool initialised
  3: membership members
}

struct operator_request {
  1: i64 id
  2: i8 kind
  3: string change_id
  4: i64 base
  5: binary digest
  6: string old_node
  7: string new_node
}

struct operator_reply {
  1: i64 id
  2: bool redirect
  3: string leader
  4: bool done
  5: change result
  6: list<accepted_version> history
  7: i64 accepted
  8: binary accepted_digest
  9: i64 in_force
  10: list<string> voters
  11: list<string> learners
}

struct record_item {
  1: i8 kind
  2: i64 term
  3: string voted_for
  4: i64 disk
  5: entry log_entry
  6: binary snapshot_bytes
}

struct record {
  1: list<record_item> items
}
