#pragma once
/// @file
/// Drops callbacks of requests and timers that are no longer current.

#include <memory>
#include <utility>

namespace asterstair::lease {

/// Drops callbacks that run too late: after a newer request has begun, or after the guard has been
/// destroyed together with its owner.
///
/// A class that has at most one outstanding request or timer of a kind owns one guard for that kind
/// and wraps each callback with begin(). The callbacks then need no check of their own. All calls
/// come from the event loop's thread.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  /// Cancels all earlier callbacks, and wraps the callback of a new request.
  template <typename Callback>
  auto begin(Callback callback) {
    cancel();
    return wrap(std::move(callback));
  }

  /// Wraps a further callback of the current request, without cancelling earlier ones.
  template <typename Callback>
  auto wrap(Callback callback) const {
    return [current = std::weak_ptr<const Generation>(generation_),
            callback = std::move(callback)](auto&&... arguments) {
      if (!current.expired()) callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Drops all callbacks that have been wrapped so far.
  void cancel() { generation_ = std::make_shared<const Generation>(); }

 private:
  struct Generation {};

  /// Wrapped callbacks hold a weak pointer to it, which expires when cancel() replaces it.
  std::shared_ptr<const Generation> generation_ = std::make_shared<const Generation>();
};

}  // namespace asterstair::lease
