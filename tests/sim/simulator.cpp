#include "sim/simulator.hpp"

#include <algorithm>
#include <utility>

namespace sim {

namespace {

double since_start(TimePoint time) { return seconds(time.time_since_epoch()) - 1000.0; }

}  // namespace

bool Simulator::Event::operator<(const Event& other) const {
  return std::pair(due, order) > std::pair(other.due, other.order);
}

double Simulator::elapsed() const { return since_start(now_); }

void Simulator::push(Duration delay, std::function<void()> action) {
  events_.push({now_ + std::max(delay, Duration::zero()), next_order_++, std::move(action)});
}

void Simulator::run_until(double end) {
  while (!events_.empty() && since_start(events_.top().due) <= end) {
    auto event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.due;
    event.action();
    if (after_event) after_event();
  }
}

double Simulator::uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(rng_);
}

bool Simulator::chance(double probability) { return uniform(0, 1) < probability; }

}  // namespace sim
