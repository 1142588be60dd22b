#include "operator/ConsolePages.h"

#include "operator/AdminClient.h"
#include "operator/Html.h"

#include <algorithm>

namespace foxtail {
namespace {

void BeginPage(HtmlWriter& aHtml, std::string_view aTitle)
{
  aHtml.Open("!DOCTYPE html").Open("html", { { "lang", "en" } });
  aHtml.Open("head").Open("meta", { { "charset", "utf-8" } });
  aHtml.Element("title", std::string(aTitle) + " - foxtailthread");
  aHtml.Open("link", { { "rel", "stylesheet" }, { "href", "/style.css" } });
  aHtml.Close("head").Open("body").Element("h1", aTitle);
}

std::string EndPage(HtmlWriter& aHtml)
{
  aHtml.Close("body").Close("html");
  return aHtml.Get();
}

void WriteKey(HtmlWriter& aHtml, const ConsoleSession& aSession)
{
  aHtml.Open("input",
             { { "type", "hidden" },
               { "name", "form_key" },
               { "value", aSession.formKey_ } });
}

void WriteHidden(HtmlWriter& aHtml,
                 std::string_view aName,
                 std::string_view aValue)
{
  aHtml.Open("input",
             { { "type", "hidden" }, { "name", aName }, { "value", aValue } });
}

/// A form of one button.
void WriteButton(HtmlWriter& aHtml,
                 const ConsoleSession& aSession,
                 std::string_view aAction,
                 std::string_view aLabel)
{
  aHtml.Open("form", { { "method", "post" }, { "action", aAction } });
  WriteKey(aHtml, aSession);
  aHtml.Element("button", aLabel).Close("form");
}

void WriteMenu(HtmlWriter& aHtml, const ConsoleSession& aSession)
{
  aHtml.Open("nav");
  aHtml.Element("a", "Document", { { "href", "/" } });
  aHtml.Element("a", "Review and apply", { { "href", "/review" } });
  aHtml.Element("a", "History", { { "href", "/history" } });
  aHtml.Element("a", "Status", { { "href", "/status" } });
  aHtml.Element("a", "Evacuations", { { "href", "/evacuations" } });
  aHtml.Element("a", "As JSON", { { "href", "/document.json" } });
  WriteButton(aHtml, aSession, "/logout", "Sign out");
  aHtml.Close("nav");
}

void WriteMessage(HtmlWriter& aHtml, std::string_view aMessage)
{
  if (!aMessage.empty()) {
    aHtml.Element("p", aMessage, { { "class", "message" } });
  }
}

void WriteFaults(HtmlWriter& aHtml, const std::vector<JsonFault>& aFaults)
{
  if (aFaults.empty()) {
    return;
  }
  aHtml.Element("h2", "Faults").Open("ul", { { "class", "faults" } });
  for (const JsonFault& fault : aFaults) {
    aHtml.Open("li");
    aHtml.Element("code", fault.path_.empty() ? "/" : fault.path_);
    aHtml.Text(" " + fault.message_).Close("li");
  }
  aHtml.Close("ul");
}

std::string EditTarget(DocumentSection aSection, size_t aIndex)
{
  return "/edit?section=" + std::string(NameOf(aSection)) +
         "&row=" + std::to_string(aIndex);
}

const boost::json::array* RowsOf(const boost::json::value& aDocument,
                                 DocumentSection aSection)
{
  const auto* object = aDocument.if_object();
  const auto* rows =
    object == nullptr ? nullptr : object->if_contains(NameOf(aSection));
  return rows == nullptr ? nullptr : rows->if_array();
}

void WriteSection(HtmlWriter& aHtml,
                  const boost::json::value& aDocument,
                  DocumentSection aSection)
{
  const auto fields = FieldsOf(aSection);
  const auto* rows = RowsOf(aDocument, aSection);
  const size_t count = rows == nullptr ? 0 : rows->size();
  aHtml.Element("h2", NameOf(aSection)).Open("table").Open("tr");
  for (const FormField& field : fields) {
    aHtml.Element("th", field.label_);
  }
  aHtml.Close("tr");
  for (size_t i = 0; i < count; ++i) {
    const auto* row = (*rows)[i].if_object();
    if (row == nullptr) {
      continue;
    }
    aHtml.Open("tr");
    for (const FormField& field : fields) {
      aHtml.Open("td");
      const std::string text = FieldText(field, *row);
      if (field.member_ == "name") {
        aHtml.Element("a",
                      text.empty() ? "(no name)" : text,
                      { { "href", EditTarget(aSection, i) } });
      } else {
        aHtml.Text(text);
      }
      aHtml.Close("td");
    }
    aHtml.Close("tr");
  }
  aHtml.Close("table");
  aHtml.Element("a", "Add", { { "href", EditTarget(aSection, count) } });
}

/// Writes the input element of one field.
class InputWriter
{
public:
  InputWriter(HtmlWriter& aHtml,
              const FormField& aField,
              const std::string& aText,
              const std::vector<std::string>& aTeams)
    : html_(aHtml)
    , field_(aField)
    , text_(aText)
    , teams_(aTeams)
  {
  }

  void operator()(const TextField& /*aField*/) { WriteInput("text"); }
  // A number that is none must come back to be told, so no type="number".
  void operator()(const NumberField& /*aField*/) { WriteInput("text"); }
  void operator()(const ListField& /*aField*/)
  {
    html_.Element(
      "textarea", text_, { { "name", field_.member_ }, { "rows", "4" } });
  }
  void operator()(const ChoiceField& aField)
  {
    WriteSelect({ aField.choices_.begin(), aField.choices_.end() });
  }
  void operator()(const TeamField& /*aField*/) { WriteSelect(teams_); }

private:
  void WriteInput(std::string_view aType)
  {
    html_.Open(
      "input",
      { { "type", aType }, { "name", field_.member_ }, { "value", text_ } });
  }

  void WriteSelect(std::vector<std::string> aChoices)
  {
    if (std::find(aChoices.begin(), aChoices.end(), text_) == aChoices.end()) {
      aChoices.insert(aChoices.begin(), text_);
    }
    html_.Open("select", { { "name", field_.member_ } });
    for (const std::string& choice : aChoices) {
      if (choice == text_) {
        html_.Element(
          "option", choice, { { "value", choice }, { "selected", "" } });
      } else {
        html_.Element("option", choice, { { "value", choice } });
      }
    }
    html_.Close("select");
  }

  HtmlWriter& html_;
  const FormField& field_;
  const std::string& text_;
  const std::vector<std::string>& teams_;
};

bool IsFaultOf(const JsonFault& aFault,
               const RowEdit& aEdit,
               std::string_view aMember)
{
  const std::string path = "/" + std::string(NameOf(aEdit.section_)) + "/" +
                           std::to_string(aEdit.index_) + "/" +
                           std::string(aMember);
  return aFault.path_ == path || aFault.path_.starts_with(path + "/");
}

void WriteField(HtmlWriter& aHtml,
                const RowEdit& aEdit,
                const FormField& aField)
{
  const std::string text = FieldText(aField, aEdit.row_);
  aHtml.Open("p").Open("label").Text(aField.label_).Open("br");
  std::visit(InputWriter(aHtml, aField, text, aEdit.teams_), aField.type_);
  aHtml.Close("label");
  if (!aField.hint_.empty()) {
    aHtml.Element("small", aField.hint_);
  }
  for (const JsonFault& fault : aEdit.faults_) {
    if (IsFaultOf(fault, aEdit, aField.member_)) {
      aHtml.Element("strong",
                    std::string(aField.label_) + " " + fault.message_,
                    { { "class", "fault" } });
    }
  }
  aHtml.Close("p");
}

void WriteChanges(HtmlWriter& aHtml,
                  const std::vector<DocumentChange>& aChanges)
{
  if (aChanges.empty()) {
    aHtml.Element("p", "The draft changes nothing.");
    return;
  }
  aHtml.Open("table").Open("tr");
  for (const std::string_view title :
       { "Row", "Change", "Member", "Before", "After" }) {
    aHtml.Element("th", title);
  }
  aHtml.Close("tr");
  for (const DocumentChange& change : aChanges) {
    for (const MemberChange& member : change.members_) {
      aHtml.Open("tr", { { "class", NameOf(change.kind_) } });
      aHtml.Element("td", change.Path()).Element("td", NameOf(change.kind_));
      aHtml.Element("td", member.member_).Element("td", member.before_);
      aHtml.Element("td", member.after_).Close("tr");
    }
  }
  aHtml.Close("table");
}

std::string_view AdviceFor(ApplyOutcome aOutcome)
{
  switch (aOutcome) {
    case ApplyOutcome::Accepted:
      return "The change is accepted.";
    case ApplyOutcome::Invalid:
      return "The document has faults. Nothing was changed.";
    case ApplyOutcome::Conflict:
      return "Another change was accepted first. Nothing of this draft was. "
             "Carry the draft over to the accepted document and review it.";
    case ApplyOutcome::Denied:
      return "The change was refused. Nothing was changed.";
    case ApplyOutcome::NotRun:
      return "The change was not accepted. It may be sent again.";
    case ApplyOutcome::Unknown:
      break;
  }
  return "It is not known whether the change was accepted. Send it again: it "
         "has the same change id, so it is accepted once at most.";
}

std::string TextAt(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value == nullptr ? std::string() : ReadableValue(*value);
}

} // namespace

std::string LoginPage(std::string_view aMessage)
{
  HtmlWriter html;
  BeginPage(html, "Sign in");
  WriteMessage(html, aMessage);
  html.Open("form", { { "method", "post" }, { "action", "/login" } });
  html.Open("label").Text("Operator's token").Open("br");
  html.Open(
    "input",
    { { "type", "password" }, { "name", "token" }, { "autocomplete", "off" } });
  html.Close("label").Element("button", "Sign in").Close("form");
  return EndPage(html);
}

std::string OverviewPage(const ConsoleSession& aSession,
                         const std::vector<JsonFault>& aFaults,
                         std::string_view aMessage)
{
  HtmlWriter html;
  const std::string version =
    std::to_string(aSession.draft_.baseVersion_.Value());
  BeginPage(html, "Document");
  WriteMenu(html, aSession);
  WriteMessage(html, aMessage);
  html.Element("p", "Draft on accepted version " + version + ".");
  WriteFaults(html, aFaults);
  for (const auto& section : EnumTable<DocumentSection>::kRows) {
    WriteSection(html, aSession.draft_.document_, section.value_);
  }
  WriteButton(html, aSession, "/discard", "Discard the draft");
  return EndPage(html);
}

std::string RowPage(const ConsoleSession& aSession, const RowEdit& aEdit)
{
  HtmlWriter html;
  const std::string section(NameOf(aEdit.section_));
  BeginPage(html, (aEdit.isNew_ ? "Add to " : "Edit in ") + section);
  WriteMenu(html, aSession);
  WriteFaults(html, aEdit.faults_);
  html.Open("form", { { "method", "post" }, { "action", "/edit" } });
  WriteKey(html, aSession);
  WriteHidden(html, "section", section);
  WriteHidden(html, "row", std::to_string(aEdit.index_));
  WriteHidden(html, "was", aEdit.was_);
  for (const FormField& field : FieldsOf(aEdit.section_)) {
    WriteField(html, aEdit, field);
  }
  html.Element("button",
               "Save to the draft",
               { { "name", "action" }, { "value", "save" } });
  if (!aEdit.isNew_) {
    html.Element("button",
                 "Remove from the draft",
                 { { "name", "action" }, { "value", "remove" } });
  }
  html.Close("form");
  return EndPage(html);
}

std::string ReviewPage(const ConsoleSession& aSession,
                       const std::vector<DocumentChange>& aChanges,
                       const std::vector<JsonFault>& aFaults)
{
  HtmlWriter html;
  BeginPage(html, "Review and apply");
  WriteMenu(html, aSession);
  WriteFaults(html, aFaults);
  if (aFaults.empty()) {
    html.Element("h2", "Changes");
    WriteChanges(html, aChanges);
  }
  if (aFaults.empty() && !aChanges.empty()) {
    WriteButton(html, aSession, "/apply", "Apply");
  }
  return EndPage(html);
}

std::string ResultPage(const ConsoleSession& aSession,
                       const ApplyResult& aResult)
{
  HtmlWriter html;
  BeginPage(html, "Result: " + std::string(NameOf(aResult.outcome_)));
  WriteMenu(html, aSession);
  html.Element("p", AdviceFor(aResult.outcome_));
  WriteMessage(html, aResult.message_);
  const bool hasVersion = aResult.outcome_ == ApplyOutcome::Accepted ||
                          aResult.outcome_ == ApplyOutcome::Conflict;
  if (hasVersion) {
    html.Element("p",
                 "The accepted version is " +
                   std::to_string(aResult.version_.Value()) + ".");
  }
  WriteFaults(html, aResult.faults_);
  switch (aResult.outcome_) {
    case ApplyOutcome::Conflict:
      WriteButton(html, aSession, "/carry-over", "Carry the draft over");
      break;
    case ApplyOutcome::NotRun:
    case ApplyOutcome::Unknown:
      WriteButton(html, aSession, "/apply", "Send again");
      break;
    default:
      break;
  }
  return EndPage(html);
}

std::string HistoryPage(const ConsoleSession& aSession,
                        const boost::json::value& aChanges)
{
  HtmlWriter html;
  BeginPage(html, "History");
  WriteMenu(html, aSession);
  const auto* object = aChanges.if_object();
  const auto* list =
    object == nullptr ? nullptr : object->if_contains("changes");
  const auto* rows = list == nullptr ? nullptr : list->if_array();
  html.Open("table").Open("tr");
  const std::string_view members[] = {
    "version", "time", "operator", "summary", "change_id"
  };
  for (const std::string_view member : members) {
    html.Element("th", member);
  }
  html.Close("tr");
  for (size_t i = rows == nullptr ? 0 : rows->size(); i > 0; --i) {
    const auto* row = (*rows)[i - 1].if_object();
    html.Open("tr");
    for (const std::string_view member : members) {
      html.Element("td", row == nullptr ? "" : TextAt(*row, member));
    }
    html.Close("tr");
  }
  html.Close("table");
  return EndPage(html);
}

std::string StatusPage(const ConsoleSession& aSession,
                       const boost::json::value& aStatus)
{
  HtmlWriter html;
  BeginPage(html, "Status");
  WriteMenu(html, aSession);
  html.Open("table");
  if (const auto* object = aStatus.if_object(); object != nullptr) {
    for (const auto& member : *object) {
      html.Open("tr").Element("th", std::string(member.key()));
      const bool isPlain =
        !member.value().is_array() && !member.value().is_object();
      html.Element("td",
                   isPlain ? ReadableValue(member.value())
                           : boost::json::serialize(member.value()));
      html.Close("tr");
    }
  }
  html.Close("table");
  return EndPage(html);
}

std::string EvacuationsPage(const ConsoleSession& aSession,
                            const boost::json::value& aEvacuations,
                            std::string_view aMessage)
{
  HtmlWriter html;
  BeginPage(html, "Evacuations");
  WriteMenu(html, aSession);
  WriteMessage(html, aMessage);
  html.Element("p", "Servers of these zones receive no requests.");
  // The order is refused if another one was given since this page was made.
  const std::string knownOrders = std::to_string(OrdersOf(aEvacuations));
  html.Open("table");
  const auto* object = aEvacuations.if_object();
  const auto* list = object == nullptr ? nullptr : object->if_contains("zones");
  const auto* zones = list == nullptr ? nullptr : list->if_array();
  for (size_t i = 0; zones != nullptr && i < zones->size(); ++i) {
    const std::string zone = ReadableValue((*zones)[i]);
    html.Open("tr").Element("td", zone).Open("td");
    html.Open("form", { { "method", "post" }, { "action", "/evacuations" } });
    WriteKey(html, aSession);
    WriteHidden(html, "known_orders", knownOrders);
    WriteHidden(html, "zone", zone);
    html.Element("button", "End", { { "name", "action" }, { "value", "end" } });
    html.Close("form").Close("td").Close("tr");
  }
  html.Close("table");
  html.Open("form", { { "method", "post" }, { "action", "/evacuations" } });
  WriteKey(html, aSession);
  WriteHidden(html, "known_orders", knownOrders);
  html.Element("label", "Zone", { { "for", "zone" } });
  html.Open("input", { { "id", "zone" }, { "name", "zone" } });
  html.Element(
    "button", "Begin", { { "name", "action" }, { "value", "begin" } });
  html.Close("form");
  return EndPage(html);
}

std::string MessagePage(std::string_view aTitle, std::string_view aMessage)
{
  HtmlWriter html;
  BeginPage(html, aTitle);
  WriteMessage(html, aMessage);
  html.Element("a", "Back to the document", { { "href", "/" } });
  return EndPage(html);
}

std::string_view ConsoleStyle()
{
  return "body{font-family:sans-serif;margin:2em;max-width:75em}"
         "nav{display:flex;gap:1em;align-items:center;margin-bottom:1em}"
         "table{border-collapse:collapse}"
         "td,th{border:1px solid #bbb;padding:.2em .5em;text-align:left;"
         "vertical-align:top;white-space:pre-line}"
         ".fault,.faults{color:#a00;display:block}"
         ".message{background:#ffd;padding:.5em}"
         ".added{background:#dfd}.removed{background:#fdd}"
         "small{color:#555;display:block}";
}

} // namespace foxtail
