#pragma once
/// @file
/// Dependencies and lifetime of a term of leadership, shared by all its modules.

#include <cstdint>
#include <memory>
#include <utility>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "leader/election.hpp"
#include "store/store.hpp"

namespace asterstair::leader {

/// Safety margin added to worker leases besides clock drift. Covers the time between reading a
/// clock and acting on it.
inline constexpr Duration kLeaseMargin = 300ms;

/// Dependencies and lifetime of a term. Owned by Term and referenced by its modules.
struct TermContext {
  /// Clock, timers and network.
  Runtime& runtime;
  /// Client of the state service.
  store::Store& store;
  /// The leader's lease.
  const Election& election;
  /// The platform's settings.
  const Settings& settings;
  /// The machine types.
  const cloud::Catalog& catalog;
  /// The term's fencing token.
  std::uint64_t token = 0;
  /// When the term began.
  TimePoint elected_at{};
  /// Latest time at which the lease of a previous leader may still be valid.
  TimePoint previous_leaders_expiry{};
  /// The Term, set when it starts.
  std::weak_ptr<const void> owner{};
  /// Whether the term has ended. No command, response or write may be sent any more.
  bool stopped = false;

  /// Current time of the steady clock.
  TimePoint now() const { return runtime.now(); }

  /// Maximum time for which a worker's lease lasts after a renewal, by this node's clock.
  Duration max_worker_lease() const {
    return to_duration(Seconds(seconds(settings.lease) * (1 + kClockDrift))) + kLeaseMargin;
  }

  /// When a worker's lease has expired, by this node's clock, if it was renewed at this time at the
  /// latest.
  TimePoint worker_lease_expiry(TimePoint latest_renewal) const {
    return latest_renewal + max_worker_lease();
  }
  /// Whether a worker's lease that was renewed at this time at the latest, as far as this leader
  /// and its predecessors know, has expired by this node's clock. A successor may have renewed it
  /// since.
  bool worker_lease_timed_out(TimePoint latest_renewal) const {
    return now() > worker_lease_expiry(latest_renewal);
  }
  /// Whether the worker's lease has expired in any case: it had timed out while this node was still
  /// known to have no successor. Whatever a successor answers later, the worker has ended all tasks
  /// of that epoch by then. See "Why an expiry must be confirmed" in docs/design.md.
  bool worker_lease_expired(TimePoint latest_renewal) const {
    return election.confirmed_at() > worker_lease_expiry(latest_renewal);
  }

  /// Wraps a module's callback so that it does nothing once the term has ended. The term is kept
  /// alive while the callback runs.
  template <typename Callback>
  auto while_alive(Callback callback) const {
    return [this, owner = owner, callback = std::move(callback)](auto&&... arguments) {
      const auto keep_alive = owner.lock();
      if (!keep_alive || stopped) return;
      callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }
};

}  // namespace asterstair::leader
