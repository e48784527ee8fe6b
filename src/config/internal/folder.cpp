#include "config/declaration.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace hawthornpick::config {

namespace {

namespace fs = std::filesystem;

using files_result = tl::expected<std::vector<declaration_file>, std::vector<diagnostic>>;

auto failure(const std::string &file, std::string message)
        -> tl::unexpected<std::vector<diagnostic>>
{
    return tl::unexpected(std::vector<diagnostic>{{file, 0, {}, {}, std::move(message)}});
}

auto listFiles(const std::string &folder) -> tl::expected<std::vector<fs::path>, std::string>
{
    std::error_code error;
    std::vector<fs::path> paths;
    for (fs::directory_iterator item(folder, error), end; !error && item != end;
         item.increment(error)) {
        if (item->path().extension() == ".ini") {
            paths.push_back(item->path());
        }
    }
    if (error) {
        return tl::unexpected("folder can't be read: " + error.message());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

auto readOnce(const std::string &folder) -> files_result
{
    const auto paths = listFiles(folder);
    if (!paths) {
        return failure(folder, paths.error());
    }
    if (paths->empty()) {
        return failure(folder, "folder has no *.ini file");
    }
    std::vector<declaration_file> files;
    std::size_t total = 0;
    for (const auto &path : *paths) {
        std::error_code error;
        const auto size = fs::file_size(path, error);
        total += error ? 0 : size;
        if (total > MAX_DECLARATION_BYTES) {
            return failure(folder, "files are larger than the limit of "
                                           + std::to_string(MAX_DECLARATION_BYTES) + " bytes");
        }
        std::ifstream stream(path, std::ios::binary);
        std::string text{std::istreambuf_iterator<char>(stream), {}};
        if (error || !stream) {
            return failure(path.string(), "file can't be read");
        }
        files.push_back({path.string(), std::move(text)});
    }
    return files;
}

} // namespace

auto readDeclarationFolder(const std::string &folder) -> files_result
{
    auto first = readOnce(folder);
    if (!first) {
        return first;
    }
    const auto second = readOnce(folder);
    if (!second || *first != *second) {
        return failure(folder,
                       "folder changed while it was read; apply it again when it is complete");
    }
    return first;
}

} // namespace hawthornpick::config
