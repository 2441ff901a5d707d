@0xb7d1f4e0a6c95d21;
# Datagrams between VMs, and the rows that VMs fetch from each other. The receiver measures a message's age on its own clock from the time of receipt.

struct Datagram {
  protocol @0 :UInt16;
  union {
    digest @1 :Digest;
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

struct Digest {
  scope @0 :UInt8;
  vm @1 :Text;
  host @2 :Text;
  failureDomain @3 :Text;
  incarnation @4 :UInt64;
  sequence @5 :UInt32;
  positions @6 :List(Position);
  domains @7 :List(DomainMembers);
  liveDomains @8 :List(Text);
  loads @9 :Amounts;
  regions @10 :List(RegionSums);
  releases @11 :List(Release);
  hosts @12 :List(Text);
  ageMs @13 :UInt32;
  part @14 :UInt16;
  parts @15 :UInt16;
  limits @16 :Amounts;
  silent @17 :List(SilentMember);
  storeTimeMs @18 :UInt64;
}

struct SilentMember {
  failureDomain @0 :Text;
  member @1 :Member;
  silentMs @2 :UInt32;
}

struct DomainMembers {
  failureDomain @0 :Text;
  members @1 :List(Member);
}

struct Member {
  vm @0 :Text;
  host @1 :Text;
  callerPort @2 :UInt16;
  incarnation @3 :UInt64;
  sequence @4 :UInt32;
  capacity @5 :Float32;
  ready @6 :Bool;
  leaving @7 :Bool;
  reading @8 :Bool;
  starting @9 :Bool;
}

# Keys are the 32-bit hashes of names, amounts are 32-bit floats; both are little-endian.
struct Amounts {
  keys @0 :Data;
  amounts @1 :Data;
}

struct RegionSums {
  region @0 :Text;
  demands @1 :Amounts;
  organisations @2 :Amounts;
}

struct Position {
  table @0 :Text;
  revision @1 :UInt64;
  sure @2 :Bool;
}

struct Release {
  service @0 :Text;
  revision @1 :UInt64;
  step @2 :UInt8;
  rolledBack @3 :Bool;
  elapsedMs @4 :UInt32;
  oldInFlight @5 :UInt32;
  evidence @6 :List(Evidence);
  lowestStep @7 :UInt8;
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
  complete @3 :Bool;
  sure @4 :Bool;
}

struct Row {
  key @0 :Text;
  value @1 :Data;
  removed @2 :Bool;
  revision @3 :UInt64;
  asOf @4 :UInt64;
}
