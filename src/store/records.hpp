#pragma once
/// @file
/// Keys and value formats of the records in the state service. Package provisioning adds its own
/// records, see provisioning/records.hpp.
///
///   leader                  holder of the leader lease, attached to a store lease; the key's
///                           version is the fencing token
///   earlier-leaders-ended   the leases of all leaders before a fencing token have expired
///   live/<job>              description of an accepted job that is neither done nor cancelled
///   final/<job>             how a job ended; never deleted
///   progress/<job>/<n>      bitmap of done tasks, in chunks; chunk 0 is written before the job's
///                           first task starts
///   roster/<n>              machine registry: machines that may have tasks, in several records
///   roster/-<n>             the same, in fixed-width keys, where ten records are not enough
///   catalog                 last known machine types, for nodes that start while the cloud is
///                           unavailable
///   unreadable/<key>        copy of a record that could not be decoded and had to be replaced
///
/// Running clusters have stored these keys, field names and values: they must never change.

#include "store/job_records.hpp"
#include "store/lease_records.hpp"
#include "store/machine_registry_records.hpp"
#include "store/progress_records.hpp"
#include "store/record_format.hpp"

namespace asterstair::store {

/// Key of the last known machine types. wire::encode_machine_types() defines the value's format.
inline constexpr const char* kCatalogKey = "catalog";

}  // namespace asterstair::store
