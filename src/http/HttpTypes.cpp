#include "http/HttpTypes.h"

namespace foxtail {
namespace {

constexpr unsigned kHttpVersion11 = 11;

template<typename Message>
std::string_view HeaderOfMessage(const Message& aMessage,
                                 std::string_view aName)
{
  const auto found = aMessage.find(aName);
  if (found == aMessage.end()) {
    return {};
  }
  const auto value = found->value();
  return { value.data(), value.size() };
}

} // namespace

HttpResponse JsonResponse(HttpStatus aStatus, std::string aBody)
{
  return TextResponse(aStatus, "application/json", std::move(aBody));
}

HttpResponse TextResponse(HttpStatus aStatus,
                          std::string_view aContentType,
                          std::string aBody)
{
  HttpResponse response(aStatus, kHttpVersion11);
  response.set(boost::beast::http::field::content_type, aContentType);
  response.body() = std::move(aBody);
  return response;
}

std::string_view HeaderOf(const HttpRequest& aRequest, std::string_view aName)
{
  return HeaderOfMessage(aRequest, aName);
}

std::string_view HeaderOf(const HttpResponse& aResponse, std::string_view aName)
{
  return HeaderOfMessage(aResponse, aName);
}

std::string_view PathOf(const HttpRequest& aRequest)
{
  const auto target = aRequest.target();
  const std::string_view text(target.data(), target.size());
  return text.substr(0, text.find('?'));
}

} // namespace foxtail
