@0xb2d81c5f3f0a6e41;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("toucan::edge::wire");

# Slots of one backend server that are in use by requests of one or more daemons.
struct BackendLoad {
  # Low half of the stable hash of the backend server's name.
  backend @0 :UInt32;
  # In units of 1/256 slot.
  slots @1 :UInt16;
  # Number of daemons that sent these requests.
  daemons @2 :UInt16;
}

# Recent requests to one backend server with a rate limit.
struct BackendRequests {
  # Low half of the stable hash of the backend server's name.
  backend @0 :UInt32;
  requests @1 :UInt16;
  # Number of daemons that use the server at present.
  daemons @2 :UInt16;
  # Requests for whose object the server is the first in rank.
  offers @3 :UInt16;
}

# Rate limit that a backend server has announced.
struct BackendRateLimit {
  # Low half of the stable hash of the backend server's name.
  backend @0 :UInt32;
  requestsPerS @1 :Float32;
  # Time since the response that announced it, in units of 10 ms.
  age @2 :UInt16;
}

# Demand of the callers of one region for one service.
struct ServiceDemand {
  # Low halves of the stable hashes of the names.
  region @0 :UInt32;
  service @1 :UInt32;
  # Slots that the requests would use.
  slots @2 :Float32;
}

# Requests of one workspace with a quota at one or more daemons.
struct WorkspaceUsage {
  # Low half of the stable hash of the workspace's name.
  workspace @0 :UInt32;
  # Requests admitted within the quota window.
  admitted @1 :UInt16;
  # Requests asked for per second, in units of 1/4.
  asked @2 :UInt16;
  # Number of daemons with such requests.
  daemons @3 :UInt16;
}

# Liveness and readiness of a daemon as the sender knows them.
struct MemberSign {
  # Stable hash of the daemon's name.
  member @0 :UInt64;
  # Time since the last report of the daemon, in units of 10 ms.
  age @1 :UInt16;
  # Whether the daemon accepts requests of callers.
  ready @2 :Bool;
}

# Identifies the newest report of a daemon that is included in a relay's total.
struct ReportMark {
  member @0 :UInt64;
  number @1 :UInt32;
}

# Datagram from one daemon to another.
struct PeerReport {
  enum Kind {
    # From a daemon to the relay of its failure domain: load of the sender and of the daemons that
    # report to it.
    up @0;
    # From a relay to the daemons that report to it: total load of all known daemons.
    down @1;
    # Between the relays of failure domains: load of the sender's failure domain.
    across @2;
    # Liveness check; the receiver answers with an empty `down` report.
    probe @3;
  }
  kind @0 :Kind;
  # Stable hash of the sender's name.
  sender @1 :UInt64;
  # Start of the sender's run, Unix milliseconds.
  run @2 :Int64;
  # Increases with each datagram of a run; a receiver drops one that is not higher than the last.
  number @3 :UInt32;
  ready @4 :Bool;
  loads @5 :List(BackendLoad);
  demands @6 :List(ServiceDemand);
  members @7 :List(MemberSign);
  # In a `down` report: the newest report of each daemon that the load includes.
  contained @8 :List(ReportMark);
  # Newest row version that any daemon has received, for each table of the shared store.
  tableVersions @9 :List(UInt64);
  # Row version of the operator's table that `evacuated` reflects.
  evacuatedAt @10 :UInt64;
  # Low halves of the stable hashes of the names of the evacuated failure domains.
  evacuated @11 :List(UInt32);
  # Clock of the store when it confirmed each of `tableVersions`, in milliseconds; 0 if unknown.
  tableStoreTimes @12 :List(UInt64);
  requests @13 :List(BackendRequests);
  rateLimits @14 :List(BackendRateLimit);
  # Era of the store to which each of `tableVersions` belongs; 0 if unknown.
  tableEras @15 :List(UInt64);
  # Era of the store to which `evacuatedAt` belongs; 0 if unknown.
  evacuatedEra @16 :UInt64;
  workspaces @17 :List(WorkspaceUsage);
  # Whether `workspaces` is filled in. Otherwise the usage in the last report that has it holds on.
  hasWorkspaces @18 :Bool;
}

# Row of a table of the shared store.
struct TableRow {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  removed @3 :Bool;
}

# Answer of a relay to a daemon that watches a table through it.
struct TableChanges {
  # Version of the store up to which the rows are complete.
  version @0 :UInt64;
  rows @1 :List(TableRow);
  # Era of the store to which the versions belong; 0 if unknown.
  era @2 :UInt64;
}
