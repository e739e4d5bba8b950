#pragma once

#include <string_view>

namespace quincebank {

// Fields between callers, entries and agents.
inline constexpr std::string_view kWorkspaceField = "Quincebank-Workspace";
inline constexpr std::string_view kPriorityField = "Quincebank-Priority";
inline constexpr std::string_view kDeadlineField = "Quincebank-Deadline-Ms";
inline constexpr std::string_view kVerdictField = "Quincebank-Verdict";
inline constexpr std::string_view kRequestField = "Quincebank-Request";
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
inline constexpr std::string_view kFirstSendField = "Quincebank-First-Send";
inline constexpr std::string_view kLastEventIdField = "Last-Event-ID";
inline constexpr std::string_view kRetryAfterField = "Retry-After";

// Fields between entries and agents only.
inline constexpr std::string_view kAttemptField = "Quincebank-Attempt";
inline constexpr std::string_view kIncarnationField = "Quincebank-Incarnation";
inline constexpr std::string_view kConfigVersionField = "Quincebank-Config-Version";
inline constexpr std::string_view kRepeatableField = "Quincebank-Repeatable";
/// "true" on the second copy of a slow request, which an agent starts at once or refuses.
inline constexpr std::string_view kHedgeField = "Quincebank-Hedge";
inline constexpr std::string_view kServiceField = "Quincebank-Service";
inline constexpr std::string_view kLoadField = "Quincebank-Load";

}  // namespace quincebank
