#include "provisioning/orphan_publisher.hpp"

namespace asterstair::provisioning {

void OrphanPublisher::publish(const std::vector<OrphanedInstance>& orphans) {
  if (!authority_.lease_valid() || orphans == published_) return;
  published_ = orphans;
  wire::Txn txn;
  txn.conditions = authority_.guards();
  txn.changes.push_back({kOrphansKey, encode_orphans(orphans)});
  store_.write(std::move(txn), store::Urgency::Lazy, [this](const store::WriteResult& result) {
    if (result.outcome != store::WriteOutcome::Committed) published_.clear();
  });
}

}  // namespace asterstair::provisioning
