#pragma once
/// @file
/// Names of the wire, as PROTOCOL spells them. Only src/wire may include this: everything else uses
/// the field's standard terms. Several messages share a name.

namespace asterstair::wire::name {

// Jobs, as users describe them.

/// Name of a job, or of a machine in the cloud's list.
inline constexpr const char* kId = "ref";
/// Class of a job, for objectives.
inline constexpr const char* kClass = "lane";
/// Team that owns a job.
inline constexpr const char* kTeam = "owner";
/// Kind of a job.
inline constexpr const char* kKind = "shape";
/// Priority of a job.
inline constexpr const char* kPriority = "rank";
/// Number of a job's tasks; list of a machine's tasks.
inline constexpr const char* kTasks = "pieces";
/// Cores of a task or a machine.
inline constexpr const char* kCpus = "cores";
/// Accelerators of a task or a machine.
inline constexpr const char* kGpus = "accelerators";
/// Memory of a task or a machine, in GB.
inline constexpr const char* kMemoryGb = "ramGb";
/// Name of a job's image.
inline constexpr const char* kImage = "bundle";
/// Size of a job's image, in GB.
inline constexpr const char* kImageGb = "imageGb";
/// Machine types that a job may use; the cloud's machine types.
inline constexpr const char* kTypes = "flavors";
/// Machine type.
inline constexpr const char* kType = "flavor";
/// Zone of a job or a machine.
inline constexpr const char* kZone = "yard";
/// Whether all tasks must run in one zone.
inline constexpr const char* kOneZone = "together";
/// Whether at most half of the tasks, rounded up, may be in one zone.
inline constexpr const char* kSpread = "scatter";
/// Whether a job may use spot machines; whether a machine is one.
inline constexpr const char* kSpot = "loaner";
/// Estimated running time of a task, in seconds.
inline constexpr const char* kEstimate = "expectS";
/// Interval of a job's checkpoints, in seconds.
inline constexpr const char* kCheckpoint = "bookmarkS";
/// Time that a checkpoint takes, in seconds.
inline constexpr const char* kSave = "stashS";
/// Deadline of a job, in seconds after its submission.
inline constexpr const char* kDeadline = "dueS";

// Answers to users.

/// Stage of a job, state of a task, state of a machine in the cloud's list.
inline constexpr const char* kState = "stage";
/// Number of done tasks.
inline constexpr const char* kDone = "done";
/// Number of running tasks.
inline constexpr const char* kRunning = "running";
/// Text of an error.
inline constexpr const char* kError = "error";

// Heartbeats. Those of a machine share kType, kZone, kSpot and kTasks with jobs; kState is a task's
// too.

/// Name of the machine.
inline constexpr const char* kMachine = "host";
/// Address of the worker for direct commands.
inline constexpr const char* kAddress = "endpoint";
/// Epoch of the worker's agent.
inline constexpr const char* kEpoch = "tenure";
/// Sequence number of a heartbeat in its epoch.
inline constexpr const char* kSequence = "tick";
/// Fencing token.
inline constexpr const char* kToken = "baton";
/// Time until the cloud reclaims the machine, in seconds.
inline constexpr const char* kPreemptionNotice = "warningS";
/// Name of a task: job, slash, index.
inline constexpr const char* kTask = "piece";
/// Number of a task's attempt.
inline constexpr const char* kAttempt = "try";
/// Why an attempt has exited.
inline constexpr const char* kCause = "cause";
/// Whether an exited attempt has saved a checkpoint.
inline constexpr const char* kSaved = "stored";

// Answers to heartbeats, and direct commands.

/// List of commands.
inline constexpr const char* kCommands = "orders";
/// What a command does.
inline constexpr const char* kOp = "verb";
/// Time between a stop and the kill, in seconds.
inline constexpr const char* kGrace = "leewayS";
/// Checkpoint interval that the leader chose for an attempt, in seconds. The protocol names no
/// field for it in commands; receivers ignore fields that they do not know.
inline constexpr const char* kInterval = "bookmarkS";
/// Name of the leader, in answers of other nodes.
inline constexpr const char* kLeader = "foreman";

// The cloud.

/// Name of a request, which makes its repetition idempotent.
inline constexpr const char* kRequest = "ask";
/// Number of machines to rent.
inline constexpr const char* kCount = "howMany";
/// List of machines.
inline constexpr const char* kMachines = "hosts";
/// Zones in which a machine type is offered.
inline constexpr const char* kZones = "yards";
/// Image cache of a machine, in GB.
inline constexpr const char* kCacheGb = "localGb";
/// Rate at which a machine fetches images, in GB/s.
inline constexpr const char* kFetch = "pullGbPerS";
/// Price of a machine.
inline constexpr const char* kPrice = "price";
/// Price of a machine as a spot machine.
inline constexpr const char* kSpotPrice = "marketPrice";
/// Time that a machine takes to boot, in seconds.
inline constexpr const char* kBoot = "readyS";
/// Name of a machine type.
inline constexpr const char* kName = "name";
/// Age of a machine, in seconds.
inline constexpr const char* kAge = "ageS";
/// Whether a list has a further page.
inline constexpr const char* kMore = "hasNext";

// The state service.

/// Key of an item or a condition.
inline constexpr const char* kKey = "key";
/// Value of a key.
inline constexpr const char* kValue = "value";
/// Items of a list.
inline constexpr const char* kItems = "items";
/// Revision of the store.
inline constexpr const char* kRevision = "ledger";
/// Version of a key: the revision of its last change.
inline constexpr const char* kVersion = "stamp";
/// Number of a store lease.
inline constexpr const char* kStoreLease = "hold";
/// Conditions of a transaction.
inline constexpr const char* kIf = "when";
/// Changes of a transaction.
inline constexpr const char* kThen = "apply";
/// Key that a change or an event sets.
inline constexpr const char* kPut = "put";
/// Key that a change or an event deletes.
inline constexpr const char* kDelete = "drop";
/// Time to live of a store lease, in milliseconds.
inline constexpr const char* kTtl = "ttlMs";
/// Events of a watch.
inline constexpr const char* kEvents = "news";
/// Keys whose conditions failed.
inline constexpr const char* kFailed = "failed";

}  // namespace asterstair::wire::name
