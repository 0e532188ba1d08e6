#pragma once
/// @file
/// Decides which node provisions machines: the leader, under the provisioning lease. Owned by Node.

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

/// Campaigns for the provisioning lease while this node is the leader, and creates the operation
/// runner of each term.
class ProvisioningController : public FencingAuthority {
 public:
  /// `durable` selects a separate provisioning lease and a stored operation log. Without it the
  /// leader provisions under the leader's lease, and nothing is stored. `hand_over` is called when
  /// an administrator requests that another node takes over.
  ProvisioningController(Runtime& runtime, store::Store& store, cloud::Cloud& cloud,
                         const Settings& settings, const leader::Election& election, bool durable,
                         std::function<void()> hand_over);

  /// Begins a term of leadership. Returns the term's operation runner, which the caller starts.
  std::shared_ptr<OperationRunner> begin_term();
  /// Ends the term: stops its operations and releases the lease. Does nothing without a term.
  void end_term();

  /// Publishes the orphaned instances for administrators, if provisioning is durable.
  void publish_orphans(const std::vector<OrphanedInstance>& orphans);

  bool lease_valid() const override;
  bool paused() const override { return admin_control_ && admin_control_->paused(); }
  std::uint64_t token() const override { return lease_ ? lease_->token() : election_.token(); }
  bool sends_fencing_token() const override { return lease_.has_value(); }
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
  std::optional<AdminControl> admin_control_;  ///< only if provisioning is durable
  OrphanPublisher orphan_publisher_;
  std::shared_ptr<StoredOperationLog> stored_log_;  ///< of this term, if provisioning is durable
  std::shared_ptr<OperationRunner> operations_;     ///< of this term
};

}  // namespace asterstair::provisioning
