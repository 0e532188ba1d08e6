#include "leader/election.hpp"

#include "base/log.hpp"

namespace asterstair::leader {
namespace {

lease::Options lease_options(const Settings& settings) {
  lease::Options options;
  options.key = store::kLeaderKey;
  options.node = settings.node;
  options.ttl = leader_ttl(settings);
  options.contention_policy = lease::ContentionPolicy::Wait;
  options.expiry_record_key = store::kPreviousLeadersExpiredKey;
  return options;
}

lease::Events lease_events(Election::Events events) {
  return {[elected = std::move(events.elected)](std::uint64_t token, bool forced) {
            log::info("leading with token {}{}", token, forced ? ", forced" : "");
            elected(token);
          },
          std::move(events.lost)};
}

}  // namespace

Election::Election(Runtime& runtime, store::Store& store, const Settings& settings, Events events)
    : lease_(runtime, store, lease_options(settings), lease_events(std::move(events))) {}

}  // namespace asterstair::leader
