#include "operator/Access.h"

#include "core/Log.h"
#include "operator/DocumentDiff.h"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <set>

namespace foxtail {
namespace {

constexpr size_t kSecretBytes = 32;
constexpr size_t kSaltBytes = 16;
constexpr size_t kMaxOperators = 10000;
constexpr size_t kMaxTeams = 1000;
constexpr size_t kMaxTokenBytes = 256;
constexpr size_t kHexPerByte = 2;
constexpr std::string_view kScheme = "Bearer ";

std::string ToHex(const unsigned char* aBytes, size_t aCount)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aCount * kHexPerByte);
  for (size_t i = 0; i < aCount; ++i) {
    text += kDigits[aBytes[i] >> 4];
    text += kDigits[aBytes[i] & 0xF];
  }
  return text;
}

template<size_t Bytes>
std::string RandomHex()
{
  std::array<unsigned char, Bytes> bytes{};
  if (RAND_bytes(bytes.data(), Bytes) != 1) {
    // Without random numbers no credential is worth anything.
    std::abort();
  }
  return ToHex(bytes.data(), bytes.size());
}

bool IsHex(std::string_view aText, size_t aBytes)
{
  return aText.size() == aBytes * kHexPerByte &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsEqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

absl::Status Unauthorized()
{
  return MakeError(ErrorKind::Unauthorized,
                   "the credentials are not known; send the header "
                   "Authorization: Bearer TOKEN with a valid token");
}

} // namespace

OperatorSettings OperatorSettings::Read(JsonReader& aReader)
{
  OperatorSettings result;
  result.name_ = OperatorName(aReader.RequiredString("name"));
  if (result.name_.Value().find('.') != std::string::npos) {
    aReader.Fault("name", "has a dot, which ends the name in a token; drop it");
  }
  result.role_ = aReader.Enum("role", result.role_);
  for (std::string& team : aReader.Strings("teams", kMaxTeams)) {
    result.teams_.emplace_back(std::move(team));
  }
  if (result.role_ == OperatorRole::Teams && result.teams_.empty()) {
    aReader.Fault("teams", "is empty; name a team, or give the role all");
  }
  result.salt_ = aReader.RequiredString("salt");
  result.hash_ = aReader.RequiredString("hash");
  if (!IsHex(result.salt_, kSaltBytes)) {
    aReader.Fault("salt", "is no salt; make both with foxtailctl token");
  }
  if (!IsHex(result.hash_, SHA256_DIGEST_LENGTH)) {
    aReader.Fault("hash", "is no hash; make both with foxtailctl token");
  }
  return result;
}

AccessSettings AccessSettings::Read(JsonReader& aReader)
{
  AccessSettings result;
  std::set<OperatorName> names;
  aReader.Objects("operators", kMaxOperators, [&](JsonReader& aOperator) {
    result.operators_.push_back(OperatorSettings::Read(aOperator));
    if (!names.insert(result.operators_.back().name_).second) {
      aOperator.Fault("name", "is used before; give another name");
    }
  });
  return result;
}

std::string HashToken(std::string_view aSalt, std::string_view aToken)
{
  std::string text(aSalt);
  text += ':';
  text += aToken;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()),
         text.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

NewToken MakeToken(const OperatorName& aName)
{
  NewToken result;
  result.token_ = aName.Value() + "." + RandomHex<kSecretBytes>();
  result.salt_ = RandomHex<kSaltBytes>();
  result.hash_ = HashToken(result.salt_, result.token_);
  return result;
}

Access::Access(AccessSettings aSettings)
  : settings_(std::move(aSettings))
{
}

absl::StatusOr<const OperatorSettings*> Access::Authenticate(
  std::string_view aAuthorization) const
{
  if (!aAuthorization.starts_with(kScheme) ||
      aAuthorization.size() > kMaxTokenBytes + kScheme.size()) {
    return Unauthorized();
  }
  const std::string_view token = aAuthorization.substr(kScheme.size());
  const std::string_view name = token.substr(0, token.find('.'));
  const auto found = std::find_if(
    settings_.operators_.begin(),
    settings_.operators_.end(),
    [&](const OperatorSettings& aRow) { return aRow.name_.Value() == name; });
  // An unknown name costs one hash too, so that names cannot be found by time.
  const bool isKnown = found != settings_.operators_.end();
  const std::string hash = HashToken(isKnown ? found->salt_ : "", token);
  if (!isKnown || !IsEqualInConstantTime(hash, found->hash_)) {
    return Unauthorized();
  }
  return &*found;
}

absl::Status Access::Authorize(const OperatorSettings& aOperator,
                               const Document& aBefore,
                               const Document& aAfter)
{
  if (aOperator.role_ == OperatorRole::All) {
    return absl::OkStatus();
  }
  const auto owns = [&](const Document& aDocument, const std::string& aName) {
    const ServiceSettings* service = aDocument.Find(aName);
    return service == nullptr ||
           std::find(aOperator.teams_.begin(),
                     aOperator.teams_.end(),
                     service->team_) != aOperator.teams_.end();
  };
  std::string paths;
  for (const DocumentChange& change : DiffDocuments(aBefore, aAfter)) {
    // A service that changes hands must be the operator's before and after.
    const bool isAllowed = change.section_ == DocumentSection::Services &&
                           owns(aBefore, change.name_) &&
                           owns(aAfter, change.name_);
    if (!isAllowed) {
      paths += (paths.empty() ? "" : ", ") + change.Path();
    }
  }
  if (paths.empty()) {
    return absl::OkStatus();
  }
  return MakeError(
    ErrorKind::Forbidden,
    "operator " + aOperator.name_.Value() + " may not change " + paths +
      "; ask an operator of these teams or of the role " + "all");
}

void WriteAudit(const AuditRecord& aRecord)
{
  LogLine(LogLevel::Info, "audit")
    .Add("operator", aRecord.operator_)
    .Add("change_id", aRecord.changeId_)
    .Add("base_version", aRecord.baseVersion_.Value())
    .Add("version", aRecord.version_.Value())
    .Add("outcome", aRecord.outcome_)
    .Add("summary", aRecord.summary_);
}

} // namespace foxtail
