#include "cloud/cloud.hpp"

#include "base/log.hpp"

namespace asterstair::cloud {
namespace {

constexpr auto kTimeout = 5s;
// From clouds that check the fencing token: a newer one has been seen. The order stays as it is: if
// this node holds the provisioning lease no more, its successor completes it.
constexpr int kFenced = 409;
// A new leader may start while calls of the last one still count.
constexpr double kCallShare = 0.8;

template <typename F>
auto guarded(F decode) -> std::optional<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception& e) {
    log::error("cloud: malformed answer: {}", e.what());
    return std::nullopt;
  }
}

}  // namespace

Cloud::Cloud(Runtime& runtime, const Settings& s)
    : runtime_(runtime), address_(s.cloud_address), calls_(s.cloud_rps * kCallShare, s.cloud_rps) {}

bool Cloud::may_call() { return calls_.wait_for(1, runtime_.now()) <= Duration::zero(); }

void Cloud::count_call() { calls_.take_unconditionally(1, runtime_.now()); }

void Cloud::call(HttpRequest request, HttpCallback done) {
  count_call();
  send(std::move(request), std::move(done));
}

void Cloud::send(HttpRequest request, HttpCallback done) {
  runtime_.http(address_, std::move(request), kTimeout,
                [this, done = std::move(done)](HttpResponse r) {
                  if (r.status == 429) calls_.on_rate_limited(runtime_.now(), 500ms);
                  done(std::move(r));
                });
}

void Cloud::machine_types(std::function<void(std::optional<std::vector<MachineType>>)> done) {
  call(wire::machine_types_request(), [done = std::move(done)](const HttpResponse& r) {
    if (r.status != 200) {
      done(std::nullopt);
      return;
    }
    done(guarded([&] { return wire::decode_machine_types(r.body); }));
  });
}

void Cloud::rent_machines(const wire::RentalRequest& request,
                          std::function<void(RentResult)> done) {
  send(wire::rent_request(request), [done = std::move(done)](const HttpResponse& r) {
    RentResult out;
    if (r.status == 200) {
      if (auto machines = guarded([&] { return wire::decode_rented(r.body); })) {
        out = {RentResult::Outcome::Rented, std::move(*machines)};
      }
    } else if (r.status == 503 && r.body.find("capacity") != std::string::npos) {
      out.outcome = RentResult::Outcome::NoCapacity;
    } else if (r.status == kFenced) {
      log::error("cloud: a rental was refused: {}", r.body);
    } else if (r.status == 429 || r.status == 503) {
      out.outcome = RentResult::Outcome::NotExecuted;
    } else if (r.status == 400) {
      log::error("cloud refused a rental: {}", r.body);
      out.outcome = RentResult::Outcome::NoCapacity;
    }
    done(std::move(out));
  });
}

void Cloud::return_machines(const wire::ReturnOrder& order,
                            std::function<void(ReturnOutcome)> done) {
  send(wire::return_request(order), [done = std::move(done)](const HttpResponse& r) {
    if (r.status == kFenced) log::error("cloud: a return was refused: {}", r.body);
    done(r.status == 200 ? ReturnOutcome::Gone : ReturnOutcome::Unknown);
  });
}

void Cloud::list(const std::string& after,
                 std::function<void(std::optional<wire::MachinePage>)> done) {
  call(wire::list_request(after), [done = std::move(done)](const HttpResponse& r) {
    if (r.status != 200) {
      done(std::nullopt);
      return;
    }
    done(guarded([&] { return wire::decode_machines(r.body); }));
  });
}

}  // namespace asterstair::cloud
