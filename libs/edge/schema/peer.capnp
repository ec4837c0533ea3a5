@0xb2d81c5f3f0a6e41;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("toucan::edge::wire");

# Slots that requests of one or more daemons keep busy at one backend server.
struct BackendLoad {
  # Low half of the stable hash of the backend server's name.
  backend @0 :UInt32;
  # In parts of 256.
  slots @1 :UInt16;
  # Daemons whose requests these are.
  daemons @2 :UInt16;
}

# What the callers of one region ask of one service.
struct ServiceDemand {
  # Low halves of the stable hashes of the names.
  region @0 :UInt32;
  service @1 :UInt32;
  # Slots that the requests would keep busy.
  slots @2 :Float32;
}

# What is known of a daemon.
struct MemberSign {
  # Stable hash of the daemon's name.
  member @0 :UInt64;
  # Time since it was last heard, in parts of 10 ms.
  age @1 :UInt16;
  ready @2 :Bool;
}

# The newest report of a daemon that a summary contains.
struct ReportMark {
  member @0 :UInt64;
  number @1 :UInt32;
}

# Datagram from one daemon to another.
struct PeerReport {
  enum Kind {
    # To the relay of the own failure domain: the sender's load and that of the daemons that report
    # to it.
    up @0;
    # From a relay to those that report to it: all load that it knows.
    down @1;
    # Between the relays of failure domains: the load of one failure domain.
    across @2;
    # Asks whether the receiver runs; answered with `down`.
    probe @3;
  }
  kind @0 :Kind;
  # Stable hash of the sender's name.
  sender @1 :UInt64;
  # Start of the sender's run, Unix milliseconds.
  run @2 :Int64;
  # Counts up in one run; a datagram that is overtaken is dropped.
  number @3 :UInt32;
  ready @4 :Bool;
  loads @5 :List(BackendLoad);
  demands @6 :List(ServiceDemand);
  members @7 :List(MemberSign);
  # In a report of kind `down`: the reports that its load contains.
  contained @8 :List(ReportMark);
  # Newest row version that any daemon saw, for each table of the shared store.
  tableVersions @9 :List(UInt64);
  # Row version up to which the evacuations are known.
  evacuatedAt @10 :UInt64;
  # Low halves of the stable hashes of the names of the evacuated failure domains.
  evacuated @11 :List(UInt32);
}

# Row of a table of the shared store.
struct TableRow {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  removed @3 :Bool;
}

# Answer of a relay to a daemon that follows a table through it.
struct TableChanges {
  # Newest version of the store that the rows reflect.
  version @0 :UInt64;
  rows @1 :List(TableRow);
}
