#pragma once
/// @file
/// Names of JSON fields on the wire, as PROTOCOL defines them. Only src/wire may include this
/// header; all other code uses the field's standard terms. Several messages share a name.

namespace asterstair::wire::name {

// Job descriptions in submissions.

/// ID of a job, or of a machine in the cloud's list.
inline constexpr const char* kId = "ref";
/// Class of a job, which selects its objectives.
inline constexpr const char* kClass = "lane";
/// Team that owns a job.
inline constexpr const char* kTeam = "owner";
/// Kind of a job.
inline constexpr const char* kKind = "shape";
/// Priority of a job.
inline constexpr const char* kPriority = "rank";
/// Number of tasks of a job; list of tasks on a machine.
inline constexpr const char* kTasks = "pieces";
/// CPU cores of a task or a machine.
inline constexpr const char* kCpus = "cores";
/// Accelerators of a task or a machine.
inline constexpr const char* kGpus = "accelerators";
/// Memory of a task or a machine, in GB.
inline constexpr const char* kMemoryGb = "ramGb";
/// Name of a job's image.
inline constexpr const char* kImage = "bundle";
/// Size of a job's image, in GB.
inline constexpr const char* kImageGb = "imageGb";
/// Machine types that a job may use; machine types that the cloud offers.
inline constexpr const char* kTypes = "flavors";
/// Machine type.
inline constexpr const char* kType = "flavor";
/// Zone of a job or a machine.
inline constexpr const char* kZone = "yard";
/// Whether all tasks must run in one zone.
inline constexpr const char* kOneZone = "together";
/// Whether at most half of the tasks, rounded up, may run in one zone.
inline constexpr const char* kSpread = "scatter";
/// Whether a job may use spot machines; whether a machine is a spot machine.
inline constexpr const char* kSpot = "loaner";
/// Estimated run time of a task, in seconds.
inline constexpr const char* kEstimate = "expectS";
/// Interval of a job's checkpoints, in seconds.
inline constexpr const char* kCheckpoint = "bookmarkS";
/// Time needed to save a checkpoint, in seconds.
inline constexpr const char* kSaveTime = "stashS";
/// Deadline of a job, in seconds after its submission.
inline constexpr const char* kDeadline = "dueS";

// Responses to users.

/// Stage of a job, state of a task, state of a machine in the cloud's list.
inline constexpr const char* kState = "stage";
/// Number of completed tasks.
inline constexpr const char* kDone = "done";
/// Number of running tasks.
inline constexpr const char* kRunning = "running";
/// Text of an error message.
inline constexpr const char* kError = "error";

// Heartbeats. They also use kType, kZone, kSpot and kTasks for the machine, and kState for its
// tasks.

/// ID of the machine.
inline constexpr const char* kMachine = "host";
/// Address at which the worker accepts direct commands.
inline constexpr const char* kAddress = "endpoint";
/// Epoch of the worker's agent.
inline constexpr const char* kEpoch = "tenure";
/// Sequence number of a heartbeat within its epoch.
inline constexpr const char* kSequence = "tick";
/// Fencing token.
inline constexpr const char* kToken = "baton";
/// Time until the cloud reclaims the machine, in seconds.
inline constexpr const char* kPreemptionNotice = "warningS";
/// ID of a task: "<job>/<index>".
inline constexpr const char* kTask = "piece";
/// Attempt number of a task.
inline constexpr const char* kAttempt = "try";
/// Reason why an attempt exited.
inline constexpr const char* kCause = "cause";
/// Whether an exited attempt saved a checkpoint.
inline constexpr const char* kSaved = "stored";

// Responses to heartbeats, and direct commands.

/// List of commands.
inline constexpr const char* kCommands = "orders";
/// Operation of a command.
inline constexpr const char* kOp = "verb";
/// Grace period between the stop request and the kill, in seconds.
inline constexpr const char* kGrace = "leewayS";
/// Checkpoint interval that the leader chose for an attempt, in seconds. PROTOCOL defines no such
/// field in commands; receivers ignore unknown fields.
inline constexpr const char* kInterval = "bookmarkS";
/// Name of the leader, in responses of nodes that do not lead.
inline constexpr const char* kLeader = "foreman";

// Requests to the cloud and its responses.

/// Idempotency key of a request.
inline constexpr const char* kRequest = "ask";
/// Number of machines to rent.
inline constexpr const char* kCount = "howMany";
/// List of machines.
inline constexpr const char* kMachines = "hosts";
/// Zones that offer a machine type.
inline constexpr const char* kZones = "yards";
/// Size of a machine's image cache, in GB.
inline constexpr const char* kCacheGb = "localGb";
/// Rate at which a machine fetches images, in GB/s.
inline constexpr const char* kFetchRate = "pullGbPerS";
/// Price of an on-demand machine.
inline constexpr const char* kPrice = "price";
/// Price of a spot machine.
inline constexpr const char* kSpotPrice = "marketPrice";
/// Time that a machine takes to boot, in seconds.
inline constexpr const char* kBootTime = "readyS";
/// Name of a machine type.
inline constexpr const char* kName = "name";
/// Age of a machine, in seconds.
inline constexpr const char* kAge = "ageS";
/// Whether a list has a further page.
inline constexpr const char* kHasMore = "hasNext";

// Requests to the state service and its responses.

/// Key of an item or of a condition.
inline constexpr const char* kKey = "key";
/// Value of an item.
inline constexpr const char* kValue = "value";
/// Items of a list.
inline constexpr const char* kItems = "items";
/// Revision of the key-value store.
inline constexpr const char* kRevision = "ledger";
/// Version of a key: the revision of its last change.
inline constexpr const char* kVersion = "stamp";
/// ID of a store lease.
inline constexpr const char* kStoreLease = "hold";
/// Compare-and-swap conditions of a transaction.
inline constexpr const char* kConditions = "when";
/// Changes of a transaction.
inline constexpr const char* kChanges = "apply";
/// Key that a change or an event sets.
inline constexpr const char* kPut = "put";
/// Key that a change or an event deletes.
inline constexpr const char* kDelete = "drop";
/// TTL (time to live) of a store lease, in milliseconds.
inline constexpr const char* kTtl = "ttlMs";
/// Events of a watch.
inline constexpr const char* kEvents = "news";
/// Keys of a transaction's failed conditions.
inline constexpr const char* kFailedConditions = "failed";

}  // namespace asterstair::wire::name
