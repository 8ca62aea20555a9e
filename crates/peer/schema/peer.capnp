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
  heartbeat @5 :UInt32;
  revision @6 :UInt64;
}

struct Beat {
  # The part of a row that changes while an instance lives.
  incarnation @0 :UInt64;
  heartbeat @1 :UInt32;
  phase @2 :Phase;
  revision @3 :UInt64;
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
  # Zero when the object is not held.
  rejected @2 :UInt64;
  # The highest revision that was rejected as invalid.
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
  beats @2 :List(Beat);
  unknown @3 :List(UInt64);
  # Incarnations whose rows the sender lacks.
  root @4 :UInt64;
  # The digest over all objects that the sender holds.
  query :union {
    nothing @5 :Void;
    root @6 :Void;
    # Asks for the bucket digests when the roots differ.
    versions :group {
      # Asks for what is newer in these buckets.
      buckets @7 :Data;
      held @8 :List(Version);
    }
  }
  objects @9 :List(Object);
  # Objects that the receiver may lack.
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
  beats @2 :List(Beat);
  root @3 :UInt64;
  # The digest over all objects that the replying instance holds.
  completeness :union {
    unconfirmed @4 :Void;
    confirmed :group {
      revision @5 :UInt64;
      # The revision up to which the replying instance holds every change.
      ageMs @6 :UInt64;
      # The milliseconds since the platform confirmed it.
    }
  }
  buckets @7 :List(UInt64);
  # The digest of each bucket; empty when the roots are equal.
  objects @8 :List(Object);
  wanted @9 :List(Text);
  # The objects that the replying instance lacks.
  more @10 :Bool;
  # Whether the byte budget left out some objects.
}

interface Peer {
  exchange @0 (request :ExchangeRequest) -> (reply :ExchangeReply);
}
