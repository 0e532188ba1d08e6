#pragma once
/// @file
/// All that the service keeps in the state service: keys and the format of their values. Package
/// provisioning adds its own records, see provisioning/records.hpp.
///
///   leader                  who leads, attached to a store lease; its version is the fencing token
///   earlier-leaders-ended   the leases of all leaders before a token have expired
///   live/<job>              description of an accepted job that is neither done nor cancelled
///   final/<job>             how a job ended; kept for ever
///   progress/<job>/<n>      which tasks are done, in chunks; the first precedes the first start
///   roster/<n>              machine registry: machines that may have been given work, in chunks
///   catalog                 machine types as last seen, for starts while the cloud is down
///
/// The words in keys and values are stored by running clusters: they never change.

#include "store/job_records.hpp"
#include "store/lease_records.hpp"
#include "store/machine_registry_records.hpp"
#include "store/progress_records.hpp"
#include "store/record_format.hpp"

namespace asterstair::store {

/// Key of the machine types as last seen. wire::encode_machine_types() gives the value's format.
inline constexpr const char* kCatalogKey = "catalog";

}  // namespace asterstair::store
