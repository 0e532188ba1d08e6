#include "net/loop.hpp"

#include <random>

namespace asterstair::net {

struct LoopRuntime::Timer {
  uv_timer_t handle{};
  LoopRuntime* owner = nullptr;
  TimerId id = 0;
  std::function<void()> action;
};

namespace {

uv_loop_t* init_loop(uv_loop_t* loop) {
  if (const int e = uv_loop_init(loop); e != 0) throw std::runtime_error(uv_strerror(e));
  return loop;
}

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

}  // namespace

LoopRuntime::LoopRuntime(const Settings& settings)
    : rng_(random_seed()),
      client_(init_loop(&loop_), settings.max_connections / 8),
      peers_(&loop_, settings) {}

LoopRuntime::~LoopRuntime() = default;  // the process ends by being killed; the loop never closes

TimerId LoopRuntime::after(Duration delay, std::function<void()> action) {
  auto* timer = new Timer;
  timer->owner = this;
  timer->id = next_timer_++;
  timer->action = std::move(action);
  timer->handle.data = timer;
  uv_timer_init(&loop_, &timer->handle);
  timers_[timer->id] = timer;
  const auto ms = std::chrono::ceil<milliseconds>(std::max(delay, Duration::zero())).count();
  uv_update_time(&loop_);
  uv_timer_start(
      &timer->handle,
      [](uv_timer_t* h) {
        auto* t = static_cast<Timer*>(h->data);
        t->owner->timers_.erase(t->id);
        auto action = std::move(t->action);
        uv_close(reinterpret_cast<uv_handle_t*>(h),
                 [](uv_handle_t* c) { delete static_cast<Timer*>(c->data); });
        action();
      },
      static_cast<std::uint64_t>(ms), 0);
  return timer->id;
}

void LoopRuntime::cancel(TimerId id) {
  const auto it = timers_.find(id);
  if (it == timers_.end()) return;
  Timer* timer = it->second;
  timers_.erase(it);
  timer->action = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&timer->handle),
           [](uv_handle_t* c) { delete static_cast<Timer*>(c->data); });
}

void LoopRuntime::http(const std::string& address, HttpRequest request, Duration timeout,
                       HttpCallback done) {
  client_.send(address, std::move(request), timeout, std::move(done));
}

void LoopRuntime::send_peer(const std::string& node, std::string message) {
  peers_.send(node, message);
}

}  // namespace asterstair::net
