#include "operator/Ctl.h"

#include "core/Program.h"
#include "http/HttpClient.h"
#include "operator/Access.h"
#include "operator/AdminClient.h"
#include "operator/DocumentDiff.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace foxtail {

namespace asio = boost::asio;

namespace {

constexpr char kUsage[] =
  "COMMAND [ARGUMENT]\n"
  "  get                    print the accepted document with its version\n"
  "  check FILE             list the faults of a document\n"
  "  diff FILE              show what a document would change\n"
  "  apply FILE             send a document, as printed by get and edited\n"
  "  history                list accepted changes\n"
  "  status                 show the control instances\n"
  "  evacuations            list the evacuated zones\n"
  "  evacuate ZONE          begin the evacuation of a zone\n"
  "  end-evacuation ZONE    end the evacuation of a zone\n"
  "  coverage SERVICE       query a service and show what the answer covers\n"
  "  token NAME             make an operator's token and its settings\n"
  "The token is read from the environment, FOXTAIL_TOKEN.\n"
  "Exit status: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict,\n"
  "4 not run, 5 unknown (repeat with the same --change-id; an order to\n"
  "evacuate may be repeated as it is)";

struct CtlOptions
{
  std::string admin_ = "127.0.0.1:7200";
  std::string entry_ = "127.0.0.1:8080";
  std::string base_;
  std::string changeId_;
  std::string from_;
  std::string body_ = "{}";
  std::string role_ = "teams";
  std::string teams_;
  std::string timeout_ = "5000";
};

/// A document file: as printed by `get`, or the document alone.
struct DocumentFile
{
  std::optional<DocumentVersion> version_;
  boost::json::value document_;
};

int Exit(CtlExit aExit)
{
  return static_cast<int>(aExit);
}

int Fail(const absl::Status& aStatus)
{
  std::fprintf(stderr, "%s\n", std::string(aStatus.message()).c_str());
  return Exit(CtlExit::Failed);
}

int Usage(const char* aText)
{
  std::fprintf(stderr, "%s; see --help\n", aText);
  return Exit(CtlExit::Usage);
}

std::optional<uint64_t> ToNumber(std::string_view aText)
{
  uint64_t number = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool isWhole =
    parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
  return isWhole ? std::optional(number) : std::nullopt;
}

std::vector<std::string> SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

/// Runs a coroutine to its end.
template<typename Result>
Result RunBlocking(asio::awaitable<Result> aWork)
{
  asio::io_context context;
  std::optional<Result> result;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> { result = co_await std::move(aWork); },
    asio::detached);
  context.run();
  return std::move(*result);
}

void PrintJson(const boost::json::value& aValue,
               const std::string& aIndent = "")
{
  const std::string inner = aIndent + "  ";
  if (const auto* object = aValue.if_object(); object != nullptr) {
    std::printf("{");
    const char* separator = "\n";
    for (const auto& member : *object) {
      std::printf("%s%s%s: ",
                  separator,
                  inner.c_str(),
                  boost::json::serialize(member.key()).c_str());
      PrintJson(member.value(), inner);
      separator = ",\n";
    }
    std::printf("%s", object->empty() ? "}" : ("\n" + aIndent + "}").c_str());
  } else if (const auto* array = aValue.if_array(); array != nullptr) {
    std::printf("[");
    const char* separator = "\n";
    for (const auto& element : *array) {
      std::printf("%s%s", separator, inner.c_str());
      PrintJson(element, inner);
      separator = ",\n";
    }
    std::printf("%s", array->empty() ? "]" : ("\n" + aIndent + "]").c_str());
  } else if (aValue.is_double()) {
    std::printf("%s", ReadableValue(aValue).c_str());
  } else {
    std::printf("%s", boost::json::serialize(aValue).c_str());
  }
}

absl::StatusOr<DocumentFile> ReadDocumentFile(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  auto value = ParseJson(*text, aPath, ErrorKind::InvalidDocument);
  if (!value.ok()) {
    return value.status();
  }
  DocumentFile file;
  const auto* object = value->if_object();
  if (object == nullptr || !object->contains("document")) {
    file.document_ = std::move(*value);
    return file;
  }
  file.document_ = object->at("document");
  if (object->contains("version")) {
    boost::json::error_code error;
    const auto number = object->at("version").to_number<uint64_t>(error);
    if (!error) {
      file.version_ = DocumentVersion(number);
    }
  }
  return file;
}

void PrintFaults(const std::vector<JsonFault>& aFaults)
{
  for (const JsonFault& fault : aFaults) {
    std::fprintf(stderr,
                 "%s %s\n",
                 fault.path_.empty() ? "/" : fault.path_.c_str(),
                 fault.message_.c_str());
  }
}

void PrintChanges(const std::vector<DocumentChange>& aChanges)
{
  for (const DocumentChange& change : aChanges) {
    std::printf("%s %s\n",
                std::string(NameOf(change.kind_)).c_str(),
                change.Path().c_str());
    for (const MemberChange& member : change.members_) {
      std::printf("  %s: %s -> %s\n",
                  member.member_.c_str(),
                  member.before_.c_str(),
                  member.after_.c_str());
    }
  }
  if (aChanges.empty()) {
    std::printf("no change\n");
  }
}

/// The commands that talk to the administration API.
class AdminCommands
{
public:
  AdminCommands(AdminClientSettings aSettings, const CtlOptions& aOptions)
    : client_(std::move(aSettings))
    , options_(aOptions)
  {
    const char* token = std::getenv("FOXTAIL_TOKEN");
    token_ = token == nullptr ? "" : token;
  }

  int Print(const std::string& aTarget)
  {
    const auto reply = Get(aTarget);
    if (!reply.ok()) {
      return Fail(reply.status());
    }
    PrintJson(reply->body_);
    std::printf("\n");
    return Exit(CtlExit::Ok);
  }

  int Check(const std::string& aPath)
  {
    const auto file = ReadDocumentFile(aPath);
    if (!file.ok()) {
      return Fail(file.status());
    }
    const auto reply = RunBlocking(client_.Check(file->document_, token_));
    if (!reply.ok()) {
      return Fail(reply.status());
    }
    if (reply->status_ != 200 && reply->status_ != 400) {
      return Fail(ErrorOf(*reply));
    }
    const auto faults = ReadFaults(reply->body_);
    PrintFaults(faults);
    if (!faults.empty()) {
      return Exit(CtlExit::Failed);
    }
    std::printf("no fault\n");
    return Exit(CtlExit::Ok);
  }

  int Diff(const std::string& aPath)
  {
    const auto file = ReadDocumentFile(aPath);
    if (!file.ok()) {
      return Fail(file.status());
    }
    JsonFaults faults;
    const Document after = Document::Parse(file->document_, faults);
    if (!faults.IsEmpty()) {
      PrintFaults(faults.List());
      return Exit(CtlExit::Failed);
    }
    const auto reply = Get("/v1/document");
    if (!reply.ok()) {
      return Fail(reply.status());
    }
    JsonFaults currentFaults;
    const auto* object = reply->body_.if_object();
    const Document before =
      object != nullptr && object->contains("document")
        ? Document::Parse(object->at("document"), currentFaults)
        : Document();
    PrintChanges(DiffDocuments(before, after));
    return Exit(CtlExit::Ok);
  }

  int Apply(const std::string& aPath)
  {
    auto file = ReadDocumentFile(aPath);
    if (!file.ok()) {
      return Fail(file.status());
    }
    ApplyRequest request;
    if (!options_.base_.empty()) {
      const auto base = ToNumber(options_.base_);
      if (!base) {
        return Usage("--base is no version; give a number");
      }
      request.baseVersion_ = DocumentVersion(*base);
    } else if (file->version_) {
      request.baseVersion_ = *file->version_;
    } else {
      return Usage("the file has no version; give --base, the version that "
                   "the document was made from");
    }
    request.changeId_ =
      options_.changeId_.empty() ? MakeChangeId() : options_.changeId_;
    request.document_ = std::move(file->document_);
    std::printf("change id %s\n", request.changeId_.c_str());
    return Report(RunBlocking(client_.Apply(std::move(request), token_)));
  }

  int Evacuate(const std::string& aZone, bool aIsEvacuated)
  {
    constexpr unsigned kConflict = 409;
    constexpr unsigned kUnavailable = 503;
    const auto evacuations = Get("/v1/evacuations");
    if (!evacuations.ok()) {
      return Fail(evacuations.status());
    }
    if (evacuations->status_ != 200) {
      return Fail(ErrorOf(*evacuations));
    }
    const auto reply = RunBlocking(client_.Evacuate(
      aZone, aIsEvacuated, OrdersOf(evacuations->body_), token_));
    if (!reply.ok()) {
      return Fail(reply.status());
    }
    if (reply->status_ == 200) {
      std::printf("the evacuation of %s has %s\n",
                  aZone.c_str(),
                  aIsEvacuated ? "begun" : "ended");
      return Exit(CtlExit::Ok);
    }
    const int failed = Fail(ErrorOf(*reply));
    if (reply->status_ == kConflict) {
      return Exit(CtlExit::Conflict);
    }
    return reply->status_ == kUnavailable ? Exit(CtlExit::Unknown) : failed;
  }

private:
  static absl::Status ErrorOf(const AdminReply& aReply)
  {
    const auto* object = aReply.body_.if_object();
    const auto* error =
      object == nullptr ? nullptr : object->if_contains("error");
    return MakeError(ErrorKind::Unavailable,
                     "the control instance answered " +
                       std::to_string(aReply.status_) +
                       (error == nullptr ? "" : ": " + ReadableValue(*error)));
  }

  absl::StatusOr<AdminReply> Get(const std::string& aTarget)
  {
    auto reply = RunBlocking(client_.Get(aTarget, token_));
    if (reply.ok() && reply->status_ != 200) {
      return ErrorOf(*reply);
    }
    return reply;
  }

  static int Report(const ApplyResult& aResult)
  {
    const auto version =
      static_cast<unsigned long long>(aResult.version_.Value());
    if (!aResult.message_.empty()) {
      std::fprintf(stderr, "%s\n", aResult.message_.c_str());
    }
    switch (aResult.outcome_) {
      case ApplyOutcome::Accepted:
        std::printf("accepted as version %llu\n", version);
        return Exit(CtlExit::Ok);
      case ApplyOutcome::Conflict:
        std::fprintf(stderr,
                     "not accepted: version %llu was accepted first; get it, "
                     "make the change again and apply that\n",
                     version);
        return Exit(CtlExit::Conflict);
      case ApplyOutcome::NotRun:
        std::fprintf(stderr, "not accepted; apply it again\n");
        return Exit(CtlExit::NotRun);
      case ApplyOutcome::Unknown:
        std::fprintf(stderr,
                     "unknown whether it was accepted; apply it again with "
                     "the same --change-id and --base\n");
        return Exit(CtlExit::Unknown);
      case ApplyOutcome::Invalid:
        PrintFaults(aResult.faults_);
        break;
      case ApplyOutcome::Denied:
        break;
    }
    return Exit(CtlExit::Failed);
  }

  AdminClient client_;
  const CtlOptions& options_;
  std::string token_;
};

int MakeOperatorToken(const std::string& aName, const CtlOptions& aOptions)
{
  const auto role = FromName<OperatorRole>(aOptions.role_);
  if (!role) {
    return Usage("--role is all or teams");
  }
  if (aName.empty() || aName.find('.') != std::string::npos) {
    return Usage("an operator's name has at least one character and no dot");
  }
  boost::json::array teams;
  for (const std::string& team : SplitList(aOptions.teams_)) {
    teams.emplace_back(team);
  }
  if (*role == OperatorRole::Teams && teams.empty()) {
    return Usage("the role teams needs --teams NAME,NAME");
  }
  const NewToken token = MakeToken(OperatorName(aName));
  const boost::json::object row{ { "name", aName },
                                 { "role", aOptions.role_ },
                                 { "teams", std::move(teams) },
                                 { "salt", token.salt_ },
                                 { "hash", token.hash_ } };
  std::printf("token, for the operator: %s\n", token.token_.c_str());
  std::printf("row, for the settings of each control instance:\n%s\n",
              boost::json::serialize(row).c_str());
  return Exit(CtlExit::Ok);
}

int ShowCoverage(const std::string& aService,
                 const CtlOptions& aOptions,
                 milliseconds aTimeout)
{
  const auto endpoint = ParseEndpoint(aOptions.entry_);
  if (!endpoint.ok()) {
    return Fail(endpoint.status());
  }
  const auto response = BlockingExchange(
    *endpoint,
    MakeRequest(
      boost::beast::http::verb::post, "/v1/query/" + aService, aOptions.body_),
    aTimeout);
  if (!response.ok()) {
    return Fail(response.status());
  }
  const auto body =
    ParseJson(response->body(), "the answer", ErrorKind::Protocol);
  if (!body.ok() || !body->is_object()) {
    return Fail(MakeError(ErrorKind::Protocol,
                          "the answer is no JSON object; check that --entry "
                          "is the callers' port of an entry instance"));
  }
  // The results themselves may be large and are the caller's.
  boost::json::object shown = body->as_object();
  shown.erase("results");
  PrintJson(shown);
  std::printf("\n");
  return Exit(response->result_int() == 200 ? CtlExit::Ok : CtlExit::Failed);
}

absl::StatusOr<AdminClientSettings> ReadAdminSettings(
  const CtlOptions& aOptions,
  milliseconds aTimeout)
{
  AdminClientSettings settings;
  settings.timeout_ = aTimeout;
  for (const std::string& text : SplitList(aOptions.admin_)) {
    auto endpoint = ParseEndpoint(text);
    if (!endpoint.ok()) {
      return endpoint.status();
    }
    settings.endpoints_.push_back(*endpoint);
  }
  return settings;
}

int RunAdminCommand(const std::vector<std::string>& aArguments,
                    const CtlOptions& aOptions,
                    milliseconds aTimeout)
{
  auto settings = ReadAdminSettings(aOptions, aTimeout);
  if (!settings.ok()) {
    return Fail(settings.status());
  }
  AdminCommands commands(std::move(*settings), aOptions);
  const std::string& command = aArguments[0];
  if (command == "get") {
    return commands.Print("/v1/document");
  }
  if (command == "status") {
    return commands.Print("/v1/status");
  }
  if (command == "evacuations") {
    return commands.Print("/v1/evacuations");
  }
  if (command == "history") {
    const auto from = ToNumber(aOptions.from_.empty() ? "0" : aOptions.from_);
    return from ? commands.Print("/v1/history?from=" + std::to_string(*from))
                : Usage("--from is no version; give a number");
  }
  if (aArguments.size() < 2) {
    return Usage("the command needs a FILE or a ZONE, or is not known");
  }
  if (command == "evacuate" || command == "end-evacuation") {
    return commands.Evacuate(aArguments[1], command == "evacuate");
  }
  if (command == "check") {
    return commands.Check(aArguments[1]);
  }
  if (command == "diff") {
    return commands.Diff(aArguments[1]);
  }
  return command == "apply" ? commands.Apply(aArguments[1])
                            : Usage("the command is not known");
}

} // namespace

int RunCtl(int argc, const char** argv)
{
  CtlOptions options;
  const auto arguments = ParseCommandLine(
    argc,
    argv,
    { { "admin",
        &options.admin_,
        nullptr,
        "administration addresses of control instances, with commas" },
      { "entry", &options.entry_, nullptr, "callers' address, for coverage" },
      { "base", &options.base_, nullptr, "version that a change builds on" },
      { "change-id", &options.changeId_, nullptr, "id of a change sent again" },
      { "from", &options.from_, nullptr, "first version of the history" },
      { "body", &options.body_, nullptr, "JSON body of a query" },
      { "role", &options.role_, nullptr, "role of an operator: all or teams" },
      { "teams", &options.teams_, nullptr, "teams of an operator" },
      { "timeout-ms", &options.timeout_, nullptr, "time for one exchange" } },
    kUsage);
  const auto timeout = ToNumber(options.timeout_);
  if (!timeout || *timeout == 0) {
    return Usage("--timeout-ms is no time; give a number above 0");
  }
  if (arguments.empty()) {
    return Usage("give a command");
  }
  const milliseconds time(static_cast<int64_t>(*timeout));
  if (arguments[0] == "token") {
    return MakeOperatorToken(arguments.size() > 1 ? arguments[1] : "", options);
  }
  if (arguments[0] == "coverage") {
    return arguments.size() > 1 ? ShowCoverage(arguments[1], options, time)
                                : Usage("name a service");
  }
  return RunAdminCommand(arguments, options, time);
}

} // namespace foxtail
