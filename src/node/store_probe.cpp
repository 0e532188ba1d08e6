#include "node/store_probe.hpp"

#include "store/records.hpp"

namespace asterstair {
namespace {

// HeartbeatEndpoint's kPeerDetectionDelay relies on this interval.
constexpr auto kProbeInterval = 1s;

}  // namespace

void StoreProbe::probe() {
  runtime_.after(kProbeInterval, [this] { probe(); });
  if (store_.answered_within(kProbeInterval)) return;
  store_.get(store::kLeaderKey, [](const store::ReadResult&) {});
}

}  // namespace asterstair
