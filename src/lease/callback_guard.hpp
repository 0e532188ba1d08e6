#pragma once
/// @file
/// Drops callbacks that come too late.

#include <memory>
#include <utility>

namespace asterstair::lease {

/// Drops callbacks that come too late: after a newer request has been begun, or after the guard,
/// and with it its owner, is gone.
///
/// A class that has at most one request or timer of a kind outstanding owns one guard for that
/// kind and wraps each callback in begin(). The callbacks then need no check of their own. All
/// calls come from the event loop's thread.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  /// Overtakes all requests begun before, and wraps the callback of the new one.
  template <typename Callback>
  auto begin(Callback callback) {
    cancel();
    return join(std::move(callback));
  }

  /// Wraps a further callback of what was begun last, without overtaking it.
  template <typename Callback>
  auto join(Callback callback) const {
    return [current = std::weak_ptr<const Generation>(generation_),
            callback = std::move(callback)](auto&&... arguments) {
      if (!current.expired()) callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Drops the callbacks of everything begun so far.
  void cancel() { generation_ = std::make_shared<const Generation>(); }

 private:
  struct Generation {};

  /// Its owner count is what the wrapped callbacks look at.
  std::shared_ptr<const Generation> generation_ = std::make_shared<const Generation>();
};

}  // namespace asterstair::lease
