#pragma once
/// @file
/// Guard for callbacks that may run after the object that requested them was stopped or destroyed.

#include <memory>
#include <utility>

namespace asterstair {

/// Base of an object that lives for one term of leadership and hands out asynchronous callbacks.
/// Pending timers and requests are not cancelled, so their callbacks may run after the term has
/// ended. Derived objects must be owned by a shared_ptr.
template <typename Self>
class Stoppable : public std::enable_shared_from_this<Self> {
 public:
  /// Stops the object: callbacks wrapped by while_running() do nothing from now on.
  void stop() { stopped_ = true; }

 protected:
  ~Stoppable() = default;

  bool stopped() const { return stopped_; }

  /// Wraps `action(Self&, arguments...)` as a callback that does nothing once the object is stopped
  /// or destroyed. The callback does not keep the object alive.
  template <typename Action>
  auto while_running(Action action) {
    return [weak = this->weak_from_this(), action = std::move(action)](auto&&... arguments) {
      const auto self = weak.lock();
      if (self && !self->stopped()) {
        action(*self, std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  bool stopped_ = false;
};

}  // namespace asterstair
