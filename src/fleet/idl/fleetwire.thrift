namespace cpp hawthornpick.fleet.wire

struct upstream {
  1: string id
  2: string service_name
  3: i32 slots
  4: i8 state
  5: i64 incarnation
  // True once the upstream has announced that it leaves.
  6: optional bool leaving
}

// Evidence that a request crashes upstreams. The record with the higher (generation, crashes) is
// newer.
struct crash_record {
  1: i64 fingerprint
  2: i32 generation
  3: i32 crashes
}

// A node as it describes itself. The record with the higher (generation, sequence) is newer.
struct node_record {
  1: string node
  2: i64 generation
  3: i64 sequence
  4: string host
  5: string region
  6: string failure_domain
  7: i8 state
  8: bool hub
  9: list<upstream> upstreams
  10: string reports_to
  // Evidence from the upstreams of the node; left out if there is none.
  11: optional list<crash_record> crash_records
  // Upstreams that former processes of the node published and the current one doesn't list.
  12: optional list<upstream> former_upstreams
}

// Usage of an organisation's limit: demand in units of 1/256 request per second, and the number of
// requests admitted within the window of the limit.
struct usage {
  1: string organisation
  2: i32 demand_256ths
  3: i32 admitted
}

struct evacuation {
  1: string failure_domain
  2: i64 since
}

// The evacuations in force; the list with the higher revision is newer.
struct evacuation_list {
  1: i64 revision
  2: list<evacuation> items
}

// Version of a node's record.
struct record_version {
  1: i64 generation
  2: i64 sequence
}

// Position up to which a reader has received the usages of a process.
struct usage_position {
  1: i64 boot
  2: i64 number
}

// Positions between which the usages of a message changed; all usages if `since` is 0.
struct usage_span {
  1: i64 boot
  2: i64 since
  3: i64 last
}

// Usage of another region, which a hub of that region sent to the sender.
struct region_usage {
  1: string region
  2: string source
  3: usage_span span
  4: list<usage> usages
  5: i32 nodes
  6: i32 age_ms
}

// Sent by each node to its hub. `boot` identifies a process of the hub, and `change` is the number of
// the last directory change that the node has received from it.
struct report {
  1: node_record sender
  2: i64 boot
  3: i64 change
  4: i64 version
  5: list<usage> usages
  // True if the sender only asks whether the hub has the newest version.
  6: bool probe
  // Digests of the sender's directory; set if the sender has no position in the hub's directory.
  7: optional binary directory_digest
  // True if the sender knows hubs of its region, but reports to one of another region.
  8: bool distant
  // Records with upstreams that left; sent to a hub whose directory may be incomplete.
  9: optional list<node_record> known_departures
  // True if these are all that a complete directory contains.
  10: optional bool tells_departures
  // Time of the sender's monotonic clock, which the answer repeats.
  11: optional i64 sent_at
  // Replaces `sender`, which is then empty, if the receiver has said that it holds this version.
  20: optional record_version sender_version
  // Revision of the evacuations that the sender knows; left out if there were none.
  30: optional i64 evacuation_revision
  // Set if the receiver knows only older ones.
  31: optional evacuation_list evacuations
}

struct report_answer {
  1: i64 boot
  2: i64 change
  4: list<node_record> records
  5: bool fresh
  6: optional i64 version
  7: optional binary content
  8: list<usage> totals
  // Generation under which the hub knows the sender, if that is newer than the sender's.
  9: i64 known_generation
  // Number of nodes whose usage is in the totals.
  10: i32 covered_nodes
  // True if the hub's directory has been collected since its start.
  11: optional bool complete
  // `sent_at` of the report.
  12: optional i64 report_sent_at
  // Newest version that the hub has.
  13: optional i64 hub_version
  // Version of the receiver's record that the sender holds.
  20: optional record_version stored
  // Revision of the evacuations that the hub knows; left out if there were none.
  30: optional i64 evacuation_revision
  // Set if it is higher than the reported one.
  31: optional evacuation_list evacuations
}

// Sent by each hub to the other hubs of its region, with the summed usage of the nodes that report to
// it, and to one hub of each other region, without usage.
struct sync_request {
  1: node_record sender
  2: i64 boot
  3: i64 change
  4: list<usage> usages
  // Number of nodes in the sum.
  5: i32 nodes
  // As in `report`.
  20: optional record_version sender_version
  // Position in the receiver's usage that the sender has: of its region for a sender of another
  // region, otherwise of its nodes. Not set by former versions, which need all of it each time.
  21: optional usage_position usages_known
  // Positions of `usages`.
  22: optional usage_span span
  // Version of the receiver's record that the sender holds.
  23: optional record_version stored
  // Other regions whose usage the sender lacks.
  24: optional list<string> wanted_regions
  // Revision of the evacuations that the sender knows; left out if there were none.
  30: optional i64 evacuation_revision
}

struct sync_answer {
  1: i64 boot
  2: i64 change
  3: list<node_record> records
  // Summed usage of the sender's region; set only if the receiver is in another region.
  4: optional list<usage> region_usages
  5: i32 region_nodes
  // True if the sender's directory has been collected since its start.
  6: optional bool complete
  // Positions of `region_usages`.
  20: optional usage_span span
  // Usage of other regions that the sender has got.
  21: optional list<region_usage> other_regions
  // Set if `records` are complete only for a reader with at least this position.
  22: optional i64 since_change
  // Version of the receiver's record that the sender holds.
  23: optional record_version stored
  // True if the sender lacks what a request referred to: the receiver repeats it in full.
  24: optional bool needs_all
  // Set if they are newer than those of the receiver.
  30: optional evacuation_list evacuations
}

// Asks a hub to store the sender's record.
struct store_request {
  1: node_record sender
}

// Generation and sequence of the receiver's record that the sender holds.
struct store_answer {
  1: i64 generation
  2: i64 sequence
}

// Pushed by a hub to its nodes when a version or an evacuation is committed. Version 0 stands for no
// document.
struct config_notice {
  1: i64 version
  2: binary content
  30: optional evacuation_list evacuations
}

// Usage that changed since the sender's last message with usage; sent between reports by a node to
// its hub, and by a hub to the other hubs of its region with the sums of its nodes.
struct usage_update {
  1: list<usage> usages
  2: bool from_hub
  // Positions of the usages of a hub.
  20: optional usage_span span
}

// Usage of all nodes for organisations near their limit, sent by a hub to its nodes between the
// answers to reports.
struct usage_totals {
  1: list<usage> totals
  2: i32 covered_nodes
}

// File in which a hub keeps the departures of upstreams.
struct departure_file {
  1: list<node_record> records
}

struct message {
  1: optional report node_report
  2: optional report_answer answer
  3: optional sync_request sync
  4: optional sync_answer synced
  5: optional config_notice notice
  6: optional usage_update usage_change
  7: optional usage_totals usage_total
  8: optional store_request store
  9: optional store_answer stored
}
