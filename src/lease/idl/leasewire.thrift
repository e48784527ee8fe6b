namespace cpp hawthornpick.lease.wire

struct check {
  1: string region
  2: i64 incarnation
  3: i64 round
  4: i64 version
}

struct check_answer {
  1: i64 round
  2: i64 newest
  3: binary digest
}

struct recover {
  1: string region
  2: i64 incarnation
}

struct recover_answer {
  1: string region
  2: i64 asked_incarnation
  3: i64 incarnation
  4: i64 version
  5: binary digest
  6: i64 epoch
  7: map<string, i64> incarnations
}

struct controller_answer {
  1: string region
  2: i64 asked_incarnation
  3: i64 version
  4: binary digest
}

struct read_newest {
  1: string region
  2: i64 incarnation
}

struct prepare {
  1: string region
  2: i64 version
  3: binary digest
}

struct announce {
  1: string region
  2: i64 version
  3: binary digest
}

struct witness_report {
  1: string region
  2: i64 incarnation
  3: i64 prepared
  4: i64 decided
  5: i64 drained
  6: map<string, i64> incarnations
}

struct lease_item {
  1: string name
  2: i64 epoch
  3: i64 round
}

struct lease_request {
  1: string region
  2: i64 incarnation
  3: bool is_release
  4: list<lease_item> items
}

struct lease_result {
  1: string name
  2: i64 epoch
  3: i64 round
  4: bool granted
}

struct lease_answer {
  1: list<lease_result> results
}
