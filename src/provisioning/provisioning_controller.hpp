#pragma once
// Which node deals with the cloud's machines: the leader, under a lease of its own. A node
// campaigns for the lease while it leads, and gives it up with its leadership.

#include <functional>
#include <memory>
#include <optional>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/cloud.hpp"
#include "leader/election.hpp"
#include "lease/lease.hpp"
#include "provisioning/fencing_authority.hpp"
#include "provisioning/operation_runner.hpp"
#include "provisioning/records.hpp"
#include "provisioning/stored_operation_log.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

class ProvisioningController : public FencingAuthority {
 public:
  // `recorded`: whether the provisioning lease has a lease and a operation log; if not, whoever
  // leads holds it, and no record is kept. `hand_over` is called when an operator asks for it.
  ProvisioningController(Runtime& runtime, store::Store& store, cloud::Cloud& cloud,
                         const Settings& settings, const leader::Election& election, bool recorded,
                         std::function<void()> hand_over);

  // The operations of the term that begins; started by the caller.
  std::shared_ptr<OperationRunner> begin_term();
  void end_term();

  // For operators to look at; written when it has changed.
  void publish_orphans(const std::vector<OrphanedInstance>& orphans);

  bool lease_valid() const override;
  bool paused() const override { return control_.paused; }
  std::uint64_t token() const override { return lease_ ? lease_->token() : election_.token(); }
  bool offers_token() const override { return lease_.has_value(); }
  std::vector<wire::Condition> guards() const override;
  void renew_token() override;

 private:
  void acquired(std::uint64_t token);
  void poll_control(std::uint64_t token);
  void read_control(const store::ReadResult& result);

  Runtime& runtime_;
  store::Store& store_;
  cloud::Cloud& cloud_;
  const Settings& settings_;
  const leader::Election& election_;
  std::function<void()> hand_over_;
  std::optional<lease::Lease>
      lease_;  // none: the provisioning lease is the leader's, without records
  std::shared_ptr<StoredOperationLog> operation_log_;
  std::shared_ptr<OperationRunner> operations_;
  Control control_;
  bool bad_control_told_ = false;
  std::vector<OrphanedInstance> shown_orphans_;
};

}  // namespace asterstair::provisioning
