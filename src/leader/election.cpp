#include "leader/election.hpp"

#include "base/log.hpp"

namespace asterstair::leader {
namespace {

lease::Options options(const Settings& settings) {
  lease::Options out;
  out.key = store::kLeaderKey;
  out.node = settings.node;
  out.ttl = leader_ttl(settings);
  out.contention_policy = lease::ContentionPolicy::Wait;
  out.expiry_record_key = store::kPreviousLeadersExpiredKey;
  return out;
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
    : lease_(runtime, store, options(settings), lease_events(std::move(events))) {}

}  // namespace asterstair::leader
