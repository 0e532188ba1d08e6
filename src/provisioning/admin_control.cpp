#include "provisioning/admin_control.hpp"

#include "base/log.hpp"

namespace asterstair::provisioning {
namespace {

// Interval between reads of the control record. A request takes effect within about this time.
constexpr Duration kPollInterval = 5s;
// Delay of the next read when the state service is unavailable. It is shorter, because provisioning
// is paused until the first answer.
constexpr Duration kUnavailableRetryDelay = 1s;

}  // namespace

void AdminControl::start(std::uint64_t token) {
  control_ = {};
  control_.paused = true;
  poll(token);
}

bool AdminControl::holds(std::uint64_t token) const {
  return lease_.held() && lease_.token() == token;
}

void AdminControl::poll(std::uint64_t token) {
  if (!holds(token)) return;
  store_.get(kControlKey, [this, token](const store::ReadResult& result) {
    if (!holds(token)) return;
    const bool available = result.outcome != store::ReadOutcome::Unavailable;
    if (available) apply(decode(result));
    runtime_.after(available ? kPollInterval : kUnavailableRetryDelay,
                   [this, token] { poll(token); });
  });
}

ControlRecord AdminControl::decode(const store::ReadResult& result) {
  if (result.outcome != store::ReadOutcome::Found) return {};
  try {
    const auto control = decode_control(*result.item.value);
    malformed_logged_ = false;
    return control;
  } catch (const wire::DecodeError& error) {
    if (!malformed_logged_) log::error("{} is malformed: {}", kControlKey, error.what());
    malformed_logged_ = true;
    return {.paused = true};
  }
}

void AdminControl::apply(const ControlRecord& control) {
  if (control.paused != control_.paused) {
    log::info("provisioning is {}", control.paused ? "paused" : "in service");
  }
  control_ = control;
  if (control.hand_over_from != 0 && control.hand_over_from == lease_.token()) {
    log::info("provisioning is handed over, as an administrator has requested");
    hand_over_();
  }
}

}  // namespace asterstair::provisioning
