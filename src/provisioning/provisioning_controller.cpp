#include "provisioning/provisioning_controller.hpp"

#include "base/log.hpp"

namespace asterstair::provisioning {
namespace {

constexpr auto kControlEvery = 5s;

lease::Options lease_options(const Settings& settings, const leader::Election& election) {
  lease::Options out;
  out.key = kLeaseKey;
  out.node = settings.node;
  out.ttl = leader_ttl(settings);
  // What an earlier holder may still do stands in the operation log: waiting would gain nothing.
  out.contention_policy = lease::ContentionPolicy::TakeOver;
  // Only the leader: a leader that has been replaced and does not know it would take the lease
  // back.
  out.claim_conditions = [&election] { return std::vector{election.guard()}; };
  return out;
}

}  // namespace

ProvisioningController::ProvisioningController(Runtime& runtime, store::Store& store,
                                               cloud::Cloud& cloud, const Settings& settings,
                                               const leader::Election& election, bool recorded,
                                               std::function<void()> hand_over)
    : runtime_(runtime),
      store_(store),
      cloud_(cloud),
      settings_(settings),
      election_(election),
      hand_over_(std::move(hand_over)) {
  if (!recorded) return;
  lease_.emplace(runtime_, store_, lease_options(settings_, election_),
                 lease::Events{[this](std::uint64_t token, bool) { acquired(token); }, [] {}});
}

std::shared_ptr<OperationRunner> ProvisioningController::begin_term() {
  std::shared_ptr<OperationLog> operation_log;
  if (lease_) {
    operation_log_ = std::make_shared<StoredOperationLog>(runtime_, store_, *this);
    operation_log = operation_log_;
    lease_->campaign();
  } else {
    operation_log = std::make_shared<TransientOperationLog>();
  }
  operations_ = std::make_shared<OperationRunner>(runtime_, cloud_, settings_, *this,
                                                  std::move(operation_log));
  return operations_;
}

void ProvisioningController::end_term() {
  if (operations_) operations_->stop();
  if (operation_log_) operation_log_->stop();
  operations_.reset();
  operation_log_.reset();
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

void ProvisioningController::acquired(std::uint64_t token) {
  log::info("duty machines is held with token {}", token);
  control_ = {};
  control_.paused = true;  // until it is known whether an operator has asked for it
  poll_control(token);
}

void ProvisioningController::poll_control(std::uint64_t token) {
  if (!lease_->held() || lease_->token() != token) return;
  store_.get(kControlKey, [this, token](const store::ReadResult& r) {
    if (!lease_->held() || lease_->token() != token) return;
    read_control(r);
    const bool known = r.outcome != store::ReadOutcome::Unavailable;
    runtime_.after(known ? Duration(kControlEvery) : Duration(1s),
                   [this, token] { poll_control(token); });
  });
}

void ProvisioningController::read_control(const store::ReadResult& r) {
  if (r.outcome == store::ReadOutcome::Unavailable) return;
  Control control;
  if (r.outcome == store::ReadOutcome::Found) {
    try {
      control = decode_control(*r.item.value);
      bad_control_told_ = false;
    } catch (const wire::DecodeError& e) {
      // What was asked for cannot be known: nothing is begun until it can be read.
      if (!bad_control_told_) log::error("{} is malformed: {}", kControlKey, e.what());
      bad_control_told_ = true;
      control.paused = true;
    }
  }
  if (control.paused != control_.paused) {
    log::info("duty machines is {}", control.paused ? "paused" : "in service");
  }
  control_ = control;
  if (control.hand_over_from != 0 && control.hand_over_from == lease_->token()) {
    log::info("duty machines is handed over, as an operator has asked");
    hand_over_();
  }
}

void ProvisioningController::publish_orphans(const std::vector<OrphanedInstance>& orphans) {
  if (!lease_ || !lease_valid() || orphans == shown_orphans_) return;
  shown_orphans_ = orphans;
  wire::Txn txn;
  txn.conditions = guards();
  txn.changes.push_back({kOrphansKey, encode_orphans(orphans)});
  store_.write(std::move(txn), store::Urgency::Lazy, [this](const store::WriteResult& r) {
    // Shown anew with the next look.
    if (r.outcome != store::WriteOutcome::Committed) shown_orphans_.clear();
  });
}

}  // namespace asterstair::provisioning
