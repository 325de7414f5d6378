#include "sidecar/member_directory.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/json.h"
#include "logging/log.h"

namespace oleandertide::sidecar {
namespace {

using logging::Level;
using nlohmann::json;

constexpr std::string_view kTable = "oleandertide-nodes";

// Pause after a failure: short, since a node without others serves nobody, and
// spread, since all nodes may have lost the store together.
constexpr Duration kShortestPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::milliseconds(500);

// All nodes of a system that starts have written their rows by then.
constexpr Duration kFirstStartDelay = std::chrono::milliseconds(1500);

std::string EncodeMember(const NodeIdentity& node) {
  return json{{"address", node.address.ToString()},
              {"data-centre", node.data_centre},
              {"service", node.service},
              {"link-mbps", node.link_mbps}}
      .dump();
}

// An error for a row that names no node that could be reached.
Result<NodeIdentity> DecodeMember(const platform::Row& row) {
  constexpr std::int64_t kMaxLinkMbps =
      std::numeric_limits<std::uint32_t>::max();
  const auto value = ParseJson(row.value);
  if (!value || row.is_damaged) return Error::kDataDamaged;
  OLEANDERTIDE_TRY(address, ReadText(*value, "address"));
  OLEANDERTIDE_TRY(data_centre, ReadText(*value, "data-centre"));
  OLEANDERTIDE_TRY(service, ReadText(*value, "service"));
  OLEANDERTIDE_TRY(link_mbps,
                   ReadInteger(*value, "link-mbps", 1, kMaxLinkMbps));
  return NodeIdentity::Create(
      {.name = row.key,
       .data_centre = data_centre,
       .address = address,
       .service = service,
       .link_mbps = static_cast<std::uint32_t>(link_mbps)});
}

}  // namespace

MemberDirectory::MemberDirectory(EventLoop& loop, StoreClient& store,
                                 RandomSource& random, NodeIdentity self,
                                 bool is_first_start, OnMember on_member)
    : store_(store),
      random_(random),
      self_(std::move(self)),
      on_member_(std::move(on_member)),
      is_first_start_(is_first_start),
      timer_(loop) {}

void MemberDirectory::Start() {
  is_own_row_seen_ = false;
  own_value_.clear();
  own_version_ = 0;
  if (std::exchange(is_first_start_, false)) {
    waits_for_others_ = true;
    Write();
    return;
  }
  Read({});
}

void MemberDirectory::Read(std::string_view first_key) {
  store_.ReadRows(kTable, first_key,
                  [this, first = std::string(first_key)](const auto& rows) {
                    OnRows(first, rows);
                  });
}

void MemberDirectory::OnRows(const std::string& first_key,
                             const Result<platform::RowList>& rows) {
  if (!rows) {
    logging::Log(Level::kWarning, "members", "read failed",
                 {{"error", rows.error().message()}});
    StartAfter(random_.Between(kShortestPause, kLongestPause));
    return;
  }
  for (const platform::Row& row : rows.value().rows) {
    if (row.key == self_.name) {
      is_own_row_seen_ = true;
      own_value_ = row.value;
      own_version_ = row.version;
      continue;
    }
    // A further answer begins with the last row of the one before.
    if (row.key == first_key) continue;
    if (const auto member = DecodeMember(row)) {
      on_member_(member.value());
    } else {
      logging::Log(Level::kWarning, "members", "row is not readable",
                   {{"node", row.key}});
    }
  }
  const auto& list = rows.value();
  if (list.has_more && !list.rows.empty() &&
      list.rows.back().key != first_key) {
    Read(list.rows.back().key);
    return;
  }
  if (!is_own_row_seen_ || own_value_ != EncodeMember(self_)) {
    Write();
  }
}

void MemberDirectory::Write() {
  const std::string value = EncodeMember(self_);
  store_.Write({.table = kTable,
                .key = self_.name,
                .expected_version = own_version_,
                .value = &value},
               [this](const Result<platform::WriteReceipt>& written) {
                 if (!written &&
                     written.error() != make_error_code(Error::kDataDamaged)) {
                   logging::Log(Level::kWarning, "members", "write failed",
                                {{"error", written.error().message()}});
                   StartAfter(random_.Between(kShortestPause, kLongestPause));
                   return;
                 }
                 // Those that wrote before this row are seen now; those that
                 // write later will see this row.
                 if (std::exchange(waits_for_others_, false)) {
                   StartAfter(kFirstStartDelay);
                 } else {
                   Start();
                 }
               });
}

void MemberDirectory::StartAfter(Duration delay) {
  timer_.Start(delay, [this] { Start(); });
}

}  // namespace oleandertide::sidecar
