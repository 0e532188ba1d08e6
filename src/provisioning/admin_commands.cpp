#include "provisioning/admin_commands.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

#include "store/records.hpp"

namespace asterstair::provisioning {
namespace {

constexpr const char* kNoAnswer = "the state service does not answer";

// The item with just this key: a list by prefix may hold others.
const wire::Item* find(const std::vector<wire::Item>& items, const std::string& key) {
  const auto it =
      std::find_if(items.begin(), items.end(), [&](const auto& i) { return i.key == key; });
  return it == items.end() ? nullptr : &*it;
}

std::string describe(const Operation& o) {
  if (o.kind == OperationKind::Rent) {
    return fmt::format("{} {}: rent {} of {} {} in {}, granted {}, by {} with token {}", o.name,
                       word(o.state), o.rental.count, o.rental.spot ? "spot" : "ordinary",
                       o.rental.type, o.rental.zone, o.machines.size(), o.holder, o.token);
  }
  std::string machines;
  for (const auto& [machine, reason] : o.returns) {
    machines += fmt::format(" {} ({})", machine, word(reason));
  }
  return fmt::format("{} {}: return{}, by {} with token {}", o.name, word(o.state), machines,
                     o.holder, o.token);
}

std::string describe_holder(const wire::Item* item) {
  if (item == nullptr) return "nobody holds the duty";
  const auto record = store::decode_holder(*item->value);
  return fmt::format("held by {} with token {}", record.node, item->version);
}

std::string describe_control(const wire::Item* item) {
  const Control control = item == nullptr ? Control{} : decode_control(*item->value);
  return fmt::format("{}", control.paused ? "paused: nothing new is begun" : "in service");
}

template <typename Describe>
std::string described(const std::string& key, Describe describe) {
  try {
    return describe();
  } catch (const wire::DecodeError& e) {
    return fmt::format("{} cannot be read: {}", key, e.what());
  }
}

}  // namespace

void AdminCommands::read(const std::function<void(bool ok, const State&)>& done) {
  auto state = std::make_shared<State>();
  auto left = std::make_shared<int>(4);
  auto ok = std::make_shared<bool>(true);
  const auto list = [&](const char* prefix, std::vector<wire::Item> State::*part) {
    store_.list(prefix, [state, left, ok, part, done](const store::ListResult& r) {
      *ok = *ok && r.ok;
      (*state).*part = r.items;
      if (--*left == 0) done(*ok, *state);
    });
  };
  list(kLeaseKey, &State::lease);
  list(kControlKey, &State::control);
  list(kOperationPrefix, &State::operation_log);
  list(kOrphansKey, &State::orphans);
}

void AdminCommands::show(const Done& done) {
  read([done](bool ok, const State& state) {
    if (!ok) {
      done(false, {kNoAnswer});
      return;
    }
    std::vector<std::string> lines;
    lines.push_back(
        described(kLeaseKey, [&] { return describe_holder(find(state.lease, kLeaseKey)); }));
    lines.push_back(
        described(kControlKey, [&] { return describe_control(find(state.control, kControlKey)); }));
    for (const auto& item : state.operation_log) {
      lines.push_back(
          described(item.key, [&] { return describe(decode_operation(item.key, *item.value)); }));
    }
    if (const auto* item = find(state.orphans, kOrphansKey)) {
      lines.push_back(described(item->key, [&] {
        std::string text = "machines nobody accounted for:";
        for (const auto& o : decode_orphans(*item->value)) {
          text += fmt::format(" {} ({})", o.machine, word(o.state));
        }
        return text;
      }));
    }
    done(true, lines);
  });
}

void AdminCommands::write_control(const Control& control, std::uint64_t version, const Done& done) {
  wire::Txn txn;
  txn.conditions.push_back({kControlKey, version});
  txn.changes.push_back({kControlKey, encode_control(control)});
  store_.write(std::move(txn), store::Urgency::User, [done](const store::WriteResult& r) {
    const bool committed = r.outcome == store::WriteOutcome::Committed;
    done(committed,
         {committed ? "asked for; the holder looks every 5 s" : "not done, or not known"});
  });
}

// A record that cannot be read is replaced: it pauses the provisioning lease until it is.
void AdminCommands::pause(bool paused, const Done& done) {
  read([this, paused, done](bool ok, const State& state) {
    if (!ok) {
      done(false, {kNoAnswer});
      return;
    }
    const auto* item = find(state.control, kControlKey);
    write_control({paused, 0}, item == nullptr ? 0 : item->version, done);
  });
}

void AdminCommands::hand_over(const Done& done) {
  read([this, done](bool ok, const State& state) {
    const auto* lease = find(state.lease, kLeaseKey);
    if (!ok || lease == nullptr) {
      done(false, {ok ? "nobody holds the duty" : kNoAnswer});
      return;
    }
    const auto* item = find(state.control, kControlKey);
    Control control;
    try {
      if (item != nullptr) control = decode_control(*item->value);
    } catch (const wire::DecodeError& e) {
      done(false, {fmt::format("{} cannot be read: {}", kControlKey, e.what())});
      return;
    }
    control.hand_over_from = lease->version;
    write_control(control, item == nullptr ? 0 : item->version, done);
  });
}

}  // namespace asterstair::provisioning
