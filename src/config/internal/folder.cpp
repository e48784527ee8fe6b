#include "config/declaration.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace hawthornpick::config {

namespace {

namespace fs = std::filesystem;

using files_result = tl::expected<std::vector<declaration_file>, std::vector<diagnostic>>;

auto makeError(const std::string &file, std::string message)
        -> tl::unexpected<std::vector<diagnostic>>
{
    return tl::unexpected(std::vector<diagnostic>{{file, 0, {}, {}, std::move(message)}});
}

auto listFiles(const std::string &folder) -> tl::expected<std::vector<fs::path>, std::string>
{
    std::error_code error;
    std::vector<fs::path> paths;
    for (fs::directory_iterator entry(folder, error), end; !error && entry != end;
         entry.increment(error)) {
        if (entry->path().extension() == ".ini") {
            paths.push_back(entry->path());
        }
    }
    if (error) {
        return tl::unexpected("folder can't be read: " + error.message());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

auto readFiles(const std::string &folder) -> files_result
{
    const auto paths = listFiles(folder);
    if (!paths) {
        return makeError(folder, paths.error());
    }
    if (paths->empty()) {
        return makeError(folder, "folder contains no `*.ini` file; at least one is required");
    }
    std::vector<declaration_file> files;
    std::size_t totalBytes = 0;
    for (const auto &path : *paths) {
        std::error_code error;
        const auto size = fs::file_size(path, error);
        totalBytes += error ? 0 : size;
        if (totalBytes > MAX_DECLARATION_BYTES) {
            return makeError(folder, "`*.ini` files of the folder exceed the limit of "
                                             + std::to_string(MAX_DECLARATION_BYTES)
                                             + " bytes in total");
        }
        std::ifstream stream(path, std::ios::binary);
        std::string text{std::istreambuf_iterator<char>(stream), {}};
        if (error || !stream) {
            return makeError(path.string(), "file can't be read");
        }
        files.push_back({path.string(), std::move(text)});
    }
    return files;
}

} // namespace

auto readDeclarationFolder(const std::string &folder) -> files_result
{
    auto firstRead = readFiles(folder);
    if (!firstRead) {
        return firstRead;
    }
    const auto secondRead = readFiles(folder);
    if (!secondRead || *firstRead != *secondRead) {
        return makeError(
                folder,
                "contents changed while the folder was being read; retry when all files have "
                "been written");
    }
    return firstRead;
}

} // namespace hawthornpick::config
