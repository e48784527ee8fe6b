namespace cpp hawthornpick.config.wire

struct organisation {
  1: string id
  2: double rate
  3: i64 burst
  4: i64 weight
  5: i64 priority
  6: list<string> allowed_regions
}

struct api_key {
  1: string id
  2: string organisation
  3: binary digest
}

struct service_entry {
  1: string id
  2: double floor
  3: i64 timeout_ms
  4: i64 connect_timeout_ms
  5: i64 queue_per_slot
  6: i64 retry_percent
  7: i64 max_attempts
  8: i64 warm_up_ms
  9: double cold_rate
  10: i64 cold_ms
  11: string health_path
}

struct weighted_service {
  1: string service_name
  2: i64 weight
}

struct route_entry {
  1: string id
  2: string host
  3: string path_prefix
  4: list<string> methods
  5: string service_name
  6: i8 access
  7: bool idempotent
  8: i8 idempotency_key
  9: i64 record_life_ms
  10: i64 deadline_ms
  11: i64 max_body_bytes
  12: i64 target_latency_ms
  13: i64 priority
  14: i64 max_attempts
  15: list<weighted_service> split
  16: bool large_bodies
  17: list<string> allowed_regions
}

struct caller_limits {
  1: i64 header_bytes
  2: i64 header_ms
  3: i64 idle_ms
}

struct config_set {
  1: list<organisation> organisations
  2: list<api_key> keys
  3: list<service_entry> services
  4: list<route_entry> routes
  5: caller_limits limits
  // Names of failure domains, sorted; left out if there are none.
  30: optional list<string> evacuations
}
