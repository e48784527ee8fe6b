#include "app/internal/commands.h"

#include "base/random.h"
#include "config/declaration.h"
#include "operators/apitypes.h"
#include "webapi/client.h"
#include "webapi/json.h"

#include <boost/json.hpp>
#include <iostream>

namespace hawthornpick::app {

namespace {

//! One operator address with the key for it.
class operator_connection
{
public:
    operator_connection(membership::endpoint address, std::string key, base::milliseconds timeout)
        : m_address(std::move(address)), m_key(std::move(key)), m_timeout(timeout)
    {}

    auto send(const std::string &method, const std::string &path, const std::string &body) const
            -> tl::expected<webapi::response, std::string>
    {
        return webapi::call(m_address, {method, path, {}, m_key, body}, m_timeout);
    }

private:
    membership::endpoint m_address;
    std::string m_key;
    base::milliseconds m_timeout;
};

auto trimmed(std::string text) -> std::string
{
    text.erase(text.find_last_not_of(" \t\r\n") + 1);
    return text;
}

auto connect(const command_options &options) -> std::optional<operator_connection>
{
    const auto address = membership::parseEndpoint(options.operatorAddress);
    if (!address) {
        std::cerr << "hawthornpick: `" << options.operatorAddress
                  << "` is not an IP address with a port\n";
        return std::nullopt;
    }
    const auto key = readFile(options.operatorKeyFile);
    if (!key) {
        std::cerr << "hawthornpick: --operator_key_file `" << options.operatorKeyFile
                  << "` can't be read\n";
        return std::nullopt;
    }
    return operator_connection(*address, trimmed(*key), base::milliseconds(options.timeoutMs));
}

auto printAnswer(const tl::expected<webapi::response, std::string> &answer) -> exit_code
{
    if (!answer) {
        std::cerr << "hawthornpick: " << answer.error() << "\n";
        return exit_code::Unreachable;
    }
    const bool good = answer->status == 200;
    (good ? std::cout : std::cerr) << answer->body;
    return good ? exit_code::Success : exit_code::Failure;
}

auto printPath(const command_options &options, const std::string &path) -> exit_code
{
    const auto connection = connect(options);
    if (!connection) {
        return exit_code::Usage;
    }
    return printAnswer(connection->send("GET", path, ""));
}

auto newChangeId() -> std::string
{
    return "change-" + base::toHex(base::secureRandomBytes(8));
}

auto newestVersion(const operator_connection &connection) -> std::optional<std::uint64_t>
{
    const auto answer = connection.send("GET", "/v1/node", "");
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    const auto object = webapi::parseObject(answer->body);
    return object ? webapi::numberMember(*object, "version") : std::nullopt;
}

auto reportChange(const std::string &changeId,
                  const tl::expected<webapi::response, std::string> &response) -> exit_code
{
    // After a lost answer the change may still come into force.
    if (!response) {
        std::cerr << "not known to be in force (" << response.error()
                  << "); ask with: hawthornpick "
                  << "change --change_id=" << changeId << "\n";
        return exit_code::Undecided;
    }
    const auto answer = operators::parseChangeAnswer(response->body);
    if (!answer) {
        std::cerr << response->body;
        return response->status == 422 ? exit_code::InvalidInput : exit_code::Failure;
    }
    switch (answer->state) {
    case operators::change_state::InForce:
        std::cout << "in force: version " << answer->version << ", digest " << answer->digest
                  << ", change " << changeId << "\n";
        return exit_code::Success;
    case operators::change_state::Rejected:
        std::cerr << "rejected: " << answer->reason << "; newest version " << answer->version
                  << ", digest " << answer->digest << "\n";
        return exit_code::Rejected;
    case operators::change_state::Undecided:
        break;
    }
    std::cerr << "not in force, unknown yet (" << answer->reason << "); ask with: hawthornpick "
              << "change --change_id=" << changeId << "\n";
    return exit_code::Undecided;
}

} // namespace

auto runApply(const command_options &options) -> exit_code
{
    const auto connection = connect(options);
    if (!connection || options.folder.empty()) {
        std::cerr << "hawthornpick apply: --folder and --operator_key_file are needed\n";
        return exit_code::Usage;
    }
    auto checked = options;
    checked.settingsFile.clear();
    if (const auto result = runCheck(checked); result != exit_code::Success) {
        return result;
    }
    const auto files = config::readDeclarationFolder(options.folder);
    if (!files) {
        return exit_code::InvalidInput;
    }
    const auto baseVersion = options.baseVersion ? options.baseVersion : newestVersion(*connection);
    if (!baseVersion) {
        std::cerr << "hawthornpick apply: the node does not tell the newest version\n";
        return exit_code::Unreachable;
    }
    const auto changeId = options.changeId.empty() ? newChangeId() : options.changeId;
    const operators::change_submission submission{changeId, *baseVersion, *files};
    return reportChange(changeId,
                        connection->send("POST", "/v1/changes", operators::toJson(submission)));
}

auto runChange(const command_options &options) -> exit_code
{
    const auto connection = connect(options);
    if (!connection || options.changeId.empty()) {
        std::cerr << "hawthornpick change: --change_id and --operator_key_file are needed\n";
        return exit_code::Usage;
    }
    return reportChange(options.changeId,
                        connection->send("GET", "/v1/changes/" + options.changeId, ""));
}

auto runStatus(const command_options &options) -> exit_code
{
    const auto own = printPath(options, "/v1/node");
    return own == exit_code::Success ? printPath(options, "/v1/status") : own;
}

auto runMembers(const command_options &options) -> exit_code
{
    return printPath(options, "/v1/members");
}

auto runUpstreams(const command_options &options) -> exit_code
{
    return printPath(options, "/v1/upstreams");
}

auto runHistory(const command_options &options) -> exit_code
{
    return printPath(options, "/v1/history");
}

auto runReplaceController(const command_options &options) -> exit_code
{
    const auto connection = connect(options);
    if (!connection || options.removed.empty() || options.added.empty()) {
        std::cerr << "hawthornpick replace-controller: --removed, --added and "
                     "--operator_key_file are needed\n";
        return exit_code::Usage;
    }
    const auto body = webapi::toText(
            boost::json::object{{"removed", options.removed}, {"added", options.added}});
    return printAnswer(connection->send("POST", "/v1/controllers/replace", body));
}

} // namespace hawthornpick::app
