#ifndef OPERATOR_HTML_H
#define OPERATOR_HTML_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace foxtail {

/// @return @p aText with the characters escaped that mean something in HTML
/// text or in a quoted attribute.
std::string EscapeHtml(std::string_view aText);

/// Builds HTML. Texts and attribute values are always escaped, so that no
/// value of a document or a form can become markup.
class HtmlWriter
{
public:
  using Attributes =
    std::initializer_list<std::pair<std::string_view, std::string_view>>;

  /// @param aTag and the attributes' names are constants of the program.
  HtmlWriter& Open(std::string_view aTag, Attributes aAttributes = {});
  HtmlWriter& Close(std::string_view aTag);
  HtmlWriter& Text(std::string_view aText);
  /// An element that holds text alone.
  HtmlWriter& Element(std::string_view aTag,
                      std::string_view aText,
                      Attributes aAttributes = {});

  const std::string& Get() const { return text_; }

private:
  std::string text_;
};

} // namespace foxtail

#endif // OPERATOR_HTML_H
