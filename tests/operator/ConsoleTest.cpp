#include "FakeAdmin.h"
#include "operator/ConsoleService.h"
#include "operator/DocumentMerge.h"
#include "operator/Html.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace foxtail;
using boost::beast::http::field;
using boost::beast::http::verb;

namespace {

constexpr char kHostile[] = "\"><script>alert('x')</script>&";

std::string Encode(const std::string& aText)
{
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    text += '%';
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xF];
  }
  return text;
}

/// A browser that is signed in, or not, at a console of its own.
class Browser
{
public:
  explicit Browser(const FakeAdmin& aAdmin)
    : service_(MakeSettings(aAdmin))
  {
  }

  HttpResponse Send(HttpRequest aRequest)
  {
    aRequest.set(field::host, "console");
    if (!cookie_.empty()) {
      aRequest.set(field::cookie, "other=1; " + cookie_);
    }
    boost::asio::io_context context;
    std::optional<HttpResponse> response;
    boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        response = co_await service_.Handle(std::move(aRequest));
      },
      boost::asio::detached);
    context.run();
    return std::move(*response);
  }

  HttpResponse Get(const std::string& aTarget)
  {
    return Send({ verb::get, aTarget, 11 });
  }

  HttpResponse Post(const std::string& aTarget, const std::string& aBody)
  {
    HttpRequest request{ verb::post, aTarget, 11 };
    request.body() = aBody;
    return Send(std::move(request));
  }

  HttpResponse SignIn(const std::string& aToken = "mai.secret")
  {
    HttpResponse response = Post("/login", "token=" + Encode(aToken));
    const std::string cookie(HeaderOf(response, "Set-Cookie"));
    cookie_ = cookie.substr(0, cookie.find(';'));
    return response;
  }

  /// @return the form key that the pages of this session carry.
  std::string Key()
  {
    const std::string page = Get("/").body();
    const std::string before = "name=\"form_key\" value=\"";
    const size_t at = page.find(before);
    return at == std::string::npos ? "" : page.substr(at + before.size(), 64);
  }

  HttpResponse PostWithKey(const std::string& aTarget, const std::string& aBody)
  {
    return Post(aTarget, "form_key=" + Key() + "&" + aBody);
  }

  void SetCookie(std::string aCookie) { cookie_ = std::move(aCookie); }
  const std::string& Cookie() const { return cookie_; }

private:
  static ConsoleSettings MakeSettings(const FakeAdmin& aAdmin)
  {
    ConsoleSettings settings;
    settings.admin_.endpoints_ = { aAdmin.Endpoint() };
    settings.admin_.timeout_ = milliseconds(150);
    return settings;
  }

  ConsoleService service_;
  std::string cookie_;
};

bool Contains(const HttpResponse& aResponse, const std::string& aText)
{
  return aResponse.body().find(aText) != std::string::npos;
}

const std::string kNewTeam =
  "section=teams&row=0&was=&action=save&name=press&weight=2";
const std::string kNewService =
  "section=services&row=0&was=&action=save&name=proofs&team=press&kind=query&"
  "catalogues=labels%0D%0Aseeds&patience=complete&deadline_ms=500";

boost::json::value SomeDocument(const std::string& aDeadline)
{
  return ToJson(*ParseDocument(
    R"({"teams":[{"name":"t"}],"services":[)"
    R"({"name":"a","team":"t","catalogues":["c"],"deadline_ms":)" +
    aDeadline + R"(},{"name":"b","team":"t","catalogues":["c"]}]})"));
}

} // namespace

TEST_CASE("console: a document is made by forms, reviewed and applied")
{
  FakeAdmin admin;
  Browser browser(admin);
  CHECK(Contains(browser.Get("/"), "Operator&#39;s token"));
  CHECK(browser.SignIn().result() == HttpStatus::see_other);
  CHECK(browser.PostWithKey("/edit", kNewTeam).result() ==
        HttpStatus::see_other);
  CHECK(browser.PostWithKey("/edit", kNewService).result() ==
        HttpStatus::see_other);
  const auto review = browser.Get("/review");
  CHECK(Contains(review, "services/proofs"));
  CHECK(Contains(review, "labels, seeds"));
  CHECK(Contains(review, "action=\"/apply\""));
  CHECK(admin.Version() == 0);
  const auto result = browser.PostWithKey("/apply", "");
  CHECK(Contains(result, "The accepted version is 1."));
  CHECK(admin.AcceptedDocument().at_pointer("/services/0/deadline_ms") == 500);
  CHECK(Contains(browser.Get("/"), "accepted version 1"));
  CHECK(Contains(browser.Get("/review"), "changes nothing"));
}

TEST_CASE("console: each fault stands beside its field and by path")
{
  FakeAdmin admin;
  Browser browser(admin);
  browser.SignIn();
  const auto page = browser.PostWithKey(
    "/edit",
    "section=services&row=0&was=&action=save&name=Bad+Name&team=none&kind=query"
    "&catalogues=&patience=prompt&deadline_ms=soon&soft_deadline_ms=999999999");
  CHECK(page.result() == HttpStatus::unprocessable_entity);
  for (const char* text :
       { "<code>/services/0/name</code>\n has other characters",
         "<code>/services/0/deadline_ms</code>\n is not a whole number",
         "<code>/services/0/catalogues</code>\n is empty",
         "<code>/services/0/team</code>\n &quot;none&quot; is not among /teams",
         "<strong class=\"fault\">Name has other characters",
         "<strong class=\"fault\">Deadline, ms is not a whole number",
         "<strong class=\"fault\">Soft deadline, ms is 999999999",
         "value=\"soon\"" }) {
    CAPTURE(std::string(text));
    CHECK(Contains(page, text));
  }
  const auto review = browser.Get("/review");
  CHECK(Contains(review, "/services/0/name"));
  CHECK_FALSE(Contains(review, "action=\"/apply\""));
  // Sent all the same, it is refused in full.
  CHECK(Contains(browser.PostWithKey("/apply", ""), "Nothing was changed"));
  CHECK(admin.Version() == 0);
}

TEST_CASE("console: hostile texts stay texts")
{
  FakeAdmin admin;
  Browser browser(admin);
  browser.SignIn();
  const std::string hostile = Encode(kHostile);
  const auto check = [&](const HttpResponse& aResponse) {
    CHECK_FALSE(Contains(aResponse, "<script"));
    CHECK_FALSE(Contains(aResponse, "<b>"));
  };
  check(browser.PostWithKey(
    "/edit",
    "section=services&row=0&was=&action=save&name=" + hostile +
      "&team=" + hostile + "&kind=" + hostile + "&catalogues=" + hostile +
      "&deadline_ms=" + hostile));
  check(browser.Get("/"));
  check(browser.Get("/edit?section=services&row=0"));
  check(browser.Get("/review"));
  check(browser.Get("/edit?section=" + hostile + "&row=" + hostile));
  const auto history = browser.Get("/history");
  check(history);
  CHECK(Contains(history, "&lt;b&gt;mai&lt;/b&gt;"));
  Browser stranger(admin);
  check(stranger.Post("/login", "token=" + hostile));
  CHECK(std::string(HeaderOf(history, "Content-Security-Policy"))
          .find("default-src 'none'") != std::string::npos);
}

TEST_CASE("console: forms that must not be taken")
{
  struct Row
  {
    std::string name_;
    std::function<HttpResponse(Browser&)> send_;
    HttpStatus status_;
  };
  const Row rows[] = {
    { "no form key",
      [](Browser& aBrowser) { return aBrowser.Post("/edit", kNewTeam); },
      HttpStatus::forbidden },
    { "wrong form key",
      [](Browser& aBrowser) {
        return aBrowser.Post(
          "/edit", "form_key=" + std::string(64, '0') + "&" + kNewTeam);
      },
      HttpStatus::forbidden },
    { "the session's cookie as the form key",
      [](Browser& aBrowser) {
        const std::string cookie = aBrowser.Cookie();
        return aBrowser.Post("/edit",
                             "form_key=" + cookie.substr(cookie.find('=') + 1) +
                               "&" + kNewTeam);
      },
      HttpStatus::forbidden },
    { "another site's page",
      [](Browser& aBrowser) {
        HttpRequest request{ verb::post, "/edit", 11 };
        request.body() = "form_key=" + aBrowser.Key() + "&" + kNewTeam;
        request.set("Origin", "http://elsewhere");
        return aBrowser.Send(std::move(request));
      },
      HttpStatus::forbidden },
    { "another session's form key",
      [](Browser& aBrowser) {
        const std::string key = aBrowser.Key();
        aBrowser.SignIn();
        return aBrowser.Post("/edit", "form_key=" + key + "&" + kNewTeam);
      },
      HttpStatus::forbidden },
    { "after signing out, with the old cookie",
      [](Browser& aBrowser) {
        const std::string body = "form_key=" + aBrowser.Key() + "&" + kNewTeam;
        aBrowser.PostWithKey("/logout", "");
        return aBrowser.Post("/edit", body);
      },
      HttpStatus::forbidden },
    { "an oversized form",
      [](Browser& aBrowser) {
        return aBrowser.PostWithKey("/edit", "name=" + std::string(70000, 'a'));
      },
      HttpStatus::payload_too_large },
    { "many fields",
      [](Browser& aBrowser) {
        std::string body;
        for (int i = 0; i < 300; ++i) {
          body += "f" + std::to_string(i) + "=1&";
        }
        return aBrowser.PostWithKey("/edit", body);
      },
      HttpStatus::bad_request },
    { "a field twice",
      [](Browser& aBrowser) {
        return aBrowser.PostWithKey("/edit", kNewTeam + "&name=other");
      },
      HttpStatus::bad_request },
    { "a wrong escape",
      [](Browser& aBrowser) {
        return aBrowser.PostWithKey("/edit", "name=%G1");
      },
      HttpStatus::bad_request },
    { "a row that is not there",
      [](Browser& aBrowser) {
        return aBrowser.PostWithKey("/edit",
                                    "section=teams&row=7&was=&action=save");
      },
      HttpStatus::conflict },
    { "a form that was opened before the row changed",
      [](Browser& aBrowser) {
        aBrowser.PostWithKey("/edit", kNewTeam);
        return aBrowser.PostWithKey("/edit", kNewTeam);
      },
      HttpStatus::conflict },
    { "another method",
      [](Browser& aBrowser) {
        return aBrowser.Send({ verb::put, "/edit", 11 });
      },
      HttpStatus::method_not_allowed },
    { "an unknown page",
      [](Browser& aBrowser) { return aBrowser.Get("/../etc/passwd"); },
      HttpStatus::not_found },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    FakeAdmin admin;
    Browser browser(admin);
    browser.SignIn();
    CHECK(row.send_(browser).result() == row.status_);
    CHECK(admin.Version() == 0);
  }
}

TEST_CASE("console: wrong tokens and sessions")
{
  FakeAdmin admin;
  Browser browser(admin);
  CHECK(browser.SignIn("mai.wrong").result() == HttpStatus::forbidden);
  CHECK(browser.SignIn("").result() == HttpStatus::forbidden);
  browser.SetCookie("foxtail_session=" + std::string(64, '0'));
  CHECK(Contains(browser.Get("/document.json"), "Operator&#39;s token"));

  ConsoleSessions sessions({ milliseconds(1000), 2 });
  const TimePoint start{};
  const std::string first = sessions.Open("a", start);
  CHECK(sessions.Find(first, start + milliseconds(900)) != nullptr);
  CHECK(sessions.Find(first, start + milliseconds(1901)) == nullptr);
  const std::string second = sessions.Open("b", start);
  sessions.Open("c", start + milliseconds(1));
  sessions.Open("d", start + milliseconds(2));
  CHECK(sessions.Size() == 2);
  CHECK(sessions.Find(second, start) == nullptr);
}

TEST_CASE(
  "console: the loser of a race is told the version and keeps the draft")
{
  FakeAdmin admin;
  admin.Accept(SomeDocument("100"));
  Browser browser(admin);
  browser.SignIn();
  const std::string edit = "section=services&row=0&was=a&action=save&name=a&"
                           "team=t&kind=query&catalogues=c&patience=complete&"
                           "deadline_ms=300";
  CHECK(browser.PostWithKey("/edit", edit).result() == HttpStatus::see_other);
  boost::json::value other = SomeDocument("100");
  other.at_pointer("/services/1/deadline_ms") = 777;
  admin.Accept(other);
  const auto lost = browser.PostWithKey("/apply", "");
  CHECK(Contains(lost, "Result: conflict"));
  CHECK(Contains(lost, "The accepted version is 2."));
  CHECK(Contains(lost, "/carry-over"));
  CHECK(Contains(browser.PostWithKey("/carry-over", ""), "now builds on"));
  CHECK(
    Contains(browser.PostWithKey("/apply", ""), "The accepted version is 3."));
  const auto document = admin.AcceptedDocument();
  CHECK(document.at_pointer("/services/0/deadline_ms") == 300);
  CHECK(document.at_pointer("/services/1/deadline_ms") == 777);
}

TEST_CASE("console: evacuations begin, are shown and end, and an order that is "
          "not confirmed is not shown as done")
{
  FakeAdmin admin;
  Browser browser(admin);
  browser.SignIn();
  const std::string zone = "zone=" + Encode(kHostile);
  CHECK_FALSE(Contains(browser.Get("/evacuations"), "value=\"end\""));
  CHECK(
    Contains(browser.Get("/evacuations"), "name=\"known_orders\" value=\"0\""));
  const auto begun =
    browser.PostWithKey("/evacuations", zone + "&action=begin&known_orders=0");
  CHECK(Contains(begun, "The order is accepted."));
  CHECK(Contains(begun, EscapeHtml(kHostile)));
  CHECK_FALSE(Contains(begun, kHostile));
  const std::string end = zone + "&action=end&known_orders=1";
  CHECK(browser.Post("/evacuations", end).result() == HttpStatus::forbidden);
  admin.SetFault(FakeFault::Unknown);
  const auto lost = browser.PostWithKey("/evacuations", end);
  CHECK(Contains(lost, "not confirmed: no quorum"));
  CHECK(Contains(lost, "value=\"end\""));
  admin.SetFault(FakeFault::None);
  const auto ended = browser.PostWithKey("/evacuations", end);
  CHECK_FALSE(Contains(ended, "value=\"end\""));
}

// A form that the console reads late, or that was filled in on an old page,
// undid the orders that were given since.
TEST_CASE("console: an evacuation that was ordered on an older page is refused")
{
  FakeAdmin admin;
  Browser browser(admin);
  browser.SignIn();
  const std::string begin = "zone=a&action=begin&known_orders=0";
  browser.PostWithKey("/evacuations", begin);
  browser.PostWithKey("/evacuations", "zone=a&action=end&known_orders=1");
  const auto late = browser.PostWithKey("/evacuations", begin);
  CHECK(Contains(late, "not confirmed: another order was applied first"));
  CHECK_FALSE(Contains(late, "value=\"end\""));
  for (const char* form :
       { "zone=a&action=begin", "zone=a&action=begin&known_orders=x" }) {
    CAPTURE(form);
    CHECK(browser.PostWithKey("/evacuations", form).result() ==
          HttpStatus::bad_request);
  }
}

TEST_CASE("console: a change whose answer was lost is sent again as the same")
{
  FakeAdmin admin;
  Browser browser(admin);
  browser.SignIn();
  browser.PostWithKey("/edit", kNewTeam);
  admin.SetFault(FakeFault::AcceptAndLoseAnswer);
  const auto unknown = browser.PostWithKey("/apply", "");
  CHECK(Contains(unknown, "not known whether the change was accepted"));
  admin.SetFault(FakeFault::None);
  CHECK(Contains(browser.PostWithKey("/apply", ""), "Result: accepted"));
  CHECK(admin.Version() == 1);
}

TEST_CASE("merge: rows of both sides")
{
  const auto base = SomeDocument("100");
  struct Row
  {
    std::string name_;
    std::string mine_;
    std::string theirs_;
    std::string merged_;
    size_t conflicts_;
  };
  const Row rows[] = {
    { "neither", "100", "100", "100", 0 },
    { "mine", "200", "100", "200", 0 },
    { "theirs", "100", "300", "300", 0 },
    { "both alike", "200", "200", "200", 0 },
    { "both", "200", "300", "200", 1 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const auto merged =
      MergeDocuments(base, SomeDocument(row.mine_), SomeDocument(row.theirs_));
    CHECK(merged.document_ == SomeDocument(row.merged_));
    CHECK(merged.conflicts_.size() == row.conflicts_);
  }
  boost::json::value without = base;
  without.at("services").as_array().pop_back();
  CHECK(MergeDocuments(base, without, SomeDocument("300")).document_ == [&] {
    boost::json::value expected = SomeDocument("300");
    expected.at("services").as_array().pop_back();
    return expected;
  }());
  CHECK(MergeDocuments(base, base, without).document_ == without);
}
