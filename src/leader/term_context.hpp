#pragma once
/// @file
/// What all modules of a term of leadership have in common: its surroundings and its lifetime.

#include <cstdint>
#include <memory>
#include <utility>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "leader/election.hpp"
#include "store/store.hpp"

namespace asterstair::leader {

/// Added to worker leases beyond clock drift: for the steps between reading a clock and acting.
inline constexpr Duration kLeaseMargin = 300ms;

/// The surroundings of a term. Owned by Term; its modules refer to it.
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
  /// Until when leaders before this term may act on their leases.
  TimePoint previous_leaders_expiry{};
  /// The Term, set when it starts.
  std::weak_ptr<const void> owner{};
  /// Whether the term is over. Nothing may be ordered, answered or written any more.
  bool stopped = false;

  /// The steady clock.
  TimePoint now() const { return runtime.now(); }

  /// Wraps a callback that a module hands out, so that it does nothing once the term is over. The
  /// term is kept alive while the callback runs.
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
