@0xb7d1f4e0a6c95d21;
# Heartbeats between VMs. Every figure is the sender's own; ages count on the receiver's clock.

struct Heartbeat {
  protocol @0 :UInt16;
  vm @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  host @4 :Text;
  callers @5 :Text;
  region @6 :Text;
  failureDomain @7 :Text;
  ready @8 :Bool;
  leaving @9 :Bool;
  reading @10 :Bool;
  positions @11 :List(Position);
  demands @12 :List(Figure);
  organisations @13 :List(Figure);
  loads @14 :List(Figure);
  releases @15 :List(Release);
  hosts @16 :List(Text);
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
