#include "control/storage.h"

#include "base/digest.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace hawthornpick::control {

namespace {

constexpr std::string_view MAGIC = "HPLG";
constexpr std::uint32_t FORMAT_VERSION = 1;
constexpr mode_t FILE_MODE = 0600;
constexpr mode_t FOLDER_MODE = 0700;

// Header of each record, in the byte order of the machine, as the file is not moved between
// machines.
struct record_header
{
    char magic[4];
    std::uint32_t formatVersion;
    std::uint64_t length;
    std::uint64_t checksum;
};

auto makeError(storage_failure kind, std::string detail) -> tl::unexpected<storage_error>
{
    return tl::unexpected(storage_error{kind, std::move(detail)});
}

auto makeSystemError(const std::string &action, const std::string &path)
        -> tl::unexpected<storage_error>
{
    return makeError(storage_failure::Io, action + " " + path + ": " + std::strerror(errno));
}

// Puts the header before the payload of a record.
auto frameRecord(const std::string &payload) -> std::string
{
    record_header header{};
    std::memcpy(header.magic, MAGIC.data(), MAGIC.size());
    header.formatVersion = FORMAT_VERSION;
    header.length = payload.size();
    header.checksum = base::hash64(payload, payload.size());
    std::string encodedHeader(reinterpret_cast<const char *>(&header), sizeof(header));
    return encodedHeader + payload;
}

auto writeAll(int file, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

auto readAll(int file) -> std::optional<std::string>
{
    std::string content;
    std::string buffer(1UL << 20, '\0');
    while (true) {
        const auto count = ::read(file, buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return std::nullopt;
        }
        if (count == 0) {
            return content;
        }
        content.append(buffer, 0, static_cast<std::size_t>(count));
    }
}

// Returns nothing if `bytes` does not start with a record header.
auto parseHeader(std::string_view bytes) -> std::optional<record_header>
{
    record_header header{};
    if (bytes.size() < sizeof(header) || bytes.substr(0, MAGIC.size()) != MAGIC) {
        return std::nullopt;
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    return header;
}

// Returns the payload of the record at the start of `bytes`; nothing if it is truncated or its
// checksum is wrong.
auto parseRecord(std::string_view bytes) -> std::optional<std::string_view>
{
    const auto header = parseHeader(bytes);
    if (!header || header->length > bytes.size() - sizeof(record_header)) {
        return std::nullopt;
    }
    const auto payload = bytes.substr(sizeof(record_header), header->length);
    if (base::hash64(payload, payload.size()) != header->checksum) {
        return std::nullopt;
    }
    return payload;
}

// Returns true if a valid record begins after the first byte.
auto hasLaterRecord(std::string_view bytes) -> bool
{
    for (auto offset = bytes.find(MAGIC, 1); offset != std::string_view::npos;
         offset = bytes.find(MAGIC, offset + 1)) {
        if (parseRecord(bytes.substr(offset))) {
            return true;
        }
    }
    return false;
}

auto syncFolder(const std::string &folder) -> bool
{
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0) {
        return false;
    }
    const bool isSynced = ::fsync(file) == 0;
    ::close(file);
    return isSynced;
}

// Creates or overwrites the file and syncs it.
auto writeFile(const std::string &path, std::string_view bytes) -> bool
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    if (file < 0) {
        return false;
    }
    const bool isSynced = writeAll(file, bytes) && ::fsync(file) == 0;
    return ::close(file) == 0 && isSynced;
}

} // namespace

auto file_storage::open(const std::string &folder) -> storage_result<file_storage>
{
    if (::mkdir(folder.c_str(), FOLDER_MODE) != 0 && errno != EEXIST) {
        return makeSystemError("cannot create folder", folder);
    }
    const auto path = folder + "/lock";
    const int lockFile = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (lockFile < 0) {
        return makeSystemError("cannot open", path);
    }
    file_storage opened(folder, lockFile);
    if (::flock(lockFile, LOCK_EX | LOCK_NB) != 0) {
        return makeError(storage_failure::Locked, folder + " is locked by another process");
    }
    return opened;
}

file_storage::file_storage(file_storage &&other) noexcept
    : m_folder(std::move(other.m_folder)), m_lockFile(std::exchange(other.m_lockFile, -1)),
      m_logFile(std::exchange(other.m_logFile, -1))
{}

auto file_storage::operator=(file_storage &&other) noexcept -> file_storage &
{
    if (this != &other) {
        closeFiles();
        m_folder = std::move(other.m_folder);
        m_lockFile = std::exchange(other.m_lockFile, -1);
        m_logFile = std::exchange(other.m_logFile, -1);
    }
    return *this;
}

file_storage::~file_storage()
{
    closeFiles();
}

auto file_storage::closeFiles() -> void
{
    for (int *file : {&m_logFile, &m_lockFile}) {
        if (*file >= 0) {
            ::close(std::exchange(*file, -1));
        }
    }
}

auto file_storage::openLog() -> storage_result<void>
{
    const auto path = m_folder + "/log";
    if (m_logFile >= 0) {
        ::close(std::exchange(m_logFile, -1));
    }
    m_logFile = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
    if (m_logFile < 0 || !syncFolder(m_folder)) {
        return makeSystemError("cannot open", path);
    }
    return {};
}

auto file_storage::load() -> storage_result<stored_state>
{
    if (const auto opened = openLog(); !opened) {
        return tl::unexpected(opened.error());
    }
    const auto path = m_folder + "/log";
    const auto bytes = readAll(m_logFile);
    if (!bytes) {
        return makeSystemError("cannot read", path);
    }
    stored_state state;
    std::string_view remaining(*bytes);
    while (!remaining.empty()) {
        const auto location =
                path + " at offset " + std::to_string(bytes->size() - remaining.size());
        const auto header = parseHeader(remaining);
        if (header && header->formatVersion != FORMAT_VERSION) {
            return makeError(storage_failure::UnsupportedFormat,
                             "record in " + location + " has format version "
                                     + std::to_string(header->formatVersion) + "; supported is "
                                     + std::to_string(FORMAT_VERSION));
        }
        const auto payload = parseRecord(remaining);
        if (!payload && hasLaterRecord(remaining)) {
            return makeError(
                    storage_failure::Corrupt,
                    "record in " + location
                            + " is damaged and valid records follow it, so synced data is lost; "
                              "replace this controller");
        }
        if (!payload) {
            break;
        }
        if (!decodeItems(*payload, state)) {
            return makeError(storage_failure::Corrupt,
                             "record in " + location
                                     + " has a valid checksum but cannot be decoded");
        }
        remaining.remove_prefix(sizeof(record_header) + payload->size());
    }
    const auto validLength = static_cast<off_t>(bytes->size() - remaining.size());
    if (!remaining.empty()
        && (::ftruncate(m_logFile, validLength) != 0 || ::fsync(m_logFile) != 0)) {
        return makeSystemError("cannot truncate the damaged end of", path);
    }
    return state;
}

auto file_storage::sync(const std::vector<storage_item> &items) -> storage_result<void>
{
    if (!writeAll(m_logFile, frameRecord(encodeItems(items, {}))) || ::fdatasync(m_logFile) != 0) {
        return makeSystemError("cannot write to or sync", m_folder + "/log");
    }
    return {};
}

auto file_storage::replace(const stored_state &state) -> storage_result<void>
{
    std::vector<storage_item> items{disk_identity{state.disk},
                                    term_and_vote{state.term, state.votedFor}};
    items.insert(items.end(), state.entries.begin(), state.entries.end());
    // The empty second record lets `load` tell damage to the first record from a torn write.
    const auto bytes =
            frameRecord(encodeItems(items, state.snapshot)) + frameRecord(encodeItems({}, {}));
    const auto path = m_folder + "/log";
    const auto newPath = m_folder + "/log.new";
    if (!writeFile(newPath, bytes)) {
        return makeSystemError("cannot write or sync", newPath);
    }
    if (::rename(newPath.c_str(), path.c_str()) != 0 || !syncFolder(m_folder)) {
        return makeSystemError("cannot replace the log by", newPath);
    }
    return openLog();
}

} // namespace hawthornpick::control
