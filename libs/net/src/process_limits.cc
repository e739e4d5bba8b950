#include "quincebank/net/process_limits.h"

namespace quincebank {

process_limits ReadProcessLimits(json_reader& reader) {
  constexpr int_range kMegabytes{64, 1'048'576};
  constexpr int_range kDescriptors{64, 10'000'000};
  process_limits limits;
  if (!reader.Has("limits"))
    return limits;
  reader.Child("limits", [&](json_reader& child) {
    if (child.Has("memory_mb"))
      limits.memory_mb = static_cast<std::size_t>(child.Int("memory_mb", kMegabytes));
    if (child.Has("descriptors"))
      limits.descriptors = static_cast<std::size_t>(child.Int("descriptors", kDescriptors));
    child.Finish();
  });
  return limits;
}

}  // namespace quincebank
