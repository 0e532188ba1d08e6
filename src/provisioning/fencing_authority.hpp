#pragma once
// On whose strength machines are rented and returned.

#include <cstdint>
#include <vector>

#include "wire/state.hpp"

namespace asterstair::provisioning {

class FencingAuthority {
 public:
  virtual ~FencingAuthority() = default;
  // Whether orders may be sent to the cloud now.
  virtual bool lease_valid() const = 0;
  // Whether an operator has asked that nothing new is begun.
  virtual bool paused() const = 0;
  // The fencing token; operations are named after it.
  virtual std::uint64_t token() const = 0;
  // Whether the token is offered to the cloud with each order.
  virtual bool offers_token() const = 0;
  // The conditions that every write to the operation log carries.
  virtual std::vector<wire::Condition> guards() const = 0;
  // Asks for a new token, so that writes under this one fail from then on.
  virtual void renew_token() = 0;
};

}  // namespace asterstair::provisioning
