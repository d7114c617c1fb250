// Messages between chivebeam nodes. Generated code is committed in gen/; run
// scripts/generate after a change.
namespace cpp chivebeam.wire

struct address {
  1: string ip
  2: i32 port
}

struct worker_record {
  1: string service_name
  2: string version_name
  3: i32 slots
  4: i32 state
  5: i64 ready_since_us
}

struct member_record {
  1: string node
  2: i64 incarnation
  3: i32 state
  4: bool leaving
  5: bool watcher
  6: string domain
  7: string region
  8: address peer
  9: optional worker_record worker
  10: i32 relay_port
}

struct config_head {
  1: i64 number
  2: i64 digest
}

struct move_progress {
  1: string id
  2: i32 phase
  3: i32 step
  4: i64 step_since_us
  5: i64 decided_at_us
  6: string reason
  7: i32 recorded
  8: optional string to_version
  9: optional i32 share
  10: optional i32 steps_back
}

struct gossip_message {
  1: i32 kind
  2: string fleet
  3: i64 sequence
  4: member_record sender
  5: optional address target
  6: config_head head
  7: i64 table_digest
  8: list<member_record> records
  9: list<move_progress> moves
  // In a pull: four bytes for each bucket in order, least significant byte first.
  10: optional binary bucket_digests
  // In the answer to a pull: the indexes, one byte each, of the buckets that
  // records covers completely.
  11: optional binary whole_buckets
}

struct route_evidence {
  1: i64 calls
  2: i64 failures
  // Bucket index to count; empty buckets are omitted.
  3: map<i16, i64> latency
}

struct evidence_report {
  1: string node
  2: i64 life
  3: string service_name
  4: string version_name
  5: i64 sequence
  6: map<string, route_evidence> routes
}

// One UDP datagram.
struct datagram {
  1: optional gossip_message gossip
  2: optional evidence_report evidence
}

// Requests a claim from the owner of a service's claim log, or reports the end
// of a claimed call. Times are relative, so that clocks need not agree.
struct claim_question {
  1: string fleet
  2: string service_name
  3: i32 kind
  4: string id
  5: i64 key_high
  6: i64 key_low
  7: i64 request_digest
  8: i64 runs_for_ms
  9: i64 wait_ms
  10: i32 outcome
  11: i32 status
}

struct claim_answer {
  1: i32 verdict
  2: i32 status
}

struct claim_record {
  1: i32 event
  2: i64 key_high
  3: i64 key_low
  4: i64 request_digest
  5: string id
  6: i32 status
  7: i64 at_us
  8: i64 runs_until_us
}

// One stored value of a claim log.
struct claim_segment {
  1: i64 sequence
  2: i64 batch
  3: list<claim_record> records
}

// Calls and peer state between the nodes of a mesh. Each frame on a connection
// is one peer_frame, followed by the bytes of its body if it has one.

struct header_field {
  1: string name
  2: string text
}

struct home_load {
  1: i32 running
  2: i32 waiting
  3: i32 limit
  4: i64 service_time_us
  5: i32 failed_permille
  // Urgency to permille.
  6: map<i32, i32> refused
  7: map<i32, i32> downstream
  8: i32 repeats_below_permille
  // Mean time between the starts of two calls, and the wait of a new call, by the
  // rate limit of the backend server; absent if it names none.
  9: optional i64 start_interval_us
  10: optional i64 start_wait_us
}

struct home_record {
  1: string node
  2: address peer
  3: string domain
  4: string worker
  5: i64 born_ms
  6: i64 report
  7: i64 change
  8: bool node_leaving
  9: worker_record record
  // Remaining time of the cold start; relative, so that clocks need not agree.
  10: i64 cold_us
  // True if the node watches the store for others.
  11: bool watches
  // True if the node coordinates the moves.
  12: bool coordinates
  // True if the watchers found that the node is gone.
  13: bool gone
}

// Times are relative to the time at which the frame is sent.
struct call_request {
  1: string id
  2: string service_name
  3: string route
  4: string worker
  5: string method
  6: string target
  7: list<header_field> fields
  8: i64 time_left_us
  9: i64 goal_left_us
  10: i32 urgency
  11: bool idempotent
  12: bool nested
  13: i32 unasked
  14: bool repeat
  // Usual run time of such calls; zero if the entry node does not know it yet.
  15: i64 usual_us
  // Size of a body that is sent only after the home node has requested it; zero
  // if the body follows this frame.
  16: i64 offered_bytes
  // Hash of the content of the call; zero if unknown.
  17: i64 fingerprint
  // Calls a second that the backend server takes, as it said in the last answer
  // that the entry node passed on; absent if it named no limit.
  18: optional double rate_limit
  // Workspace of the caller; absent for anonymous and nested calls.
  19: optional string workspace
  // Priority of the workspace for this call; absent if it is zero.
  20: optional i32 workspace_priority
  // True if the call is only run if a slot is free, since the entry node knows
  // other backend servers that may have one.
  21: optional bool only_if_free
}

struct call_answer {
  1: i32 outcome
  2: i32 status
  3: list<header_field> fields
  4: home_load load
  5: i64 wait_us
  6: string reason
  7: i64 ran_us
  // Start of the backend server that ended while it ran the call.
  8: optional i64 ended_born_ms
  // True if the call was refused because its workspace had sent more than its
  // share.
  9: optional bool beyond_share
  // True if the call was not run because no slot was free and it was not to
  // wait.
  10: optional bool no_free_slot
}

// The end of a backend server while it ran a call; without a worker, the
// call's answer.
struct suspect_event {
  1: i64 fingerprint
  2: string worker
  3: i64 born_ms
  4: i64 age_us
}

// Failure domains whose backend servers get no calls, as of a revision of the
// store.
struct evacuation_orders {
  1: i64 era
  2: i64 revision
  3: list<string> domains
}

// Request for tokens of a workspace's usage cap.
struct usage_ask {
  1: string workspace
  2: i32 waiting
  3: i32 ahead
  4: i32 unspent
  5: i32 returned
}

struct usage_grant {
  1: string workspace
  2: i32 tokens
  3: i64 retry_after_us
}

struct peer_frame {
  1: i32 kind
  // Number of the call or query that the frame belongs to.
  2: i64 call
  // Number of the newest configuration that the sender holds.
  3: i64 config
  4: optional call_request request
  5: optional call_answer answer
  6: optional list<home_record> records
  7: optional evidence_report evidence
  // Digest of the sender's records and moves, in pings and pongs.
  8: i64 digest
  // True if the sender watches the store and has read its newest changes.
  9: bool store_current
  // Highest era of the store that the sender knows.
  10: i64 store_era
  // Digests of the sender's records by bucket, in requests for records.
  11: optional list<i64> buckets
  // One bit for each bucket that records covers completely.
  12: i64 covered_buckets
  // Time since the sender read the newest changes, if store_current is true.
  13: i64 store_age_us
  // With the records of a node or without any.
  14: optional list<suspect_event> suspects
  // True if the sender can read, in parts, the body that it asks for: that of
  // the answer to a call, or that of an offered call.
  15: optional bool accepts_parts
  // Size of the body of the answer, which follows in frames of kind body_part.
  16: optional i64 body_bytes
  // With the status of the sender, once it has known an order.
  17: optional evacuation_orders evacuations
  // Requests for tokens and the answers to them; call is their number.
  19: optional list<usage_ask> usage_asks
  20: optional list<usage_grant> usage_grants
}
