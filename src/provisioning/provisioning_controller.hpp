#pragma once
/// @file
/// Decides which node provisions machines: the leader, under a lease of its own. Owned by Node.

#include <functional>
#include <memory>
#include <optional>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/cloud.hpp"
#include "leader/election.hpp"
#include "lease/lease.hpp"
#include "provisioning/admin_control.hpp"
#include "provisioning/fencing_authority.hpp"
#include "provisioning/operation_runner.hpp"
#include "provisioning/orphan_publisher.hpp"
#include "provisioning/records.hpp"
#include "provisioning/stored_operation_log.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

/// Campaigns for the provisioning lease while this node leads, and makes the operation runner of
/// each term.
class ProvisioningController : public FencingAuthority {
 public:
  /// `durable` selects a lease and an operation log of their own. Without it the leader provisions
  /// under the leader lease, and nothing is stored. `hand_over` is called when an administrator
  /// requests that another node takes over.
  ProvisioningController(Runtime& runtime, store::Store& store, cloud::Cloud& cloud,
                         const Settings& settings, const leader::Election& election, bool durable,
                         std::function<void()> hand_over);

  /// Begins a term of leadership. Returns its operations, which the caller starts.
  std::shared_ptr<OperationRunner> begin_term();
  /// Ends the term: stops its operations and gives the lease up. Harmless without a term.
  void end_term();

  /// Publishes the orphaned instances for administrators, if provisioning is durable.
  void publish_orphans(const std::vector<OrphanedInstance>& orphans);

  bool lease_valid() const override;
  bool paused() const override { return admin_control_ && admin_control_->paused(); }
  std::uint64_t token() const override { return lease_ ? lease_->token() : election_.token(); }
  bool offers_token() const override { return lease_.has_value(); }
  std::vector<wire::Condition> guards() const override;
  void renew_token() override;

 private:
  void on_lease_acquired(std::uint64_t token);
  std::shared_ptr<OperationLog> make_operation_log();

  Runtime& runtime_;
  store::Store& store_;
  cloud::Cloud& cloud_;
  const Settings& settings_;
  const leader::Election& election_;
  std::optional<lease::Lease> lease_;          ///< only if provisioning is durable
  std::optional<AdminControl> admin_control_;  ///< the same
  OrphanPublisher orphan_publisher_;
  std::shared_ptr<StoredOperationLog> stored_log_;  ///< of this term, if provisioning is durable
  std::shared_ptr<OperationRunner> operations_;     ///< of this term
};

}  // namespace asterstair::provisioning
