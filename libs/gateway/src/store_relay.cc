#include "quincebank/gateway/store_relay.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/membership/rendezvous.h"

namespace quincebank {
namespace {

namespace json = boost::json;

// Two, so that no other entry has to read the store when one reader is lost.
constexpr std::size_t kReadersPerDomain = 2;
// Prefix of the hashed key, so that readers are selected independently of other rendezvous
// selections among the same entries.
constexpr std::string_view kReaderScorePrefix = "store-reader/";
// A reader announces itself several times within the announcement expiry. A watch confirms its view
// at least once a second, which is well within the confirmation expiry.
constexpr milliseconds kAnnouncementExpiry{1'300};
constexpr milliseconds kConfirmationExpiry{2'000};

}  // namespace

std::string Encode(const revision_announcement& announcement) {
  json::array payload{announcement.reader, announcement.revision, announcement.age.count()};
  // Entries of earlier versions accept only three elements.
  if (announcement.era != 0)
    payload.emplace_back(announcement.era);
  return json::serialize(payload);
}

result<revision_announcement> DecodeAnnouncement(std::string_view payload) {
  BOOST_OUTCOME_TRY(const json::value document, ParseJson(payload));
  const json::array* const array = document.if_array();
  const auto is_count = [](const json::value& value) {
    return value.is_int64() && value.get_int64() >= 0;
  };
  if (array == nullptr || (array->size() != 3 && array->size() != 4) || !(*array)[0].is_string() ||
      !std::all_of(array->begin() + 1, array->end(), is_count))
    return MakeError(error_code::kInvalidArgument,
                     "expected an array of a reader name, a revision, an age in ms and an era");
  return revision_announcement{
      std::string((*array)[0].get_string()), static_cast<std::uint64_t>((*array)[1].get_int64()),
      milliseconds((*array)[2].get_int64()),
      array->size() == 4 ? static_cast<std::uint64_t>((*array)[3].get_int64()) : 0};
}

std::vector<std::string> SelectStoreReaders(std::string_view failure_domain,
                                            std::span<const entry_record> entries) {
  std::vector<std::string> names;
  for (const entry_record& entry : entries) {
    if (entry.failure_domain == failure_domain)
      names.push_back(entry.name);
  }
  std::vector<std::string> readers;
  for (const std::uint32_t chosen : RendezvousOrder(
           std::string(kReaderScorePrefix) + std::string(failure_domain), names, kReadersPerDomain))
    readers.push_back(names[chosen]);
  return readers;
}

void store_reader_tracker::OnAnnouncement(const revision_announcement& announcement,
                                          time_point now) {
  reader_state& reader = readers_[announcement.reader];
  // A datagram from before a restore of the store may arrive after one from after it.
  if (announcement.era < reader.position.era)
    return;
  reader.position = std::max(reader.position, announcement.position());
  reader.confirmed_at = now - announcement.age;
  reader.received_at = now;
  std::erase_if(readers_, [&](const auto& item) { return !IsLive(item.second, now); });
}

void store_reader_tracker::OnReadFailure(std::string_view reader) {
  const auto found = readers_.find(reader);
  if (found != readers_.end())
    readers_.erase(found);
}

bool store_reader_tracker::IsLive(const reader_state& reader, time_point now) {
  return now - reader.received_at < kAnnouncementExpiry &&
         now - reader.confirmed_at < kConfirmationExpiry;
}

bool store_reader_tracker::HasLiveReader(time_point now, std::uint64_t era) const {
  for (const auto& [name, reader] : readers_) {
    if (IsLive(reader, now) && reader.position.era >= era)
      return true;
  }
  return false;
}

std::optional<std::string> store_reader_tracker::ReaderAheadOf(store_position position,
                                                               time_point now) const {
  std::optional<std::string> newest;
  for (const auto& [name, reader] : readers_) {
    if (!IsLive(reader, now) || reader.position <= position)
      continue;
    position = reader.position;
    newest = name;
  }
  return newest;
}

}  // namespace quincebank
