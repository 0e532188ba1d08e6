#pragma once
/// @file
/// Writes the orphaned instances for administrators. Owned by ProvisioningController.

#include <vector>

#include "provisioning/fencing_authority.hpp"
#include "provisioning/records.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

/// Keeps the orphans record in the state service equal to the last list that was published.
class OrphanPublisher {
 public:
  /// Writes through `store` under the guards of `authority`. Both must outlive the callbacks.
  OrphanPublisher(store::Store& store, const FencingAuthority& authority)
      : store_(store), authority_(authority) {}

  /// Writes the list if it differs from the last one written. A failed write is repeated by the
  /// next call.
  void publish(const std::vector<OrphanedInstance>& orphans);

 private:
  store::Store& store_;
  const FencingAuthority& authority_;
  std::vector<OrphanedInstance> published_;
};

}  // namespace asterstair::provisioning
