#include "caller/QueryAnswer.h"

#include "core/Log.h"

namespace foxtail {
namespace {

constexpr size_t kResponseOverheadBytes = 1024;
constexpr size_t kResultOverheadBytes = 128;

void AppendSnapshot(std::string& aOut,
                    const std::vector<CatalogueSnapshot>& aSnapshots)
{
  aOut += R"(,"snapshot":{)";
  const char* separator = "";
  for (const CatalogueSnapshot& snapshot : aSnapshots) {
    aOut += separator;
    AppendJsonString(aOut, snapshot.catalogue_.Value());
    aOut += R"(:{"index_version":)";
    aOut += std::to_string(snapshot.layout_.version_.Value());
    aOut += R"(,"shards":)";
    aOut += std::to_string(snapshot.layout_.shardCount_);
    aOut += '}';
    separator = ",";
  }
  aOut += '}';
}

void AppendMissing(std::string& aOut, const MissingShard& aMissing)
{
  aOut += R"({"catalogue":)";
  AppendJsonString(aOut, aMissing.catalogue_.Value());
  aOut += R"(,"shard":)";
  aOut += aMissing.shard_ ? std::to_string(aMissing.shard_->Value()) : "null";
  aOut += R"(,"reason":")";
  aOut += NameOf(aMissing.reason_);
  aOut += '"';
  if (aMissing.lastFault_ != AttemptFault::None) {
    aOut += R"(,"last_fault":")";
    aOut += NameOf(aMissing.lastFault_);
    aOut += '"';
  }
  aOut += '}';
}

void AppendCoverage(std::string& aOut, const Coverage& aCoverage)
{
  aOut += R"(,"coverage":{"complete":)";
  aOut += aCoverage.IsComplete() ? "true" : "false";
  aOut += R"(,"asked":)";
  aOut += std::to_string(aCoverage.asked_);
  aOut += R"(,"answered":)";
  aOut += std::to_string(aCoverage.answered_);
  aOut += R"(,"missing":[)";
  const char* separator = "";
  for (const MissingShard& missing : aCoverage.missing_) {
    aOut += separator;
    AppendMissing(aOut, missing);
    separator = ",";
  }
  aOut += "]}";
}

void AppendResults(std::string& aOut, const QueryAnswer& aAnswer)
{
  aOut += R"(,"results":[)";
  const char* separator = "";
  for (const ShardResult& result : aAnswer.results_) {
    aOut += separator;
    aOut += R"({"catalogue":)";
    const CatalogueSnapshot& snapshot = aAnswer.snapshot_[result.catalogue_];
    AppendJsonString(aOut, snapshot.catalogue_.Value());
    aOut += R"(,"shard":)";
    aOut += std::to_string(result.shard_.Value());
    aOut += R"(,"result":)";
    aOut += result.body_;
    aOut += '}';
    separator = ",";
  }
  aOut += ']';
}

size_t EstimateBytes(const QueryAnswer& aAnswer)
{
  size_t bytes = kResponseOverheadBytes;
  for (const ShardResult& result : aAnswer.results_) {
    bytes += result.body_.size() + kResultOverheadBytes;
  }
  return bytes + (aAnswer.coverage_.missing_.size() * kResultOverheadBytes);
}

HttpStatus StatusOf(const QueryAnswer& aAnswer)
{
  switch (aAnswer.outcome_) {
    case Outcome::Run:
      return HttpStatus::ok;
    case Outcome::NotRun:
      return HttpStatus::service_unavailable;
    case Outcome::Unknown:
      break;
  }
  return HttpStatus::gateway_timeout;
}

void AppendError(std::string& aOut, const QueryAnswer& aAnswer)
{
  const bool isNotRun = aAnswer.outcome_ == Outcome::NotRun;
  aOut += R"(,"error_kind":")";
  aOut +=
    NameOf(isNotRun ? ErrorKind::Unavailable : ErrorKind::DeadlineExceeded);
  aOut += R"(","error":")";
  aOut += isNotRun ? "no shard ran the query; see coverage, and resend "
                     "later"
                   : "no shard answered; see coverage, and resend with a "
                     "longer deadline";
  aOut += '"';
}

void SetHeaders(HttpResponse& aResponse,
                const RequestId& aRequest,
                Outcome aOutcome)
{
  if (!aRequest.Value().empty()) {
    aResponse.set("Foxtail-Request", aRequest.Value());
  }
  const std::string_view name = NameOf(aOutcome);
  aResponse.set("Foxtail-Outcome",
                boost::beast::string_view(name.data(), name.size()));
}

} // namespace

HttpResponse ToResponse(const QueryAnswer& aAnswer)
{
  std::string body;
  body.reserve(EstimateBytes(aAnswer));
  body += R"({"request":)";
  AppendJsonString(body, aAnswer.request_.Value());
  body += R"(,"outcome":")";
  body += NameOf(aAnswer.outcome_);
  body += '"';
  if (aAnswer.outcome_ != Outcome::Run) {
    AppendError(body, aAnswer);
  }
  AppendSnapshot(body, aAnswer.snapshot_);
  AppendCoverage(body, aAnswer.coverage_);
  AppendResults(body, aAnswer);
  body += "}\n";
  HttpResponse response = JsonResponse(StatusOf(aAnswer), std::move(body));
  SetHeaders(response, aAnswer.request_, aAnswer.outcome_);
  const auto slowest = duration_cast<microseconds>(aAnswer.slowestShard_);
  response.set("Foxtail-Slowest-Shard-Us", std::to_string(slowest.count()));
  return response;
}

HttpResponse FailureResponse(HttpStatus aStatus,
                             const RequestId& aRequest,
                             Outcome aOutcome,
                             ErrorKind aKind,
                             std::string_view aMessage)
{
  std::string body = R"({"request":)";
  AppendJsonString(body, aRequest.Value());
  body += R"(,"outcome":")";
  body += NameOf(aOutcome);
  body += R"(","error_kind":")";
  body += NameOf(aKind);
  body += R"(","error":)";
  AppendJsonString(body, aMessage);
  body += "}\n";
  HttpResponse response = JsonResponse(aStatus, std::move(body));
  SetHeaders(response, aRequest, aOutcome);
  return response;
}

} // namespace foxtail
