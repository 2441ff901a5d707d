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

# State of the sender. `known` is the number of the newest head that it has heard of, `seat` its
# addresses, and `cuts` the unique names of the shifts whose target it has blocked as bad.
struct Heartbeat {
  known @0 :UInt64;
  ready @1 :Bool;
  leaving @2 :Bool;
  seat @3 :VmAddresses;
  draining @4 :List(InFlightRequests);
  evidence @5 :List(ShiftStats);
  cuts @6 :List(Text);
}

# Recent requests on one side of a shift and one route; `latencyMs` is the sum of their latencies.
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

# A written head with its configuration; empty data only requests an acknowledgement.
struct HeadPush {
  roundId @0 :UInt64;
  head @1 :Data;
  configuration @2 :Data;
}

# Acknowledges head `known`: the sender never acts on an older one from now on.
struct HeadAck {
  roundId @0 :UInt64;
  known @1 :UInt64;
}

# Asks the receiver to confirm that it has heard of no head newer than `number`.
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

# `holding` are the units borrowed from this lender now, `want` the units wanted in total.
struct LoanRequestItem {
  resource @0 :Text;
  holding @1 :UInt32;
  want @2 :UInt32;
}

struct LoanReply {
  requestId @0 :UInt64;
  items @1 :List(LoanGrant);
}

# `units` are lent in total, `spare` could be lent in addition, and `tokens` are the microtokens
# that move to the borrower with the loan.
struct LoanGrant {
  resource @0 :Text;
  units @1 :UInt32;
  spare @2 :UInt32;
  tokens @3 :UInt64;
}
