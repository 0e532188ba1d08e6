#pragma once
/// @file
/// Interface through which operations are fenced. Implemented by ProvisioningController; used by
/// OperationRunner and StoredOperationLog.

#include <cstdint>
#include <vector>

#include "wire/state.hpp"

namespace asterstair::provisioning {

/// Answers whether, and under which fencing token, machines may be rented and returned.
class FencingAuthority {
 public:
  virtual ~FencingAuthority() = default;
  /// Whether this node's lease is valid, so that requests may be sent to the cloud now.
  virtual bool lease_valid() const = 0;
  /// Whether an administrator has paused provisioning: no new operation may begin.
  virtual bool paused() const = 0;
  /// The fencing token. Operations are named after it.
  virtual std::uint64_t token() const = 0;
  /// Whether requests to the cloud carry the fencing token.
  virtual bool offers_token() const = 0;
  /// Conditions of every write to the operation log. They fail once this node's token is outdated.
  virtual std::vector<wire::Condition> guards() const = 0;
  /// Requests a new token. All unanswered writes under the present one fail from then on.
  virtual void renew_token() = 0;
};

}  // namespace asterstair::provisioning
