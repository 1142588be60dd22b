#include "operator/Html.h"

namespace foxtail {

std::string EscapeHtml(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size());
  for (const char c : aText) {
    switch (c) {
      case '&':
        text += "&amp;";
        break;
      case '<':
        text += "&lt;";
        break;
      case '>':
        text += "&gt;";
        break;
      case '"':
        text += "&quot;";
        break;
      case '\'':
        text += "&#39;";
        break;
      default:
        text += c;
    }
  }
  return text;
}

HtmlWriter& HtmlWriter::Open(std::string_view aTag, Attributes aAttributes)
{
  text_ += "<";
  text_ += aTag;
  for (const auto& [name, value] : aAttributes) {
    text_ += " ";
    text_ += name;
    text_ += "=\"";
    text_ += EscapeHtml(value);
    text_ += "\"";
  }
  text_ += ">";
  return *this;
}

HtmlWriter& HtmlWriter::Close(std::string_view aTag)
{
  text_ += "</";
  text_ += aTag;
  text_ += ">\n";
  return *this;
}

HtmlWriter& HtmlWriter::Text(std::string_view aText)
{
  text_ += EscapeHtml(aText);
  return *this;
}

HtmlWriter& HtmlWriter::Element(std::string_view aTag,
                                std::string_view aText,
                                Attributes aAttributes)
{
  return Open(aTag, aAttributes).Text(aText).Close(aTag);
}

} // namespace foxtail
