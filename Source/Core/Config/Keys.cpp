#include "Config/Keys.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::config {

namespace {

using nlohmann::json;

constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxPrefetch = 1000;
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;  // a day
// The HTTP server of a router rejects larger bodies.
constexpr std::int64_t kMaxBodyBytes = 4'000'000;
constexpr std::int64_t kMaxQueued = 1'000'000;
constexpr std::int64_t kMaxQueuedBytes = 1'000'000'000;
constexpr double kMaxWeight = 1'000'000;

template <typename Entry>
struct KeyText {
  std::string name;
  std::string unit;
  std::string description;
};

template <typename Number>
Number FromInteger(std::int64_t value) {
  return static_cast<Number>(value);
}
template <>
std::chrono::milliseconds FromInteger(std::int64_t value) {
  return std::chrono::milliseconds(value);
}

std::int64_t ToInteger(std::chrono::milliseconds value) {
  return value.count();
}
template <typename Number>
std::int64_t ToInteger(Number value) {
  return static_cast<std::int64_t>(value);
}

// A key with an integer value: a number, a byte count or milliseconds.
template <typename Entry, typename Number>
Key<Entry> Integer(KeyText<Entry> text, std::int64_t low, std::int64_t high,
                   Number Entry::*member) {
  return {
      .name = std::move(text.name),
      .expected = absl::StrCat("an integer from ", low, " to ", high),
      .unit = std::move(text.unit),
      .description = std::move(text.description),
      .read =
          [low, high, member](const json& value, Entry& entry) {
            if (!value.is_number_integer()) return false;
            // Unsigned values above the signed range would wrap to negative
            // values.
            if (value.is_number_unsigned() &&
                value.get<std::uint64_t>() > static_cast<std::uint64_t>(high)) {
              return false;
            }
            const auto number = value.get<std::int64_t>();
            if (number < low || number > high) return false;
            entry.*member = FromInteger<Number>(number);
            return true;
          },
      .format =
          [member](const Entry& entry) {
            return absl::StrCat(ToInteger(entry.*member));
          }};
}

template <typename Entry>
Key<Entry> Boolean(KeyText<Entry> text, bool Entry::*member) {
  return {
      .name = std::move(text.name),
      .expected = "true or false",
      .description = std::move(text.description),
      .read =
          [member](const json& value, Entry& entry) {
            if (!value.is_boolean()) return false;
            entry.*member = value.get<bool>();
            return true;
          },
      .format =
          [member](const Entry& entry) { return json(entry.*member).dump(); }};
}

// A key with a string value that `parse` accepts.
template <typename Entry>
Key<Entry> String(KeyText<Entry> text, const std::string& expected,
                  std::function<bool(const std::string&, Entry&)> parse,
                  std::function<std::string(const Entry&)> format) {
  return {
      .name = std::move(text.name),
      .expected = expected,
      .unit = std::move(text.unit),
      .description = std::move(text.description),
      .read =
          [parse = std::move(parse)](const json& value, Entry& entry) {
            return value.is_string() &&
                   parse(value.get_ref<const std::string&>(), entry);
          },
      .format = [format = std::move(format)](
                    const Entry& entry) { return json(format(entry)).dump(); }};
}

bool ParsePoolType(const std::string& text, PoolConfig& pool) {
  if (text != "model" && text != "plain") return false;
  pool.type = text == "model" ? PoolType::kModel : PoolType::kPlain;
  return true;
}

constexpr std::string_view kUrgencyNames[] = {"background", "normal", "urgent"};

bool ParseUrgency(const std::string& text, KindConfig& kind) {
  const auto* it = std::find(std::begin(kUrgencyNames), std::end(kUrgencyNames),
                             std::string_view(text));
  if (it == std::end(kUrgencyNames)) return false;
  kind.urgency = static_cast<common::Urgency>(it - std::begin(kUrgencyNames));
  return true;
}

bool ParseCredential(const std::string& text, WorkspaceConfig& workspace) {
  constexpr std::size_t kSha256Digits = 64;
  const bool valid =
      text.size() == kSha256Digits &&
      std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isxdigit(static_cast<unsigned char>(c));
      });
  if (valid) workspace.credential_sha256 = absl::AsciiStrToLower(text);
  return valid;
}

bool ReadWeight(const json& value, WorkspaceConfig& workspace) {
  if (!value.is_number()) return false;
  const double weight = value.get<double>();
  if (!(weight > 0 && weight <= kMaxWeight)) return false;
  workspace.weight = weight;
  return true;
}

bool ReadKinds(const json& value, WorkspaceConfig& workspace) {
  if (!value.is_array() || value.empty()) return false;
  std::set<common::KindName> kinds;
  for (const json& it : value) {
    if (!it.is_string()) return false;
    kinds.emplace(it.get<std::string>());
  }
  workspace.kinds = std::move(kinds);
  return true;
}

template <typename Entry>
std::string MarkdownTable(const Keys<Entry>& keys) {
  std::string table =
      "| key | expected | default | unit | meaning |\n|---|---|---|---|---|\n";
  for (const Key<Entry>& it : keys) {
    const std::string default_value =
        it.required ? "required" : absl::StrCat("`", it.format(Entry()), "`");
    absl::StrAppend(&table, "| `", it.name, "` | ", it.expected, " | ",
                    default_value, " | ", it.unit, " | ", it.description,
                    " |\n");
  }
  return table;
}

}  // namespace

const Keys<PoolConfig>& PoolKeys() {
  using Entry = KeyText<PoolConfig>;
  static const Keys<PoolConfig> keys = {
      String<PoolConfig>(
          Entry{"type", "", "streaming engines or plain services"},
          "\"model\" or \"plain\"", ParsePoolType,
          [](const PoolConfig& it) -> std::string {
            return it.type == PoolType::kModel ? "model" : "plain";
          }),
      Integer(Entry{"initial_slots", "requests",
                    "slots of an upstream before its limit was measured"},
              1, kMaxSlots, &PoolConfig::initial_slots),
      Integer(
          Entry{"min_slots", "requests", "lower bound of the measured limit"},
          1, kMaxSlots, &PoolConfig::min_slots),
      Integer(
          Entry{"max_slots", "requests", "upper bound of the measured limit"},
          1, kMaxSlots, &PoolConfig::max_slots),
      Integer(Entry{"prefetch", "requests",
                    "requests that an agent accepts beyond its slots"},
              0, kMaxPrefetch, &PoolConfig::prefetch)};
  return keys;
}

const Keys<KindConfig>& KindKeys() {
  using Entry = KeyText<KindConfig>;
  static const Keys<KindConfig> keys = [] {
    Key<KindConfig> pool = String<KindConfig>(
        Entry{"pool", "", "pool that runs this kind"}, "a name in \"pools\"",
        [](const std::string& text, KindConfig& kind) {
          kind.pool = common::PoolName(text);
          return !text.empty();
        },
        [](const KindConfig& it) { return it.pool.value; });
    pool.required = true;
    const Key<KindConfig> idempotent = Boolean(
        Entry{"idempotent", "", "whether a request may run more than once"},
        &KindConfig::idempotent);
    return Keys<KindConfig>{
        pool,
        String<KindConfig>(
            Entry{"urgency", "", "share within a workspace, 8 : 4 : 1"},
            R"("urgent", "normal" or "background")", ParseUrgency,
            [](const KindConfig& it) {
              return std::string(
                  kUrgencyNames[static_cast<std::size_t>(it.urgency)]);
            }),
        idempotent,
        String<KindConfig>(
            Entry{"upstream_path", "", "path of the call at the upstream"},
            "a path that starts with \"/\"",
            [](const std::string& text, KindConfig& kind) {
              kind.upstream_path = text;
              return !text.empty() && text.front() == '/';
            },
            [](const KindConfig& it) { return it.upstream_path; }),
        Integer(Entry{"default_deadline_ms", "milliseconds",
                      "deadline of a request that names none"},
                1, kMaxDeadlineMs, &KindConfig::default_deadline),
        Integer(Entry{"max_deadline_ms", "milliseconds",
                      "longest deadline that a caller may ask for"},
                1, kMaxDeadlineMs, &KindConfig::max_deadline),
        Integer(Entry{"max_body_bytes", "bytes", "largest request body"}, 1,
                kMaxBodyBytes, &KindConfig::max_body_bytes),
        Integer(Entry{"max_queued", "requests",
                      "queue limit per router, workspace and kind"},
                1, kMaxQueued, &KindConfig::max_queued),
        Integer(Entry{"max_queued_bytes", "bytes",
                      "queue limit per router, workspace and kind"},
                1, kMaxQueuedBytes, &KindConfig::max_queued_bytes)};
  }();
  return keys;
}

const Keys<WorkspaceConfig>& WorkspaceKeys() {
  using Entry = KeyText<WorkspaceConfig>;
  static const Keys<WorkspaceConfig> keys = {
      {.name = "weight",
       .expected = "a number above 0, at most 1000000",
       .description = "share of the capacity relative to other workspaces",
       .read = ReadWeight,
       .format =
           [](const WorkspaceConfig& it) { return json(it.weight).dump(); }},
      String<WorkspaceConfig>(
          Entry{"credential_sha256", "",
                "SHA-256 of the credential; required unless the workspace is "
                "open"},
          "64 hexadecimal digits", ParseCredential,
          [](const WorkspaceConfig& it) { return it.credential_sha256; }),
      Boolean(Entry{"open", "", "whether requests need no credential"},
              &WorkspaceConfig::open),
      {.name = "kinds",
       .expected = "a list of names in \"kinds\"",
       .description = "kinds that the workspace may use",
       .required = true,
       .read = ReadKinds,
       .format = [](const WorkspaceConfig&) { return std::string("[]"); }}};
  return keys;
}

std::string ReferenceTable(std::string_view section) {
  if (section == "pools") return MarkdownTable(PoolKeys());
  if (section == "kinds") return MarkdownTable(KindKeys());
  if (section == "workspaces") return MarkdownTable(WorkspaceKeys());
  return "";
}

}  // namespace shallotbeam::config
