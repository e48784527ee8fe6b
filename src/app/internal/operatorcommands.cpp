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

//! Sends requests to the operator API of one node.
class operator_client
{
public:
    operator_client(membership::endpoint address, std::string key, base::milliseconds timeout)
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

auto trimTrailingSpace(std::string text) -> std::string
{
    text.erase(text.find_last_not_of(" \t\r\n") + 1);
    return text;
}

auto createClient(const command_options &options) -> std::optional<operator_client>
{
    const auto address = membership::parseEndpoint(options.operatorAddress);
    if (!address) {
        std::cerr << "hawthornpick: `" << options.operatorAddress
                  << "` is not a valid --operator_address; expected IP-ADDRESS:PORT\n";
        return std::nullopt;
    }
    const auto key = readFile(options.operatorKeyFile);
    if (!key) {
        std::cerr << "hawthornpick: --operator_key_file `" << options.operatorKeyFile
                  << "` can't be read\n";
        return std::nullopt;
    }
    return operator_client(*address, trimTrailingSpace(*key),
                           base::milliseconds(options.timeoutMs));
}

auto printResponse(const tl::expected<webapi::response, std::string> &response) -> exit_code
{
    if (!response) {
        std::cerr << "hawthornpick: " << response.error() << "\n";
        return exit_code::Unreachable;
    }
    const bool succeeded = response->status == 200;
    (succeeded ? std::cout : std::cerr) << response->body;
    return succeeded ? exit_code::Success : exit_code::Failure;
}

auto getAndPrint(const command_options &options, const std::string &path) -> exit_code
{
    const auto client = createClient(options);
    if (!client) {
        return exit_code::Usage;
    }
    return printResponse(client->send("GET", path, ""));
}

auto generateChangeId() -> std::string
{
    return "change-" + base::toHex(base::secureRandomBytes(8));
}

auto fetchNewestVersion(const operator_client &client) -> std::optional<std::uint64_t>
{
    const auto response = client.send("GET", "/v1/node", "");
    if (!response || response->status != 200) {
        return std::nullopt;
    }
    const auto object = webapi::parseObject(response->body);
    return object ? webapi::numberMember(*object, "version") : std::nullopt;
}

auto printChangeResult(const std::string &changeId,
                       const tl::expected<webapi::response, std::string> &response) -> exit_code
{
    // Without a response the change may still come into force.
    if (!response) {
        std::cerr << "not known to be in force (" << response.error()
                  << "); query the result with: hawthornpick "
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
    std::cerr << "result not known yet (" << answer->reason << "); query it with: hawthornpick "
              << "change --change_id=" << changeId << "\n";
    return exit_code::Undecided;
}

} // namespace

auto runApply(const command_options &options) -> exit_code
{
    const auto client = createClient(options);
    if (!client || options.folder.empty()) {
        std::cerr << "hawthornpick apply: --folder and --operator_key_file are required\n";
        return exit_code::Usage;
    }
    auto folderOptions = options;
    folderOptions.settingsFile.clear();
    if (const auto result = runCheck(folderOptions); result != exit_code::Success) {
        return result;
    }
    const auto files = config::readDeclarationFolder(options.folder);
    if (!files) {
        return exit_code::InvalidInput;
    }
    const auto baseVersion =
            options.baseVersion ? options.baseVersion : fetchNewestVersion(*client);
    if (!baseVersion) {
        std::cerr
                << "hawthornpick apply: the node did not report the newest configuration version\n";
        return exit_code::Unreachable;
    }
    const auto changeId = options.changeId.empty() ? generateChangeId() : options.changeId;
    const operators::change_submission submission{changeId, *baseVersion, *files};
    return printChangeResult(changeId,
                             client->send("POST", "/v1/changes", operators::toJson(submission)));
}

auto runEvacuate(const command_options &options) -> exit_code
{
    const auto client = createClient(options);
    if (!client || options.domain.empty()) {
        std::cerr << "hawthornpick evacuate: --domain and --operator_key_file are required\n";
        return exit_code::Usage;
    }
    const auto changeId = options.changeId.empty() ? generateChangeId() : options.changeId;
    const operators::evacuation_submission submission{
            changeId, base::failure_domain_id(options.domain), !options.end};
    return printChangeResult(
            changeId, client->send("POST", "/v1/evacuations", operators::toJson(submission)));
}

auto runChange(const command_options &options) -> exit_code
{
    const auto client = createClient(options);
    if (!client || options.changeId.empty()) {
        std::cerr << "hawthornpick change: --change_id and --operator_key_file are required\n";
        return exit_code::Usage;
    }
    return printChangeResult(options.changeId,
                             client->send("GET", "/v1/changes/" + options.changeId, ""));
}

auto runStatus(const command_options &options) -> exit_code
{
    const auto nodeResult = getAndPrint(options, "/v1/node");
    return nodeResult == exit_code::Success ? getAndPrint(options, "/v1/status") : nodeResult;
}

auto runMembers(const command_options &options) -> exit_code
{
    return getAndPrint(options, "/v1/members");
}

auto runUpstreams(const command_options &options) -> exit_code
{
    return getAndPrint(options, "/v1/upstreams");
}

auto runHistory(const command_options &options) -> exit_code
{
    return getAndPrint(options, "/v1/history");
}

auto runReplaceController(const command_options &options) -> exit_code
{
    const auto client = createClient(options);
    if (!client || options.removed.empty() || options.added.empty()) {
        std::cerr << "hawthornpick replace-controller: --removed, --added and "
                     "--operator_key_file are required\n";
        return exit_code::Usage;
    }
    const auto body = webapi::toText(
            boost::json::object{{"removed", options.removed}, {"added", options.added}});
    return printResponse(client->send("POST", "/v1/controllers/replace", body));
}

} // namespace hawthornpick::app
