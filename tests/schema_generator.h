// Generates random valid YAML documents from the field rules of a message type, together with the
// message that the loader must produce for them.
#pragma once

#include "berylspur/options.pb.h"

#include <algorithm>
#include <google/protobuf/message.h>
#include <map>
#include <rapidcheck.h>
#include <stdexcept>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace berylspur::test {

namespace detail {

inline std::string randomText(const std::string &alphabet, int min, int max)
{
    const auto length = static_cast<std::size_t>(*rc::gen::inRange(min, max + 1));
    return *rc::gen::container<std::string>(length, rc::gen::elementOf(alphabet));
}

inline std::string randomElement(const std::vector<std::string> &texts)
{
    return *rc::gen::elementOf(texts);
}

/// Generates a string that matches \a pattern. Every pattern in the schema needs an entry here.
inline std::string randomMatch(const std::string &pattern)
{
    static const std::string lower = "abcdefghijklmnopqrstuvwxyz0123456789";
    if (pattern == "[a-z0-9][a-z0-9.-]{0,62}")
        return randomText(lower, 1, 1) + randomText(lower + ".-", 0, 62);
    if (pattern == "[a-z0-9][a-z0-9-]{0,62}")
        return randomText(lower, 1, 1) + randomText(lower + "-", 0, 62);
    if (pattern == "[a-z0-9][a-z0-9.:/-]{0,127}")
        return randomText(lower, 1, 1) + randomText(lower + ".:/-", 0, 127);
    if (pattern == "[0-9.]+:[0-9]{1,5}") {
        return "127." + std::to_string(*rc::gen::inRange(0, 256)) + ".0."
               + std::to_string(*rc::gen::inRange(0, 256)) + ":"
               + std::to_string(*rc::gen::inRange(0, 65536));
    }
    if (pattern == "trace|debug|info|warn|error")
        return randomElement({"trace", "debug", "info", "warn", "error"});
    if (pattern == "GET|HEAD|POST|PUT|DELETE|PATCH|OPTIONS")
        return randomElement({"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"});
    if (pattern == "[a-z0-9.*-]{0,253}")
        return randomText(lower + ".*-", 0, 253);
    if (pattern == "/[^ ?#]*")
        return "/" + randomText(lower + "/%-_.~!:[]{},&*|>'\"@`", 0, 40);
    if (pattern == "[!-~]{1,128}" || pattern == "[!-~]{1,256}") {
        std::string printable;
        for (char c = '!'; c <= '~'; ++c)
            printable.push_back(c);
        return randomText(printable, 1, pattern == "[!-~]{1,128}" ? 128 : 256);
    }
    if (pattern == "[A-Za-z0-9-]{1,64}")
        return randomText(lower + "ABCXYZ-", 1, 64);
    if (pattern == "[A-Za-z0-9._-]{1,128}")
        return randomText(lower + "ABCXYZ._-", 1, 128);
    if (pattern == "[0-9]+([.][0-9]+)?(e[+-]?[0-9]+)?(ms|s)")
        return randomElement({"0s", "6s", "2.5s", "1500ms", "300s", "1.5e+3ms"});
    throw std::logic_error("no generator for the pattern " + pattern);
}

inline std::string yamlKey(const google::protobuf::FieldDescriptor &field)
{
    std::string key = field.name();
    std::replace(key.begin(), key.end(), '_', '-');
    return key;
}

/// YAML names of the enumeration values. Listed explicitly, so that the tests detect a change of
/// the naming rule in the loader.
inline const std::map<std::string, std::string> &yamlEnumNames()
{
    static const std::map<std::string, std::string> texts = {
            {"DETECTION_GRAY", "gray"},
            {"DETECTION_PROBES", "probes"},
            {"DETECTION_CONSECUTIVE_ERRORS", "consecutive-errors"},
            {"DETECTION_SPARSE", "sparse"},
            {"INTEGRATION_NONE", "none"},
            {"INTEGRATION_PLATFORM", "platform"},
            {"QUEUE_DEADLINE", "deadline"},
            {"QUEUE_UNLIMITED", "unlimited"},
            {"ORDER_ARRIVAL", "arrival"},
            {"ORDER_PRIORITY", "priority"},
            {"CLASS_RESERVE", "reserve"},
            {"CLASS_FIRST_COME", "first-come"},
            {"PICK_OWNER_LOAD", "owner-load"},
            {"PICK_TWO_RANDOM", "two-random"},
            {"CLASS_SHORT", "short"},
            {"CLASS_LONG", "long"},
    };
    return texts;
}

class SchemaGenerator
{
public:
    using Field = google::protobuf::FieldDescriptor;
    using Message = google::protobuf::Message;

    explicit SchemaGenerator(std::size_t maxEntries) : m_maxEntries(maxEntries) { }

    YAML::Node fill(Message &message) const
    {
        YAML::Node node(YAML::NodeType::Map);
        for (int i = 0; i < message.GetDescriptor()->field_count(); ++i) {
            const auto &field = *message.GetDescriptor()->field(i);
            const auto &rule = field.options().GetExtension(schema::rule);
            const bool required = rule.required() || (field.is_repeated() && rule.min() > 0);
            if (required || *rc::gen::arbitrary<bool>())
                node[yamlKey(field)] = generateField(message, field, rule);
            else
                setDefault(message, field, rule);
        }
        return node;
    }

private:
    YAML::Node generateField(Message &message, const Field &field,
                             const schema::FieldRule &rule) const
    {
        if (!field.is_repeated())
            return generateValue(message, field, rule);
        YAML::Node list(YAML::NodeType::Sequence);
        const auto max = static_cast<int>(m_maxEntries);
        const int count = *rc::gen::inRange(static_cast<int>(rule.min()), max + 1);
        for (int i = 0; i < count; ++i)
            list.push_back(generateValue(message, field, rule));
        return list;
    }

    YAML::Node generateValue(Message &message, const Field &field,
                             const schema::FieldRule &rule) const
    {
        const auto *reflection = message.GetReflection();
        const bool repeated = field.is_repeated();
        switch (field.cpp_type()) {
        case Field::CPPTYPE_MESSAGE:
            return fill(repeated ? *reflection->AddMessage(&message, &field)
                                 : *reflection->MutableMessage(&message, &field));
        case Field::CPPTYPE_STRING: {
            const auto text = randomMatch(rule.pattern());
            repeated ? reflection->AddString(&message, &field, text)
                     : reflection->SetString(&message, &field, text);
            return YAML::Node(text);
        }
        case Field::CPPTYPE_UINT32: {
            const auto min = static_cast<std::uint64_t>(rule.min());
            const auto max = static_cast<std::uint64_t>(rule.max());
            const auto number = *rc::gen::oneOf(rc::gen::just(min), rc::gen::just(max),
                                                rc::gen::inRange(min, max + 1));
            reflection->SetUInt32(&message, &field, static_cast<std::uint32_t>(number));
            return YAML::Node(std::to_string(number));
        }
        case Field::CPPTYPE_DOUBLE: {
            const auto text = randomElement({"0", "1", "0.25", "1.0", "7e-1", "2.5e-05"});
            reflection->SetDouble(&message, &field, std::stod(text));
            return YAML::Node(text);
        }
        case Field::CPPTYPE_BOOL: {
            const bool value = *rc::gen::arbitrary<bool>();
            reflection->SetBool(&message, &field, value);
            return YAML::Node(value ? "true" : "false");
        }
        case Field::CPPTYPE_ENUM: {
            const int index = *rc::gen::inRange(0, field.enum_type()->value_count());
            const auto *value = field.enum_type()->value(index);
            reflection->SetEnum(&message, &field, value);
            return YAML::Node(yamlEnumNames().at(value->name()));
        }
        default:
            throw std::logic_error("no generator for the type of " + field.full_name());
        }
    }

    void setDefault(Message &message, const Field &field, const schema::FieldRule &rule) const
    {
        if (field.is_repeated())
            return;
        const auto *reflection = message.GetReflection();
        const std::string &text = rule.fallback();
        if (field.cpp_type() == Field::CPPTYPE_MESSAGE) {
            auto &child = *reflection->MutableMessage(&message, &field);
            for (int i = 0; i < child.GetDescriptor()->field_count(); ++i) {
                const auto &nested = *child.GetDescriptor()->field(i);
                setDefault(child, nested, nested.options().GetExtension(schema::rule));
            }
        } else if (text.empty()) {
            return;
        } else if (field.cpp_type() == Field::CPPTYPE_UINT32) {
            reflection->SetUInt32(&message, &field, static_cast<std::uint32_t>(std::stoul(text)));
        } else if (field.cpp_type() == Field::CPPTYPE_DOUBLE) {
            reflection->SetDouble(&message, &field, std::stod(text));
        } else if (field.cpp_type() == Field::CPPTYPE_BOOL) {
            reflection->SetBool(&message, &field, text == "true");
        } else {
            reflection->SetString(&message, &field, text);
        }
    }

    std::size_t m_maxEntries;
};

inline void collectMaps(const YAML::Node &node, std::vector<YAML::Node> &maps)
{
    if (node.IsMap()) {
        if (node.size() > 0)
            maps.push_back(node);
        for (const auto &entry : node)
            collectMaps(entry.second, maps);
    } else if (node.IsSequence()) {
        for (const auto &entry : node)
            collectMaps(entry, maps);
    }
}

} // namespace detail

/// Fills \a message with random values and returns the corresponding document. Lists have at most
/// \a maxEntries entries. Must be called within a RapidCheck property.
inline YAML::Node generateDocument(google::protobuf::Message &message, std::size_t maxEntries = 3)
{
    return detail::SchemaGenerator(maxEntries).fill(message);
}

/// Replaces one random key in \a document by an unknown name and returns that name.
inline std::string mutateKey(YAML::Node &document)
{
    std::vector<YAML::Node> maps;
    detail::collectMaps(document, maps);
    // A reference, because assigning to a YAML::Node would modify the document.
    auto &map = maps[*rc::gen::inRange<std::size_t>(0, maps.size())];
    std::vector<std::string> keys;
    for (const auto &entry : map)
        keys.push_back(entry.first.Scalar());
    const auto key = *rc::gen::elementOf(keys);
    std::string changed = key;
    const auto at = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(key.size())));
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        changed.insert(at, "q");
        break;
    case 1:
        changed[at] = 'Q';
        break;
    default:
        changed.erase(at, 1);
        changed += '_';
        break;
    }
    YAML::Node value = map[key];
    map.remove(key);
    map[changed] = value;
    return changed;
}

} // namespace berylspur::test
