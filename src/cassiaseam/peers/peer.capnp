@0xd3a6f1c84b2e7905;
# Wire format between daemons. Fields are only added, never renumbered. A change that an older
# daemon would misinterpret requires a higher PROTOCOL_VERSION in codec.py.
# Strings from callers are Data, because Text cannot represent every Python string.

struct Position {
  term @0 :UInt64;
  offset @1 :UInt64;
}

# Row values are grouped by kind instead of using one struct per value: reading a struct takes 5
# microseconds in Python, so decoding a large result would block the event loop.
struct Rows {
  widths @0 :List(UInt32);    # number of values in each row
  kinds @1 :Data;             # one byte per value, in row order
  ints @2 :List(Int64);
  floats @3 :List(Float64);
  sizes @4 :List(UInt32);     # size in bytes of each string, byte string and large integer
  content @5 :Data;           # their concatenated content
}

enum RequestKind {
  read @0;
  write @1;
  begin @2;
  commit @3;
  rollback @4;
}

struct Request {
  requestId @0 :Text;
  entry @1 :Text;
  caller @2 :Data;
  sessionId @3 :Text;
  database @4 :Data;
  kind @5 :RequestKind;
  sql @6 :Data;
  remainingMs @7 :UInt32;
  hasFloor @8 :Bool;
  floor @9 :Position;
  sessionAgeMs @10 :UInt64;
  hasMaxAge @11 :Bool;
  maxAgeS @12 :Float64;
  hasKey @13 :Bool;
  idempotencyKey @14 :Data;
  repeatable @15 :Bool;
  hasTransaction @16 :Bool;
  transactionId @17 :Text;
  passedOver @18 :List(Text);
}

struct ResultSet {
  columns @0 :List(Data);
  rows @1 :Rows;
  affectedRows @2 :UInt64;
  lastInsertId @3 :UInt64;
  columnTypes @4 :List(Int32);
}

struct Pair {
  key @0 :Data;
  value @1 :Data;
}

struct RequestError {
  kind @0 :Text;
  message @1 :Data;
  hasRetryAfter @2 :Bool;
  retryAfterS @3 :Float64;
  hasMysqlCode @4 :Bool;
  mysqlCode @5 :Int32;
  detail @6 :List(Pair);
}

struct Answer {
  requestId @0 :Text;
  hasResult @1 :Bool;
  resultSet @2 :ResultSet;
  hasError @3 :Bool;
  error @4 :RequestError;
  target @5 :Data;
  position @6 :Position;
  replica @7 :Bool;
}

struct Cancel {
  database @0 :Data;
  requestId @1 :Text;
}

struct SessionClosed {
  database @0 :Data;
  sessionId @1 :Text;
}

struct ConfigDigest {
  versions @0 :List(UInt64);
  wanted @1 :Bool;
}

struct ConfigShard {
  number @0 :UInt16;
  version @1 :UInt64;
  document @2 :Data;
}

struct TimelineQuery {
  queryId @0 :Text;
  sinceMs @1 :UInt64;
  limit @2 :UInt32;
  database @3 :Data;
}

struct TimelineRecord {
  kind @0 :Text;
  database @1 :Data;
  term @2 :UInt64;
  cause @3 :Data;
  fields @4 :List(Pair);
  wallMs @5 :UInt64;
  counter @6 :UInt64;
  vm @7 :Text;
  place @8 :Text;
}

struct TimelineEvents {
  queryId @0 :Text;
  records @1 :List(TimelineRecord);
  truncated @2 :Bool;
}

struct Hello {
  vm @0 :Text;
  incarnation @1 :UInt64;
  protocolVersion @2 :UInt32;
}

struct PeerMessage {
  requestId @0 :UInt64;
  stampMs @12 :UInt64;       # hybrid logical clock of the sender; 0 from older daemons
  stampCounter @13 :UInt64;
  union {
    request @1 :Request;
    answer @2 :Answer;
    cancel @3 :Cancel;
    configDigest @4 :ConfigDigest;
    configShards @5 :List(ConfigShard);
    timelineQuery @6 :TimelineQuery;
    timelineEvents @7 :TimelineEvents;
    ping @8 :Bool;  # true requests an answer
    hello @9 :Hello;
    sessionClosed @10 :SessionClosed;
    goodbye @11 :Void;  # the sender sends no further requests on this connection
  }
}

enum DatagramKind {
  ping @0;
  ack @1;
  pingRequest @2;
  join @3;
  page @4;
  probe @5;
}

enum MemberStatus {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct MemberRecord {
  vm @0 :Text;
  incarnation @1 :UInt64;
  status @2 :MemberStatus;
  leaving @3 :Bool;
  place @4 :Text;
  host @5 :Text;
  port @6 :UInt16;
}

struct Datagram {
  kind @0 :DatagramKind;
  sender @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  subject @4 :Text;
  digest @5 :UInt64;
  updates @6 :List(MemberRecord);
  stampMs @7 :UInt64;        # hybrid logical clock of the sender; 0 from older daemons
  stampCounter @8 :UInt64;
}
