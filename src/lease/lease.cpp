#include "lease/lease.hpp"

namespace asterstair::lease {
namespace {

// How long a node does not claim the lease after it has stepped down, so that a peer claims it.
constexpr auto kClaimDelayAfterStepDown = 5s;

}  // namespace

Lease::Lease(Runtime& runtime, store::Store& store, Options options, Events events)
    : runtime_(runtime),
      options_(std::move(options)),
      events_(std::move(events)),
      acquirer_(runtime, store, options_,
                [this](const AcquiredClaim& claim) { on_acquired(claim); }),
      renewer_(runtime, store, options_, [this] { on_lost(); }) {}

void Lease::campaign() { acquirer_.start(); }

void Lease::withdraw() {
  acquirer_.stop();
  if (held()) renewer_.withdraw();
}

void Lease::step_down() {
  if (!held()) return;
  stepped_down_token_ = token();
  acquirer_.defer_claims(runtime_.now() + kClaimDelayAfterStepDown);
  renewer_.step_down();
}

void Lease::claim_after_step_down(std::uint64_t token) {
  if (!held()) acquirer_.claim_after_step_down(token);
}

void Lease::force_claim() {
  if (!held()) acquirer_.force_claim();
}

void Lease::on_higher_token(std::uint64_t token) {
  if (held() && token > this->token()) renewer_.lose();
}

const std::string& Lease::holder() const {
  return held() ? options_.node : acquirer_.observed_holder();
}

// The lease counts as held when the owner's callback runs, and no renewal is sent before it.
void Lease::on_acquired(const AcquiredClaim& claim) {
  renewer_.begin_term(claim);
  events_.acquired(claim.token, claim.forced);
  renewer_.start();
}

// The owner's callback ends its term before this node campaigns again.
void Lease::on_lost() {
  events_.lost();
  acquirer_.resume();
}

}  // namespace asterstair::lease
