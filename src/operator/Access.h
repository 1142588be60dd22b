#ifndef OPERATOR_ACCESS_H
#define OPERATOR_ACCESS_H

#include "config/Document.h"
#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

using OperatorName = StrongId<struct OperatorNameTag, std::string>;

enum class OperatorRole
{
  /// May change the whole document.
  All,
  /// May change the services of its teams only.
  Teams,
};

template<>
struct EnumTable<OperatorRole>
{
  static constexpr std::array<EnumName<OperatorRole>, 2> kRows{ {
    { OperatorRole::All, "all" },
    { OperatorRole::Teams, "teams" },
  } };
};

/// One operator as the settings of a control instance name it.
struct OperatorSettings
{
  OperatorName name_;
  OperatorRole role_ = OperatorRole::Teams;
  /// With the role Teams only.
  std::vector<TeamName> teams_;
  /// Random bytes and the token's hash, both in hexadecimal; see HashToken().
  std::string salt_;
  std::string hash_;

  static OperatorSettings Read(JsonReader& aReader);
};

struct AccessSettings
{
  std::vector<OperatorSettings> operators_;

  /// Reads the member `operators`.
  static AccessSettings Read(JsonReader& aReader);
};

/// A token that was just made. It is shown once and kept nowhere.
struct NewToken
{
  /// NAME.SECRET, to be sent as `Authorization: Bearer NAME.SECRET`.
  std::string token_;
  /// What the settings keep of it.
  std::string salt_;
  std::string hash_;
};

/// Makes a token of 256 random bits for an operator.
NewToken MakeToken(const OperatorName& aName);

/// @return the salted SHA-256 of a token, in hexadecimal. Tokens are random, so
/// that a slow hash would add nothing.
std::string HashToken(std::string_view aSalt, std::string_view aToken);

/// Knows the operators by their tokens and what each may change. Immutable,
/// thread safe.
class Access
{
public:
  explicit Access(AccessSettings aSettings);

  /// @param aAuthorization value of the header Authorization.
  /// @return the operator, valid as long as this object; Unauthorized when the
  /// credentials are missing, malformed or wrong. Which of the name and the
  /// secret is wrong is not told, neither by the message nor by the time taken.
  absl::StatusOr<const OperatorSettings*> Authenticate(
    std::string_view aAuthorization) const;

  /// @return Forbidden, naming each path that the operator may not change.
  static absl::Status Authorize(const OperatorSettings& aOperator,
                                const Document& aBefore,
                                const Document& aAfter);

private:
  AccessSettings settings_;
};

/// What an audit line tells of one change.
struct AuditRecord
{
  /// Empty when the credentials were refused.
  OperatorName operator_;
  std::string changeId_;
  DocumentVersion baseVersion_;
  /// The accepted version; 0 when there is none.
  DocumentVersion version_;
  /// Such as accepted, conflict, invalid, forbidden, unauthorized, unknown.
  std::string outcome_;
  std::string summary_;
};

/// Writes the audit line of one change, accepted or not.
void WriteAudit(const AuditRecord& aRecord);

} // namespace foxtail

#endif // OPERATOR_ACCESS_H
