#include "provisioning/admin_commands.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

#include "store/records.hpp"

namespace asterstair::provisioning {
namespace {

constexpr const char* kNoAnswer = "the state service does not answer";
constexpr const char* kNoHolder = "nobody holds the provisioning lease";

// Returns the item with exactly this key, or nullptr. A list by prefix may contain other keys.
const wire::Item* find_item(const std::vector<wire::Item>& items, const std::string& key) {
  const auto it =
      std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.key == key; });
  return it == items.end() ? nullptr : &*it;
}

std::uint64_t version_of(const wire::Item* item) { return item == nullptr ? 0 : item->version; }

std::string describe_operation(const wire::Item& item) {
  const auto operation = decode_operation(item.key, *item.value);
  return fmt::format("{} {}: {}, by {} with token {}", operation.name, to_string(operation.state),
                     describe(operation), operation.holder, operation.token);
}

std::string describe_holder(const wire::Item* item) {
  if (item == nullptr) return kNoHolder;
  const auto record = store::decode_holder(*item->value);
  return fmt::format("held by {} with token {}", record.node, item->version);
}

std::string describe_control(const wire::Item* item) {
  const auto control = item == nullptr ? ControlRecord{} : decode_control(*item->value);
  return control.paused ? "paused: no operation begins" : "in service";
}

std::string describe_orphans(const wire::Item& item) {
  std::string text = "orphaned instances:";
  for (const auto& orphan : decode_orphans(*item.value)) {
    text += fmt::format(" {} ({})", orphan.machine, to_string(orphan.state));
  }
  return text;
}

std::string describe_error(const std::string& key, const wire::DecodeError& error) {
  return fmt::format("{} cannot be read: {}", key, error.what());
}

// Returns the text from `describe`, or the error's text if it throws wire::DecodeError.
template <typename Describe>
std::string description_or_error(const std::string& key, Describe describe) {
  try {
    return describe();
  } catch (const wire::DecodeError& error) {
    return describe_error(key, error);
  }
}

}  // namespace

void AdminCommands::read(const std::function<void(bool ok, const Snapshot&)>& done) {
  auto snapshot = std::make_shared<Snapshot>();
  auto pending_lists = std::make_shared<int>(4);
  auto ok = std::make_shared<bool>(true);
  const auto list = [&](const char* prefix, std::vector<wire::Item> Snapshot::*part) {
    store_.list(prefix, [snapshot, pending_lists, ok, part, done](const store::ListResult& result) {
      *ok = *ok && result.ok;
      (*snapshot).*part = result.items;
      if (--*pending_lists == 0) done(*ok, *snapshot);
    });
  };
  list(kLeaseKey, &Snapshot::lease);
  list(kControlKey, &Snapshot::control);
  list(kOperationPrefix, &Snapshot::operations);
  list(kOrphansKey, &Snapshot::orphans);
}

void AdminCommands::show(const Done& done) {
  read([done](bool ok, const Snapshot& snapshot) {
    if (!ok) {
      done(false, {kNoAnswer});
      return;
    }
    done(true, describe(snapshot));
  });
}

std::vector<std::string> AdminCommands::describe(const Snapshot& snapshot) {
  std::vector<std::string> lines;
  lines.push_back(description_or_error(
      kLeaseKey, [&] { return describe_holder(find_item(snapshot.lease, kLeaseKey)); }));
  lines.push_back(description_or_error(
      kControlKey, [&] { return describe_control(find_item(snapshot.control, kControlKey)); }));
  for (const auto& item : snapshot.operations) {
    lines.push_back(description_or_error(item.key, [&] { return describe_operation(item); }));
  }
  if (const auto* item = find_item(snapshot.orphans, kOrphansKey)) {
    lines.push_back(description_or_error(item->key, [&] { return describe_orphans(*item); }));
  }
  return lines;
}

void AdminCommands::write_control(const ControlRecord& control, std::uint64_t version,
                                  const Done& done) {
  wire::Txn txn;
  txn.conditions.push_back({kControlKey, version});
  txn.changes.push_back({kControlKey, encode_control(control)});
  store_.write(std::move(txn), store::Urgency::User, [done](const store::WriteResult& result) {
    const bool committed = result.outcome == store::WriteOutcome::Committed;
    done(committed, {committed ? "requested; the holder reads requests every 5 s"
                               : "not requested, or the outcome is unknown"});
  });
}

// Also replaces a control record that cannot be decoded, which would keep the holder paused.
void AdminCommands::pause(bool paused, const Done& done) {
  read([this, paused, done](bool ok, const Snapshot& snapshot) {
    if (!ok) {
      done(false, {kNoAnswer});
      return;
    }
    write_control({paused, 0}, version_of(find_item(snapshot.control, kControlKey)), done);
  });
}

void AdminCommands::hand_over(const Done& done) {
  read([this, done](bool ok, const Snapshot& snapshot) {
    const auto* lease = find_item(snapshot.lease, kLeaseKey);
    if (!ok || lease == nullptr) {
      done(false, {ok ? kNoHolder : kNoAnswer});
      return;
    }
    const auto* item = find_item(snapshot.control, kControlKey);
    ControlRecord control;
    try {
      if (item != nullptr) control = decode_control(*item->value);
    } catch (const wire::DecodeError& error) {
      done(false, {describe_error(kControlKey, error)});
      return;
    }
    control.hand_over_from = lease->version;
    write_control(control, version_of(item), done);
  });
}

}  // namespace asterstair::provisioning
