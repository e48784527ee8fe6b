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

// Precedes each record; written in the byte order of the host, as the file never leaves it.
struct record_header
{
    char magic[4];
    std::uint32_t formatVersion;
    std::uint64_t length;
    std::uint64_t checksum;
};

auto failure(storage_failure kind, std::string detail) -> tl::unexpected<storage_error>
{
    return tl::unexpected(storage_error{kind, std::move(detail)});
}

auto systemFailure(const std::string &action, const std::string &path)
        -> tl::unexpected<storage_error>
{
    return failure(storage_failure::Io, action + " " + path + ": " + std::strerror(errno));
}

auto frame(const std::string &payload) -> std::string
{
    record_header header{};
    std::memcpy(header.magic, MAGIC.data(), MAGIC.size());
    header.formatVersion = FORMAT_VERSION;
    header.length = payload.size();
    header.checksum = base::hash64(payload, payload.size());
    std::string out(reinterpret_cast<const char *>(&header), sizeof(header));
    return out + payload;
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
    std::string out;
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
            return out;
        }
        out.append(buffer, 0, static_cast<std::size_t>(count));
    }
}

auto headerAt(std::string_view bytes) -> std::optional<record_header>
{
    record_header header{};
    if (bytes.size() < sizeof(header) || bytes.substr(0, MAGIC.size()) != MAGIC) {
        return std::nullopt;
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    return header;
}

// Returns the payload of a valid record at the start of `bytes`.
auto recordAt(std::string_view bytes) -> std::optional<std::string_view>
{
    const auto header = headerAt(bytes);
    if (!header || header->length > bytes.size() - sizeof(record_header)) {
        return std::nullopt;
    }
    const auto payload = bytes.substr(sizeof(record_header), header->length);
    if (base::hash64(payload, payload.size()) != header->checksum) {
        return std::nullopt;
    }
    return payload;
}

auto hasRecordAfter(std::string_view bytes) -> bool
{
    for (auto at = bytes.find(MAGIC, 1); at != std::string_view::npos;
         at = bytes.find(MAGIC, at + 1)) {
        if (recordAt(bytes.substr(at))) {
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
    const bool done = ::fsync(file) == 0;
    ::close(file);
    return done;
}

auto writeFile(const std::string &path, std::string_view bytes) -> bool
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    if (file < 0) {
        return false;
    }
    const bool done = writeAll(file, bytes) && ::fsync(file) == 0;
    return ::close(file) == 0 && done;
}

} // namespace

auto file_storage::open(const std::string &folder) -> storage_result<file_storage>
{
    if (::mkdir(folder.c_str(), FOLDER_MODE) != 0 && errno != EEXIST) {
        return systemFailure("cannot create", folder);
    }
    const auto path = folder + "/lock";
    const int lock = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (lock < 0) {
        return systemFailure("cannot open", path);
    }
    file_storage out(folder, lock);
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        return failure(storage_failure::Locked, folder + " is used by another process");
    }
    return out;
}

file_storage::file_storage(file_storage &&other) noexcept
    : m_folder(std::move(other.m_folder)), m_lock(std::exchange(other.m_lock, -1)),
      m_log(std::exchange(other.m_log, -1))
{}

auto file_storage::operator=(file_storage &&other) noexcept -> file_storage &
{
    if (this != &other) {
        closeAll();
        m_folder = std::move(other.m_folder);
        m_lock = std::exchange(other.m_lock, -1);
        m_log = std::exchange(other.m_log, -1);
    }
    return *this;
}

file_storage::~file_storage()
{
    closeAll();
}

auto file_storage::closeAll() -> void
{
    for (int *file : {&m_log, &m_lock}) {
        if (*file >= 0) {
            ::close(std::exchange(*file, -1));
        }
    }
}

auto file_storage::openLog() -> storage_result<void>
{
    const auto path = m_folder + "/log";
    if (m_log >= 0) {
        ::close(std::exchange(m_log, -1));
    }
    m_log = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
    if (m_log < 0 || !syncFolder(m_folder)) {
        return systemFailure("cannot open", path);
    }
    return {};
}

auto file_storage::load() -> storage_result<stored_state>
{
    if (const auto opened = openLog(); !opened) {
        return tl::unexpected(opened.error());
    }
    const auto path = m_folder + "/log";
    const auto bytes = readAll(m_log);
    if (!bytes) {
        return systemFailure("cannot read", path);
    }
    stored_state state;
    std::string_view rest(*bytes);
    while (!rest.empty()) {
        const auto place = path + " at offset " + std::to_string(bytes->size() - rest.size());
        const auto header = headerAt(rest);
        if (header && header->formatVersion != FORMAT_VERSION) {
            return failure(storage_failure::UnsupportedFormat,
                           "record of " + place + " has format version "
                                   + std::to_string(header->formatVersion));
        }
        const auto payload = recordAt(rest);
        if (!payload && hasRecordAfter(rest)) {
            return failure(
                    storage_failure::Corrupt,
                    "record of " + place
                            + " is damaged and valid records follow; replace this controller");
        }
        if (!payload) {
            break;
        }
        if (!decodeItems(*payload, state)) {
            return failure(storage_failure::Corrupt, "record of " + place + " cannot be decoded");
        }
        rest.remove_prefix(sizeof(record_header) + payload->size());
    }
    const auto valid = static_cast<off_t>(bytes->size() - rest.size());
    if (!rest.empty() && (::ftruncate(m_log, valid) != 0 || ::fsync(m_log) != 0)) {
        return systemFailure("cannot repair", path);
    }
    return state;
}

auto file_storage::sync(const std::vector<storage_item> &items) -> storage_result<void>
{
    if (!writeAll(m_log, frame(encodeItems(items, {}))) || ::fdatasync(m_log) != 0) {
        return systemFailure("cannot write", m_folder + "/log");
    }
    return {};
}

auto file_storage::replace(const stored_state &state) -> storage_result<void>
{
    std::vector<storage_item> items{disk_identity{state.disk},
                                    term_and_vote{state.term, state.votedFor}};
    items.insert(items.end(), state.entries.begin(), state.entries.end());
    // The empty second record makes damage to the first one distinguishable from a torn write.
    const auto bytes = frame(encodeItems(items, state.snapshot)) + frame(encodeItems({}, {}));
    const auto path = m_folder + "/log";
    const auto fresh = m_folder + "/log.new";
    if (!writeFile(fresh, bytes)) {
        return systemFailure("cannot write", fresh);
    }
    if (::rename(fresh.c_str(), path.c_str()) != 0 || !syncFolder(m_folder)) {
        return systemFailure("cannot rename", fresh);
    }
    return openLog();
}

} // namespace hawthornpick::control
