#pragma once
/// @file
/// Publishes the orphaned instances to administrators. Owned by ProvisioningController.

#include <vector>

#include "provisioning/fencing_authority.hpp"
#include "provisioning/records.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

/// Writes the list of orphaned instances to its record in the state service.
class OrphanPublisher {
 public:
  /// Writes through `store` under the guards of `authority`. Both must outlive the callbacks.
  OrphanPublisher(store::Store& store, const FencingAuthority& authority)
      : store_(store), authority_(authority) {}

  /// Writes the list if it differs from the last one written. The next call repeats a failed write.
  void publish(const std::vector<OrphanedInstance>& orphans);

 private:
  store::Store& store_;
  const FencingAuthority& authority_;
  std::vector<OrphanedInstance> published_;
};

}  // namespace asterstair::provisioning
