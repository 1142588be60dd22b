#ifndef BACKEND_REPLYPARSER_H
#define BACKEND_REPLYPARSER_H

#include "backend/ReportedLoad.h"

#include <boost/beast/http/basic_parser.hpp>
#include <optional>
#include <string>

namespace foxtail {

/// Reads one reply of a backend server, keeping only the headers of the
/// contract, so that a reply costs no allocation but its body's. Not thread
/// safe.
class ReplyParser : public boost::beast::http::basic_parser<false>
{
public:
  /// Largest header of a reply, and largest chunk header or trailer.
  static constexpr uint32_t kMaxHeaderBytes = 8 * 1024;

  /// @param aMaxBodyBytes a larger body is an error.
  explicit ReplyParser(uint64_t aMaxBodyBytes);

  unsigned Status() const { return status_; }
  /// @return whether this is a complete informational (1xx) reply, after which
  /// the final one follows.
  bool IsInformational() const;
  uint64_t AttemptId() const { return attempt_; }
  const std::string& Version() const { return version_; }
  const std::string& Shard() const { return shard_; }
  const std::string& RefusalReason() const { return reason_; }
  bool IsNotRun() const { return isNotRun_; }
  const std::optional<ReportedLoad>& Load() const { return load_; }
  std::string TakeBody() { return std::move(body_); }
  const std::string& Body() const { return body_; }

  /// @return whether the end of the body is known without the connection's
  /// end; only then can a body that was cut short be told.
  bool HasKnownLength() const { return !need_eof(); }

private:
  using Text = boost::beast::string_view;
  using Error = boost::beast::error_code;
  using Field = boost::beast::http::field;
  using Verb = boost::beast::http::verb;

  // NOLINTBEGIN(readability-identifier-naming): names that Beast calls.
  void on_request_impl(Verb, Text, Text, int, Error&) override {}
  void on_response_impl(int aCode, Text, int, Error&) override;
  void on_field_impl(Field, Text aName, Text aValue, Error&) override;
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         Error&) override;
  std::size_t on_body_impl(Text aBody, Error&) override;
  void on_chunk_header_impl(std::uint64_t, Text, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, Text aBody, Error&) override;
  void on_finish_impl(Error&) override {}
  // NOLINTEND(readability-identifier-naming)

  unsigned status_ = 0;
  uint64_t attempt_ = 0;
  bool hasAttempt_ = false;
  std::string version_;
  std::string shard_;
  std::string reason_;
  bool isNotRun_ = false;
  std::optional<ReportedLoad> load_;
  std::string body_;
};

} // namespace foxtail

#endif // BACKEND_REPLYPARSER_H
