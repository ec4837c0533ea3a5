@0xb6f1c7a2d95e4083;
# RPC interface and messages between daemons. After a change, run scripts/generate-rpc.sh and commit
# the generated files.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("toucan::rpc::schema");

struct VmId {
  ip @0 :UInt32;
  port @1 :UInt16;
  incarnation @2 :UInt64;
}

struct EntryVm {
  # Without a nested VmId: a list then takes two words for each entry VM and no pointers.
  ip @0 :UInt32;
  port @1 :UInt16;
  httpPort @2 :UInt16;
  incarnation @3 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct BackendLoad {
  backend @0 :Text;
  admittedSlots @1 :UInt32;
  inUse @2 :UInt32;
  queued @3 :UInt32;
}

struct LeavingBackend {
  backend @0 :Text;
  incarnation @1 :UInt64;
}

struct ServiceLoad {
  service @0 :Text;
  capacitySlots @1 :UInt32;
  spareSlots @2 :UInt32;
  queued @3 :UInt32;
}

struct MemberEntry {
  ip @0 :UInt32;
  port @1 :UInt16;
  httpPort @2 :UInt16;
  incarnation @3 :UInt64;
  state @4 :UInt16;
  sequence @5 :UInt64;
  configVersion @6 :UInt64;
  failureDomain @7 :Text;
  region @8 :Text;
  homes @9 :List(BackendLoad);
  leaving @10 :List(LeavingBackend);
  homesSince @11 :UInt64;
}

struct DomainSummary {
  failureDomain @0 :Text;
  region @1 :Text;
  revision @2 :UInt64;
  writer @3 :VmId;
  configVersion @4 :UInt64;
  entryVms @5 :List(EntryVm);
  services @6 :List(ServiceLoad);
  leaving @7 :List(LeavingBackend);
}

struct ForwardRequest {
  mode @0 :UInt16;
  service @1 :Text;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  timeLeftMs @6 :Int64;
  clientBlock @7 :Text;
  clientRegion @8 :Text;
  entryRegion @9 :Text;
  operationKey @10 :Text;
  hops @11 :UInt32;
  creditId @12 :UInt64;
  target @13 :Text;
}

struct ForwardReply {
  kind @0 :UInt16;
  reason @1 :Text;
  retryAfterMs @2 :Int64;
  status @3 :Int32;
  headers @4 :List(Header);
  body @5 :Data;
}

struct SyncRequest {
  sender @0 :MemberEntry;
  seenRun @1 :UInt64;
  seenRevision @2 :UInt64;
  summaries @3 :List(DomainSummary);
}

struct SyncReply {
  receiver @0 :MemberEntry;
  revision @1 :UInt64;
  members @2 :List(MemberEntry);
  summaries @3 :List(DomainSummary);
}

struct PackedSyncRequest {
  # SyncRequest as a packed message. Packing matters because syncs are most of the control traffic.
  message @0 :Data;
}

struct PackedSyncReply {
  # SyncReply as a packed message.
  message @0 :Data;
}

struct FetchRequest {
  headWanted @0 :Bool;
  hashes @1 :List(Text);
}

struct FetchReply {
  head @0 :Data;
  objects @1 :List(Data);
}

struct IntentRequest {
  owner @0 :VmId;
  witness @1 :VmId;
  operationKey @2 :Text;
}

struct IntentReply {
  verdict @0 :UInt16;
}

struct CreditRequest {
  requester @0 :VmId;
  service @1 :Text;
  failureDomain @2 :Text;
  region @3 :Text;
  wantedSlots @4 :UInt32;
}

struct CreditReply {
  creditId @0 :UInt64;
  slots @1 :UInt32;
  lifetimeMs @2 :Int64;
  target @3 :Text;
}

interface Daemon {
  forward @0 ForwardRequest -> ForwardReply;
  sync @1 PackedSyncRequest -> PackedSyncReply;
  fetch @2 FetchRequest -> FetchReply;
  recordIntent @3 IntentRequest -> IntentReply;
  requestCredit @4 CreditRequest -> CreditReply;
}
