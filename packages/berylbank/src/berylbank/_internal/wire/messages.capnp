@0xc6d2a9d1f4b83e57;
# Messages between VMs. They contain no absolute times: every duration is measured on the clock of
# the receiver.

struct Envelope {
  protocol @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  union {
    heartbeat @3 :Heartbeat;
    headPush @4 :HeadPush;
    headAck @5 :HeadAck;
    confirmRequest @6 :ConfirmRequest;
    confirmReply @7 :ConfirmReply;
    loanRequest @8 :LoanRequest;
    loanReply @9 :LoanReply;
  }
}

struct Heartbeat {
  known @0 :UInt64;
  ready @1 :Bool;
  leaving @2 :Bool;
  seat @3 :VmAddresses;
  draining @4 :List(InFlightRequests);
  evidence @5 :List(ShiftStats);
  cuts @6 :List(Text);
}

struct ShiftStats {
  shift @0 :Text;
  route @1 :Text;
  target @2 :Bool;
  requests @3 :UInt32;
  errors @4 :UInt32;
  latencyMs @5 :UInt64;
}

struct VmAddresses {
  channel @0 :Text;
  callers @1 :Text;
  operators @2 :Text;
  region @3 :Text;
  failureDomain @4 :Text;
}

struct InFlightRequests {
  backend @0 :Text;
  requests @1 :UInt32;
}

struct HeadPush {
  roundId @0 :UInt64;
  head @1 :Data;
  configuration @2 :Data;
}

struct HeadAck {
  roundId @0 :UInt64;
  known @1 :UInt64;
}

struct ConfirmRequest {
  roundId @0 :UInt64;
  number @1 :UInt64;
}

struct ConfirmReply {
  roundId @0 :UInt64;
  known @1 :UInt64;
  confirmed @2 :Bool;
}

struct LoanRequest {
  requestId @0 :UInt64;
  items @1 :List(LoanRequestItem);
}

struct LoanRequestItem {
  resource @0 :Text;
  holding @1 :UInt32;
  want @2 :UInt32;
}

struct LoanReply {
  requestId @0 :UInt64;
  items @1 :List(LoanGrant);
}

struct LoanGrant {
  resource @0 :Text;
  units @1 :UInt32;
  spare @2 :UInt32;
  tokens @3 :UInt64;
}
