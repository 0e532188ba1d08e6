#include "provisioning/provisioning_controller.hpp"

#include "base/log.hpp"

namespace asterstair::provisioning {
namespace {

lease::Options lease_options(const Settings& settings, const leader::Election& election) {
  lease::Options out;
  out.key = kLeaseKey;
  out.node = settings.node;
  out.ttl = leader_ttl(settings);
  // Everything that the previous holder may still do is in the operation log, so there is no need
  // to wait until its lease has expired.
  out.contention_policy = lease::ContentionPolicy::TakeOver;
  // A former leader that does not know of its successor yet must not claim the lease back.
  out.claim_conditions = [&election] { return std::vector{election.guard()}; };
  return out;
}

}  // namespace

ProvisioningController::ProvisioningController(Runtime& runtime, store::Store& store,
                                               cloud::Cloud& cloud, const Settings& settings,
                                               const leader::Election& election, bool durable,
                                               std::function<void()> hand_over)
    : runtime_(runtime),
      store_(store),
      cloud_(cloud),
      settings_(settings),
      election_(election),
      orphan_publisher_(store, *this) {
  if (!durable) return;
  lease_.emplace(
      runtime_, store_, lease_options(settings_, election_),
      lease::Events{[this](std::uint64_t token, bool) { on_lease_acquired(token); }, [] {}});
  admin_control_.emplace(runtime_, store_, *lease_, std::move(hand_over));
}

std::shared_ptr<OperationRunner> ProvisioningController::begin_term() {
  operations_ =
      std::make_shared<OperationRunner>(runtime_, cloud_, settings_, *this, make_operation_log());
  if (lease_) lease_->campaign();
  return operations_;
}

std::shared_ptr<OperationLog> ProvisioningController::make_operation_log() {
  if (!lease_) return std::make_shared<TransientOperationLog>();
  stored_log_ = std::make_shared<StoredOperationLog>(runtime_, store_, *this);
  return stored_log_;
}

void ProvisioningController::end_term() {
  if (operations_) operations_->stop();
  if (stored_log_) stored_log_->stop();
  operations_.reset();
  stored_log_.reset();
  if (lease_) lease_->withdraw();
}

bool ProvisioningController::lease_valid() const {
  return election_.lease_valid() && (!lease_ || lease_->lease_valid());
}

std::vector<wire::Condition> ProvisioningController::guards() const {
  std::vector<wire::Condition> out{election_.guard()};
  if (lease_) out.push_back(lease_->guard());
  return out;
}

void ProvisioningController::renew_token() {
  if (!lease_ || !lease_->held()) return;
  lease_->withdraw();
  lease_->campaign();
}

void ProvisioningController::on_lease_acquired(std::uint64_t token) {
  log::info("provisioning lease is held with token {}", token);
  admin_control_->start(token);
}

void ProvisioningController::publish_orphans(const std::vector<OrphanedInstance>& orphans) {
  if (lease_) orphan_publisher_.publish(orphans);
}

}  // namespace asterstair::provisioning
