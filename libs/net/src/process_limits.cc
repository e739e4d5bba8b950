#include "quincebank/net/process_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <limits>

#include "quincebank/net/memory_budget.h"

namespace quincebank {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
// Memory that a gateway uses without any client: 20 to 60 MB.
constexpr std::size_t kOwnMegabytes = 64;
// The budget is half of the rest. The other half is for connections: stacks of fibers, heads of
// requests and buffers of sockets.
constexpr std::size_t kBudgetDivisor = 2;
constexpr std::size_t kMinBudget = 8 * kMegabyte;
// An idle connection takes about 24 KB, so that these take a fifth of the memory.
constexpr std::size_t kConnectionsPerMegabyte = 8;
// Part of the descriptors for connections of clients, in percent. The others are for upstreams,
// store and peers.
constexpr std::size_t kConnectionShare = 60;
// A process with one server leaves half of the connections to calls that it makes.
constexpr std::size_t kOnlyServerDivisor = 2;
// Blocks from this size, such as bodies and stacks, are returned to the system when they are freed.
// The allocator's default threshold grows with the blocks that are freed.
constexpr int kLargeBlock = 64 * 1024;
// The system's default grows to several megabytes for a connection that is not read.
constexpr std::size_t kSocketBufferBytes = std::size_t{64} * 1024;

}  // namespace

process_limits ReadProcessLimits(json_reader& reader) {
  constexpr int_range kMegabytes{64, 1'048'576};
  constexpr int_range kDescriptors{64, 10'000'000};
  process_limits limits;
  if (!reader.Has("limits"))
    return limits;
  reader.Child("limits", [&](json_reader& child) {
    if (child.Has("memory_mb"))
      limits.memory_mb = static_cast<std::size_t>(child.RoundedInt("memory_mb", kMegabytes, 0));
    if (child.Has("descriptors"))
      limits.descriptors =
          static_cast<std::size_t>(child.RoundedInt("descriptors", kDescriptors, 0));
    child.Finish();
  });
  return limits;
}

void ApplyMemoryLimit(const process_limits& limits) {
  (void)::mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  if (limits.memory_mb == 0)
    return;
  const std::size_t rest = std::max(limits.memory_mb, kOwnMegabytes) - kOwnMegabytes;
  memory_budget::OfProcess().SetLimit(std::max(rest * kMegabyte / kBudgetDivisor, kMinBudget));
}

std::size_t MaxConnections(const process_limits& limits) {
  std::size_t descriptors = limits.descriptors;
  rlimit system{};
  if (descriptors == 0 && ::getrlimit(RLIMIT_NOFILE, &system) == 0)
    descriptors = static_cast<std::size_t>(
        std::min<rlim_t>(system.rlim_cur, std::numeric_limits<std::size_t>::max() / 100));
  std::size_t connections = descriptors * kConnectionShare / 100;
  if (limits.memory_mb != 0)
    connections = std::min(connections, limits.memory_mb * kConnectionsPerMegabyte);
  return connections;
}

http_limits OnlyServerLimits(const process_limits& limits, std::size_t body_copies) {
  http_limits server;
  server.body_copies = body_copies;
  server.connections = MaxConnections(limits) / kOnlyServerDivisor;
  server.socket_buffer_bytes = SocketBufferBytes(limits);
  return server;
}

std::size_t SocketBufferBytes(const process_limits& limits) {
  return limits.memory_mb == 0 ? 0 : kSocketBufferBytes;
}

}  // namespace quincebank
