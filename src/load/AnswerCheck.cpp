#include "load/AnswerCheck.h"

#include <boost/json.hpp>
#include <charconv>
#include <set>

namespace foxtail {

namespace json = boost::json;

namespace {

// What an answer's members say, collected before they are compared.
struct AnswerParts
{
  const json::object* snapshot_ = nullptr;
  const json::object* coverage_ = nullptr;
  const json::array* results_ = nullptr;
};

const json::value* Member(const json::object& aObject, std::string_view aName)
{
  return aObject.if_contains(aName);
}

uint64_t NumberOf(const json::object& aObject, std::string_view aName)
{
  const json::value* value = Member(aObject, aName);
  json::error_code error;
  const auto number = value == nullptr ? 0 : value->to_number<uint64_t>(error);
  return error ? 0 : number;
}

std::string_view TextOf(const json::object& aObject, std::string_view aName)
{
  const json::value* value = Member(aObject, aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return { value->get_string().data(), value->get_string().size() };
}

LoadOutcome RefusalOutcome(const HttpResponse& aResponse)
{
  const std::string_view outcome = HeaderOf(aResponse, "Foxtail-Outcome");
  if (outcome == "not_run") {
    return LoadOutcome::NotRun;
  }
  return outcome == "unknown" ? LoadOutcome::Unknown : LoadOutcome::Malformed;
}

bool FindParts(const json::object& aAnswer, AnswerParts& aParts)
{
  const json::value* snapshot = Member(aAnswer, "snapshot");
  const json::value* coverage = Member(aAnswer, "coverage");
  const json::value* results = Member(aAnswer, "results");
  if (snapshot == nullptr || coverage == nullptr || results == nullptr) {
    return false;
  }
  aParts = { snapshot->if_object(),
             coverage->if_object(),
             results->if_array() };
  return aParts.snapshot_ != nullptr && aParts.coverage_ != nullptr &&
         aParts.results_ != nullptr;
}

// The version and shard count that the snapshot states for a catalogue.
std::pair<uint64_t, uint64_t> SnapshotOf(const AnswerParts& aParts,
                                         std::string_view aCatalogue)
{
  const json::value* row = Member(*aParts.snapshot_, aCatalogue);
  if (row == nullptr || !row->is_object()) {
    return {};
  }
  return { NumberOf(row->get_object(), "index_version"),
           NumberOf(row->get_object(), "shards") };
}

void CheckResults(const AnswerParts& aParts,
                  std::string_view aToken,
                  AnswerVerdict& aVerdict)
{
  std::set<std::pair<std::string_view, uint64_t>> seen;
  for (const json::value& row : *aParts.results_) {
    const json::object* result = row.if_object();
    const json::value* body =
      result == nullptr ? nullptr : Member(*result, "result");
    if (body == nullptr || !body->is_object()) {
      aVerdict.isWrong_ = true;
      continue;
    }
    const std::string_view catalogue = TextOf(*result, "catalogue");
    const uint64_t shard = NumberOf(*result, "shard");
    const auto [version, shards] = SnapshotOf(aParts, catalogue);
    const json::object& inner = body->get_object();
    aVerdict.isMixed_ |= NumberOf(inner, "version") != version;
    aVerdict.isWrong_ |= TextOf(inner, "echo") != aToken ||
                         TextOf(inner, "catalogue") != catalogue ||
                         NumberOf(inner, "shard") != shard || shard >= shards;
    aVerdict.isCoverageFalse_ |= !seen.insert({ catalogue, shard }).second;
  }
}

void CheckCoverage(const AnswerParts& aParts, AnswerVerdict& aVerdict)
{
  const json::object& coverage = *aParts.coverage_;
  aVerdict.shardsAsked_ = NumberOf(coverage, "asked");
  aVerdict.shardsAnswered_ = NumberOf(coverage, "answered");
  uint64_t missing = 0;
  if (const json::value* rows = Member(coverage, "missing")) {
    for (const json::value& row : rows->as_array()) {
      ++missing;
      std::string reason(TextOf(row.as_object(), "reason"));
      const std::string_view fault = TextOf(row.as_object(), "last_fault");
      if (!fault.empty()) {
        reason += "/" + std::string(fault);
      }
      ++aVerdict.missing_[reason];
    }
  }
  // Every shard of the snapshot must be asked for.
  uint64_t inSnapshot = 0;
  for (const auto& row : *aParts.snapshot_) {
    inSnapshot += SnapshotOf(aParts, row.key()).second;
  }
  const bool isTrue =
    aVerdict.shardsAnswered_ == aParts.results_->size() &&
    aVerdict.shardsAsked_ == aVerdict.shardsAnswered_ + missing &&
    aVerdict.shardsAsked_ >= inSnapshot;
  aVerdict.isCoverageFalse_ |= !isTrue;
}

void ReadSlowestShard(const HttpResponse& aResponse, AnswerVerdict& aVerdict)
{
  const auto text = HeaderOf(aResponse, "Foxtail-Slowest-Shard-Us");
  uint64_t micros = 0;
  const char* end = text.data() + text.size();
  if (!text.empty() && std::from_chars(text.data(), end, micros).ptr == end) {
    aVerdict.slowestShardUs_ = micros;
  }
}

} // namespace

AnswerVerdict CheckQueryAnswer(const HttpResponse& aResponse,
                               std::string_view aToken)
{
  AnswerVerdict verdict;
  if (aResponse.result() != HttpStatus::ok) {
    verdict.outcome_ = RefusalOutcome(aResponse);
    return verdict;
  }
  json::monotonic_resource memory;
  json::error_code error;
  const json::value answer = json::parse(aResponse.body(), error, &memory);
  AnswerParts parts;
  if (error || !answer.is_object() || !FindParts(answer.get_object(), parts)) {
    return verdict;
  }
  CheckResults(parts, aToken, verdict);
  CheckCoverage(parts, verdict);
  ReadSlowestShard(aResponse, verdict);
  verdict.snapshot_ = json::serialize(*parts.snapshot_);
  verdict.outcome_ = verdict.shardsAnswered_ == verdict.shardsAsked_
                       ? LoadOutcome::Whole
                       : LoadOutcome::Partial;
  return verdict;
}

AnswerVerdict CheckActionAnswer(const HttpResponse& aResponse,
                                std::string_view aToken)
{
  AnswerVerdict verdict;
  if (aResponse.result() != HttpStatus::ok) {
    verdict.outcome_ = RefusalOutcome(aResponse);
    return verdict;
  }
  json::error_code error;
  const json::value answer = json::parse(aResponse.body(), error);
  if (error || !answer.is_object()) {
    return verdict;
  }
  const json::value* result = Member(answer.get_object(), "result");
  if (result == nullptr || !result->is_object()) {
    return verdict;
  }
  verdict.isWrong_ = TextOf(result->get_object(), "echo") != aToken;
  verdict.shardsAsked_ = 1;
  verdict.shardsAnswered_ = 1;
  verdict.outcome_ = LoadOutcome::Whole;
  return verdict;
}

} // namespace foxtail
