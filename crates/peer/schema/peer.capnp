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

struct GrantRequest {
  from @0 :Text;
  incarnation @1 :UInt64;
  id @2 :UInt64;
  # The identity of the request at the instance that asks.
  ask :union {
    nothing @3 :Void;
    tokens :group {
      team @4 :Text;
      slot @5 :UInt16;
      needed @6 :UInt64;
      wanted @7 :UInt64;
      partial @8 :Bool;
    }
  }
  reports @9 :List(GrantReport);
}

struct GrantReport {
  # What has become of an earlier grant.
  granter @0 :UInt64;
  # The incarnation of the granter.
  number @1 :UInt64;
  team @2 :Text;
  slot @3 :UInt16;
  used @4 :UInt64;
  returned @5 :UInt64;
}

struct GrantReply {
  request @0 :UInt64;
  offer :union {
    nothing @1 :Void;
    tokens :group {
      granter @2 :UInt64;
      number @3 :UInt64;
      amount @4 :UInt64;
    }
  }
  retryAfterMs @5 :UInt64;
}

interface Peer {
  exchange @0 (request :ExchangeRequest) -> (reply :ExchangeReply);
  grant @1 (request :GrantRequest) -> (reply :GrantReply);
}
