#pragma once
/// @file
/// Guard for callbacks that may arrive after the object that asked for them has ended.

#include <memory>
#include <utility>

namespace asterstair {

/// Base of an object that lives for one term of leadership and hands out asynchronous callbacks.
/// Timers and requests cannot be recalled, so their callbacks outlive the term. Derived objects
/// must be owned by a shared_ptr.
template <typename Self>
class Stoppable : public std::enable_shared_from_this<Self> {
 public:
  /// Ends the object's work: no callback wrapped by while_running() acts any more.
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
