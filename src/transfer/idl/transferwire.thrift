namespace cpp hawthornpick.transfer.wire

struct request {
  1: binary digest
  2: list<binary> bases
  3: i64 offset
}

struct reply {
  1: binary digest
  2: bool found
  3: binary base
  4: i64 total
  5: i64 offset
  6: binary bytes
}
