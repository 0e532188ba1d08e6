#pragma once
// Names as PROTOCOL spells them. Only src/wire includes this.

namespace asterstair::wire::name {

inline constexpr const char* kId = "ref";
inline constexpr const char* kClass = "lane";
inline constexpr const char* kTeam = "owner";
inline constexpr const char* kKind = "shape";
inline constexpr const char* kPriority = "rank";
inline constexpr const char* kTasks = "pieces";
inline constexpr const char* kCpus = "cores";
inline constexpr const char* kGpus = "accelerators";
inline constexpr const char* kMemoryGb = "ramGb";
inline constexpr const char* kImage = "bundle";
inline constexpr const char* kImageGb = "imageGb";
inline constexpr const char* kTypes = "flavors";
inline constexpr const char* kType = "flavor";
inline constexpr const char* kZone = "yard";
inline constexpr const char* kZones = "yards";
inline constexpr const char* kOneZone = "together";
inline constexpr const char* kSpread = "scatter";
inline constexpr const char* kSpot = "loaner";
inline constexpr const char* kEstimate = "expectS";
inline constexpr const char* kCheckpoint = "bookmarkS";
inline constexpr const char* kSave = "stashS";
inline constexpr const char* kDeadline = "dueS";
inline constexpr const char* kState = "stage";
inline constexpr const char* kDone = "done";
inline constexpr const char* kRunning = "running";
inline constexpr const char* kMachine = "host";
inline constexpr const char* kMachines = "hosts";
inline constexpr const char* kAddress = "endpoint";
inline constexpr const char* kEpoch = "tenure";
inline constexpr const char* kSequence = "tick";
inline constexpr const char* kToken = "baton";
inline constexpr const char* kPreemptionNotice = "warningS";
inline constexpr const char* kTask = "piece";
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kCause = "cause";
inline constexpr const char* kSaved = "stored";
inline constexpr const char* kCommands = "orders";
inline constexpr const char* kOp = "verb";
inline constexpr const char* kGrace = "leewayS";
inline constexpr const char* kLeader = "foreman";
inline constexpr const char* kRequest = "ask";
inline constexpr const char* kCount = "howMany";
inline constexpr const char* kCacheGb = "localGb";
inline constexpr const char* kFetch = "pullGbPerS";
inline constexpr const char* kPrice = "price";
inline constexpr const char* kSpotPrice = "marketPrice";
inline constexpr const char* kBoot = "readyS";
inline constexpr const char* kName = "name";
inline constexpr const char* kAge = "ageS";
inline constexpr const char* kMore = "hasNext";
inline constexpr const char* kKey = "key";
inline constexpr const char* kValue = "value";
inline constexpr const char* kItems = "items";
inline constexpr const char* kRevision = "ledger";
inline constexpr const char* kVersion = "stamp";
inline constexpr const char* kStoreLease = "hold";
inline constexpr const char* kIf = "when";
inline constexpr const char* kThen = "apply";
inline constexpr const char* kPut = "put";
inline constexpr const char* kDelete = "drop";
inline constexpr const char* kTtl = "ttlMs";
inline constexpr const char* kEvents = "news";
inline constexpr const char* kFailed = "failed";
inline constexpr const char* kError = "error";
// Ours: the protocol names no field for the leader's checkpoint interval, and receivers ignore
// fields they do not know.
inline constexpr const char* kInterval = "bookmarkS";

}  // namespace asterstair::wire::name
