/*
 * Messages between sedgering-proxy processes.
 *
 * Datagrams carry one `Datagram` each, in the compact protocol.  Content
 * too large for a datagram moves over TCP through the service `Peer`.
 * Fields are only ever added, as optional ones, under new numbers.
 */

/* Lifecycle of one sedgering-proxy, as its host row states it. */
enum HostState {
  STARTING = 1,
  SERVING = 2,
  DRAINING = 3,
  SUSPECT = 4,
  GONE = 5,
}

/* Lifecycle of one target. */
enum TargetState {
  STARTING = 1,
  SERVING = 2,
  DRAINING = 3,
}

/* One target that runs on a host. */
struct TargetRow {
  1: string name,
  2: string target_set,
  3: i32 port,
  4: TargetState state,
  5: i16 slots,
}

/* What a host says of itself.  (incarnation, sequence, state) orders two
 * rows of the same host; the greater one wins. */
struct HostRow {
  1: string host,
  2: string data_centre,
  3: string address,
  4: i32 peer_port,
  5: i32 data_port,
  6: i64 incarnation,
  7: i32 sequence,
  8: HostState state,
  9: i64 held_version,
  10: list<TargetRow> targets,
}

/* A bundle version.  `delta` is there when it fits into the datagram and
 * leads from `base_version` to `version`. */
struct Announcement {
  1: i64 version,
  2: binary digest,
  3: optional i64 base_version,
  4: optional binary delta,
}

/* One refused version in one subtree. */
struct Refusal {
  1: i64 version,
  2: i32 code,
  3: i32 hosts,
  4: string example_host,
}

/* State of the sender's whole subtree, merged. */
struct Acknowledgement {
  1: i32 hosts,
  2: i64 lowest_version,
  3: i32 at_highest,
  4: i64 coverage,
  5: list<Refusal> refusals,
  6: i64 held_version,
}

/* Probe of one peer, and comparison of what both know. */
struct Compare {
  1: i32 nonce,
  2: i64 version,
  3: i64 members_digest,
  4: bool reply,
}

struct Datagram {
  1: string mesh,
  2: i16 protocol,
  3: string sender,
  4: i64 incarnation,
  5: optional Announcement announcement,
  6: optional Acknowledgement acknowledgement,
  7: optional Compare compare,
  8: optional list<HostRow> rows,
  /* From an operator: the head row has changed, read it now. */
  9: optional bool head_changed,
}

struct Caller {
  1: string mesh,
  2: i16 protocol,
  3: string host,
  4: i64 incarnation,
}

/* Full content when `base_version` is 0, else a delta from it. */
struct Content {
  1: i64 version,
  2: binary digest,
  3: i64 base_version,
  4: binary body,
}

exception PeerRefusal {
  1: i32 code,
  2: string message,
  3: i32 retry_after_ms,
}

service Peer {
  /* Content of the version held here, as a delta when possible. */
  Content fetch(1: Caller caller, 2: i64 held_version)
      throws (1: PeerRefusal refusal),
  /* Digests of the member table's buckets. */
  list<i64> bucket_digests(1: Caller caller)
      throws (1: PeerRefusal refusal),
  /* Rows of the buckets named. */
  list<HostRow> pull_rows(1: Caller caller, 2: list<i32> buckets)
      throws (1: PeerRefusal refusal),
}
