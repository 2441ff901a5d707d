@0xb7d1f4e0a6c95d21;
# Datagrams between VMs, and the rows that VMs fetch from each other. Every amount is the sender's
# own. The receiver measures a message's age on its own clock from the time of receipt.

struct Datagram {
  protocol @0 :UInt16;
  union {
    heartbeat @1 :Heartbeat;
    tokenAsk @2 :TokenAsk;
    tokenGrant @3 :TokenGrant;
  }
}

struct TokenAsk {
  number @0 :UInt32;
  organisation @1 :Text;
  tokens @2 :UInt16;
  requests @3 :UInt32;
}

struct TokenGrant {
  number @0 :UInt32;
  tokens @1 :UInt16;
  known @2 :Bool;
}

struct Heartbeat {
  vm @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  host @3 :Text;
  callers @4 :Text;
  region @5 :Text;
  failureDomain @6 :Text;
  ready @7 :Bool;
  leaving @8 :Bool;
  reading @9 :Bool;
  positions @10 :List(Position);
  demands @11 :List(Figure);
  organisations @12 :List(Figure);
  loads @13 :List(Figure);
  releases @14 :List(Release);
  hosts @15 :List(Text);
}

struct Position {
  table @0 :Text;
  revision @1 :UInt64;
}

struct Figure {
  name @0 :Text;
  amount @1 :Float32;
}

struct Release {
  service @0 :Text;
  revision @1 :UInt64;
  step @2 :UInt8;
  rolledBack @3 :Bool;
  elapsedMs @4 :UInt32;
  oldInFlight @5 :UInt32;
  evidence @6 :List(Evidence);
}

struct Evidence {
  route @0 :Text;
  newRequests @1 :UInt32;
  newBad @2 :UInt32;
  oldRequests @3 :UInt32;
  oldBad @4 :UInt32;
}

struct Rows {
  table @0 :Text;
  position @1 :UInt64;
  rows @2 :List(Row);
}

struct Row {
  key @0 :Text;
  value @1 :Data;
  removed @2 :Bool;
  revision @3 :UInt64;
}
