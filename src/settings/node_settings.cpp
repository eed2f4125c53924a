// Validation of node settings beyond the field rules of the schema.
#include "berylspur/settings/node_settings.h"

#include "berylspur/core/address.h"
#include "berylspur/settings/yaml_loader.h"

#include <array>

namespace berylspur {

namespace {

Result<void> checkAddress(const std::string &text, const std::string &key, const std::string &file)
{
    if (Address::parse(text))
        return success();
    return failure(ErrorCode::AddressUnusable, file + ": " + key + ": expected IP:port");
}

Result<void> checkLoopback(const std::string &text, const std::string &key, const std::string &file)
{
    const auto address = Address::parse(text);
    if (address && address.value().isLoopback())
        return success();
    return failure(ErrorCode::SettingsAdminNotLoopback,
                   file + ": " + key + ": expected a loopback address, or admin-remote: true");
}

} // namespace

Result<void> checkNodeSettings(const schema::NodeSettings &settings, const std::string &file)
{
    const auto &addresses = settings.addresses();
    const std::array<std::pair<const std::string &, const char *>, 5> required {{
            {addresses.caller(), "addresses.caller"},
            {addresses.peer(), "addresses.peer"},
            {addresses.announce(), "addresses.announce"},
            {addresses.admin(), "addresses.admin"},
            {settings.platform(), "platform"},
    }};
    for (const auto &[text, key] : required) {
        if (auto result = checkAddress(text, key, file); !result)
            return result;
    }
    if (!addresses.peer_advertised().empty()) {
        if (auto result =
                    checkAddress(addresses.peer_advertised(), "addresses.peer-advertised", file);
            !result)
            return result;
    }
    for (int i = 0; i < settings.peers_size(); ++i) {
        const auto key = "peers[" + std::to_string(i) + "]";
        if (auto result = checkAddress(settings.peers(i), key, file); !result)
            return result;
    }
    if (addresses.admin_remote())
        return success();
    if (auto result = checkLoopback(addresses.admin(), "addresses.admin", file); !result)
        return result;
    return checkLoopback(addresses.announce(), "addresses.announce", file);
}

Result<schema::NodeSettings> loadNodeSettings(const std::string &file,
                                              std::vector<std::string> &warnings)
{
    schema::NodeSettings settings;
    if (auto result = loadYaml(file, settings, {}, &warnings); !result)
        return std::move(result).as_failure();
    if (auto result = checkNodeSettings(settings, file); !result)
        return std::move(result).as_failure();
    return settings;
}

} // namespace berylspur
