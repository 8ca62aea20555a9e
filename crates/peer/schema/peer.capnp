@0xb1f6a3c4d5e27098;
# Messages between instances.

struct Row {
  # What an instance says of itself.
  name @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  address @3 :Text;
  # IP address and port, as "10.0.0.1:7000" or "[::1]:7000".
  phase @4 :Phase;
  heartbeat @5 :UInt64;
  revision @6 :UInt64;
}

enum Phase {
  live @0;
  leaving @1;
}

struct Version {
  # The revision at which an object is held.
  id @0 :Text;
  # The identity of the object, as "kind/name".
  revision @1 :UInt64;
}

struct Object {
  # A configuration object.
  id @0 :Text;
  revision @1 :UInt64;
  spec @2 :Data;
  # The content as JSON; empty when the object is retired.
}

struct ExchangeRequest {
  from @0 :Row;
  rows @1 :List(Row);
  root @2 :UInt64;
  # The digest over all objects that the sender holds.
  query :union {
    root @3 :Void;
    # Asks for the bucket digests when the roots differ.
    versions :group {
      # Asks for what is newer in these buckets.
      buckets @4 :List(UInt8);
      held @5 :List(Version);
    }
  }
  objects @6 :List(Object);
  # Objects that the receiver lacks.
}

struct ExchangeReply {
  union {
    state @0 :State;
    replaced @1 :UInt64;
    # The incarnation that has replaced the sender of the request.
  }
}

struct State {
  from @0 :Row;
  rows @1 :List(Row);
  root @2 :UInt64;
  complete @3 :UInt64;
  # The revision up to which the replying instance holds every change.
  ageMs @4 :UInt64;
  # The milliseconds since the platform confirmed `complete`.
  buckets @5 :List(UInt64);
  # The digest of each bucket; empty when the roots are equal.
  objects @6 :List(Object);
  wanted @7 :List(Text);
  # The objects that the replying instance lacks.
  more @8 :Bool;
  # Whether the byte budget cut the reply short.
}

interface Peer {
  exchange @0 (request :ExchangeRequest) -> (reply :ExchangeReply);
}
