#include "config/diagnostic.h"

namespace hawthornpick::config {

auto toString(const diagnostic &item) -> std::string
{
    std::string text = item.file;
    if (item.line > 0) {
        text += ":" + std::to_string(item.line);
    }
    text += ": ";
    if (!item.section.empty()) {
        text += "[" + item.section + "] ";
    }
    if (!item.key.empty()) {
        text += item.key + ": ";
    }
    return text + item.message;
}

} // namespace hawthornpick::config
