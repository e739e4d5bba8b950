#include "quincebank/base/random.h"

#include <random>

namespace quincebank {

random_source random_source::FromSystem() {
  std::random_device device;
  const auto high = static_cast<std::uint64_t>(device());
  return random_source((high << 32U) | device());
}

}  // namespace quincebank
