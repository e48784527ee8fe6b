namespace cpp hawthornpick.limits.wire

// Ends a grant before it expires and returns `unused` tokens.
struct closure {
  1: i64 sequence
  2: i32 unused
}

// Token request of an entry node to an allocator. Sequence 0 means that it carries closures only.
struct ask {
  1: string organisation
  2: i64 sequence
  3: i32 need
  4: i32 prefetch
  5: optional list<closure> closures
}

// Answer of an allocator to an entry node.
struct answer {
  1: string organisation
  2: i64 sequence
  3: i8 kind
  4: optional i32 tokens
  5: optional i32 retry_ms
  6: optional bool report
}

// Share of the rate and burst of an organisation that one region lends to another.
struct loan {
  1: string organisation
  2: i64 nonce
  3: optional i64 parts
  4: optional double tokens
  5: optional i64 stamp
}

// Message between the allocators of the same shard in two regions.
struct region_message {
  1: i32 shard
  2: string region
  3: i64 epoch
  4: optional list<loan> requests
  5: optional list<loan> loans
  6: optional list<loan> renewals
  7: optional list<loan> renewed
  8: optional list<loan> recalls
  9: optional list<loan> returns
  10: optional bool query
  11: optional list<loan> holdings
  12: optional i64 answered_epoch
  13: optional bool not_holder
}

struct rate_message {
  1: optional list<ask> asks
  2: optional list<answer> answers
  3: optional region_message regions
}
