#include "load/LoadOptions.h"

#include "core/Error.h"
#include "core/Program.h"
#include "http/HttpClient.h"

#include <charconv>
#include <cstdlib>

namespace foxtail {
namespace {

constexpr uint64_t kMaxWorkers = 64;
constexpr uint64_t kMaxCount = 1000000;
constexpr uint64_t kMaxMs = 600000;
constexpr double kMaxWarmUpSeconds = 3600;

// The options as text, with their defaults.
struct OptionTexts
{
  std::string targets_;
  std::string ready_;
  std::string standins_;
  std::string services_;
  std::string steps_;
  std::string arrivals_ = "poisson";
  std::string warmUp_ = "0";
  std::string workers_ = "2";
  std::string connections_ = "512";
  std::string resends_ = "0";
  std::string query_;
  std::string deadline_ = "0";
  std::string patience_;
  std::string timeout_ = "10000";
  std::string seed_ = "1";
  std::string timeline_ = "100";
  std::string history_;
  std::string csv_;
  bool isAction_ = false;
  bool isQuiet_ = false;
};

void ParseOptions(int argc, const char** argv, OptionTexts& aTexts)
{
  const std::vector<CommandOption> options = {
    { "targets", &aTexts.targets_, nullptr, "callers' addresses, by comma" },
    { "ready", &aTexts.ready_, nullptr, "platform addresses for /readyz" },
    { "standins", &aTexts.standins_, nullptr, "stand-ins' control addresses" },
    { "services", &aTexts.services_, nullptr, "services, chosen in turn" },
    { "steps", &aTexts.steps_, nullptr, "RATE:SECONDS, by comma" },
    { "arrivals", &aTexts.arrivals_, nullptr, "poisson or fixed" },
    { "warm-up", &aTexts.warmUp_, nullptr, "seconds left out of the totals" },
    { "workers", &aTexts.workers_, nullptr, "threads" },
    { "connections", &aTexts.connections_, nullptr, "to one entry instance" },
    { "action", nullptr, &aTexts.isAction_, "send actions with a key each" },
    { "resends", &aTexts.resends_, nullptr, "of an action without a result" },
    { "query", &aTexts.query_, nullptr, "text to look for" },
    { "deadline-ms", &aTexts.deadline_, nullptr, "0 for the service's own" },
    { "patience", &aTexts.patience_, nullptr, "complete or prompt" },
    { "timeout-ms", &aTexts.timeout_, nullptr, "of one exchange" },
    { "seed", &aTexts.seed_, nullptr, "of arrivals and tokens" },
    { "timeline-ms", &aTexts.timeline_, nullptr, "interval of the timeline" },
    { "history", &aTexts.history_, nullptr, "file for a JSON line a request" },
    { "csv", &aTexts.csv_, nullptr, "file for the timeline" },
    { "quiet", nullptr, &aTexts.isQuiet_, "no progress line" },
  };
  const auto rest = ParseCommandLine(
    argc, argv, options, "--targets ADDRESSES --services NAMES --steps STEPS");
  if (!rest.empty()) {
    std::fprintf(stderr, "%s is no option; see --help\n", rest.front().c_str());
    std::exit(2);
  }
}

std::vector<std::string> Split(std::string_view aText)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const size_t comma = aText.find(',');
    parts.emplace_back(aText.substr(0, comma));
    aText = comma == std::string_view::npos ? "" : aText.substr(comma + 1);
  }
  return parts;
}

// Collects the first fault of a command line.
class OptionReader
{
public:
  const absl::Status& Status() const { return status_; }

  std::vector<TcpEndpoint> Endpoints(const std::string& aText)
  {
    std::vector<TcpEndpoint> endpoints;
    for (const std::string& part : Split(aText)) {
      const auto endpoint = ParseEndpoint(part);
      if (!endpoint.ok()) {
        status_.Update(endpoint.status());
        return {};
      }
      endpoints.push_back(*endpoint);
    }
    return endpoints;
  }

  uint64_t Count(const char* aName,
                 const std::string& aText,
                 uint64_t aLow,
                 uint64_t aHigh)
  {
    uint64_t number = 0;
    const char* end = aText.data() + aText.size();
    const auto result = std::from_chars(aText.data(), end, number);
    const bool isNumber = result.ec == std::errc() && result.ptr == end;
    if (!isNumber || number < aLow || number > aHigh) {
      Fault(std::string("--") + aName + " is \"" + aText +
            "\"; give a number from " + std::to_string(aLow) + " to " +
            std::to_string(aHigh));
      return aLow;
    }
    return number;
  }

  void Fault(const std::string& aMessage)
  {
    status_.Update(MakeError(ErrorKind::InvalidSettings, aMessage));
  }

private:
  absl::Status status_;
};

void CheckTogether(const LoadOptions& aOptions, OptionReader& aReader)
{
  if (aOptions.targets_.empty()) {
    aReader.Fault("--targets is missing; give the callers' addresses");
  }
  if (aOptions.services_.empty()) {
    aReader.Fault("--services is missing; name at least one");
  }
  const bool isReadyGiven = !aOptions.ready_.empty();
  if (isReadyGiven && aOptions.ready_.size() != aOptions.targets_.size()) {
    aReader.Fault("--ready has another length than --targets; give one "
                  "platform address for each target");
  }
}

} // namespace

absl::StatusOr<LoadOptions> LoadOptions::FromCommandLine(int argc,
                                                         const char** argv)
{
  OptionTexts texts;
  ParseOptions(argc, argv, texts);
  OptionReader reader;
  LoadOptions options;
  options.targets_ = reader.Endpoints(texts.targets_);
  options.ready_ = reader.Endpoints(texts.ready_);
  options.standins_ = reader.Endpoints(texts.standins_);
  options.services_ = Split(texts.services_);
  const auto steps = ParseLoadSteps(texts.steps_);
  if (!steps.ok()) {
    return steps.status();
  }
  options.steps_ = *steps;
  const auto arrivals = FromName<ArrivalKind>(texts.arrivals_);
  if (!arrivals) {
    reader.Fault("--arrivals is \"" + texts.arrivals_ +
                 "\"; give poisson or fixed");
  }
  options.arrivals_ = arrivals.value_or(ArrivalKind::Poisson);
  const double warmUp = std::strtod(texts.warmUp_.c_str(), nullptr);
  options.warmUp_ = duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(warmUp, 0.0, kMaxWarmUpSeconds)));
  options.workers_ = reader.Count("workers", texts.workers_, 1, kMaxWorkers);
  options.connections_ =
    reader.Count("connections", texts.connections_, 1, kMaxCount);
  options.isAction_ = texts.isAction_;
  options.resends_ = static_cast<uint32_t>(
    reader.Count("resends", texts.resends_, 0, kMaxCount));
  options.query_ = texts.query_;
  options.deadlineMs_ = static_cast<uint32_t>(
    reader.Count("deadline-ms", texts.deadline_, 0, kMaxMs));
  options.patience_ = texts.patience_;
  options.timeout_ =
    milliseconds(reader.Count("timeout-ms", texts.timeout_, 1, kMaxMs));
  options.seed_ = reader.Count("seed", texts.seed_, 0, UINT64_MAX);
  options.timelineStep_ =
    milliseconds(reader.Count("timeline-ms", texts.timeline_, 1, kMaxMs));
  options.history_ = texts.history_;
  options.csv_ = texts.csv_;
  options.isQuiet_ = texts.isQuiet_;
  CheckTogether(options, reader);
  if (!reader.Status().ok()) {
    return reader.Status();
  }
  return options;
}

} // namespace foxtail
