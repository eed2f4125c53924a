// Traverses a YAML document and a message descriptor in parallel and applies the field rules.
#include "berylspur/settings/yaml_loader.h"

#include "berylspur/options.pb.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <google/protobuf/descriptor.h>
#include <limits>
#include <map>
#include <regex>
#include <sstream>
#include <type_traits>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace berylspur {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

// std::regex_match recurses per character, so a string of about 100 KB overflows the stack.
constexpr std::size_t MaxStringBytes = 1024;

const schema::FieldRule &fieldRule(const FieldDescriptor &field)
{
    return field.options().GetExtension(schema::rule);
}

std::string yamlKey(const FieldDescriptor &field)
{
    std::string key = field.name();
    std::replace(key.begin(), key.end(), '_', '-');
    return key;
}

std::string yamlKeys(const Descriptor &type)
{
    std::string keys;
    for (int i = 0; i < type.field_count(); ++i)
        keys.append(i == 0 ? "" : ", ").append(yamlKey(*type.field(i)));
    return keys;
}

/// Returns the length of the longest prefix that ends in '_' and is common to all value names.
std::size_t commonPrefixLength(const EnumDescriptor &type)
{
    const std::string &first = type.value(0)->name();
    std::size_t length = first.size();
    for (int i = 1; i < type.value_count(); ++i) {
        const std::string &name = type.value(i)->name();
        const auto end = std::mismatch(first.begin(), first.end(), name.begin(), name.end()).first;
        length = std::min(length, static_cast<std::size_t>(end - first.begin()));
    }
    const auto underscore = first.rfind('_', length == 0 ? 0 : length - 1);
    return underscore == std::string::npos ? 0 : underscore + 1;
}

std::string yamlEnumName(const EnumValueDescriptor &value)
{
    std::string text = value.name().substr(commonPrefixLength(*value.type()));
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return c == '_' ? '-' : static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string yamlEnumNames(const EnumDescriptor &type)
{
    std::string texts;
    for (int i = 0; i < type.value_count(); ++i)
        texts.append(i == 0 ? "" : ", ").append(yamlEnumName(*type.value(i)));
    return texts;
}

std::string formatNumber(double number)
{
    std::ostringstream text;
    text.precision(std::numeric_limits<double>::max_digits10);
    text << number;
    return text.str();
}

const std::regex &cachedRegex(const std::string &pattern)
{
    // Compiling a pattern is far more expensive than matching it, and a manifest may hold 64,000
    // customers.
    thread_local std::map<std::string, std::regex> cache;
    const auto found = cache.find(pattern);
    return found != cache.end() ? found->second
                                : cache.emplace(pattern, std::regex(pattern)).first->second;
}

class Loader
{
public:
    Loader(const std::string &file, const YamlErrorCodes &codes, std::vector<std::string> *warnings)
        : m_file(file), m_codes(codes), m_warnings(warnings)
    {
    }

    Result<void> fill(Message &message, const YAML::Node &node, const std::string &path) const
    {
        if (!node.IsMap())
            return wrongType(node, path, "expected a mapping");
        const auto &type = *message.GetDescriptor();
        std::map<std::string, YAML::Node> values;
        for (const auto &entry : node) {
            if (!entry.first.IsScalar())
                return wrongType(entry.first, path, "expected a key");
            const std::string &key = entry.first.Scalar();
            if (!findField(type, key))
                return makeError(m_codes.unknownKey, entry.first, join(path, key),
                                 "unknown key; expected one of " + yamlKeys(type));
            if (!values.emplace(key, entry.second).second)
                return makeError(m_codes.syntax, entry.first, join(path, key),
                                 "expected the key once");
            // yaml-cpp reports the position of the next token for an absent value, often on a later
            // line.
            if (!entry.second.IsNull())
                continue;
            auto error = wrongType(entry.first, join(path, key), "expected a value");
            if (!isLenient(*findField(type, key)))
                return error;
            warn(*findField(type, key), error);
            values.erase(key);
        }
        for (int i = 0; i < type.field_count(); ++i) {
            const auto &field = *type.field(i);
            const auto found = values.find(yamlKey(field));
            auto result =
                    found != values.end()
                            ? setOrWarn(message, field, found->second, join(path, found->first))
                            : setDefault(message, field, node, join(path, yamlKey(field)));
            if (!result)
                return result;
        }
        return success();
    }

private:
    static std::string join(const std::string &path, const std::string &key)
    {
        return path.empty() ? key : path + "." + key;
    }

    static const FieldDescriptor *findField(const Descriptor &type, const std::string &key)
    {
        for (int i = 0; i < type.field_count(); ++i) {
            if (yamlKey(*type.field(i)) == key)
                return type.field(i);
        }
        return nullptr;
    }

    bool isLenient(const FieldDescriptor &field) const
    {
        return m_warnings && fieldRule(field).lenient();
    }

    void warn(const FieldDescriptor &field, const Result<void> &error) const
    {
        m_warnings->push_back(error.error().detail + "; using " + fieldRule(field).fallback());
    }

    Result<void> setOrWarn(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                           const std::string &path) const
    {
        auto result = set(message, field, node, path);
        if (result || !isLenient(field))
            return result;
        warn(field, result);
        return setDefault(message, field, node, path);
    }

    Result<void> makeError(ErrorCode code, const YAML::Node &node, const std::string &path,
                           const std::string &text) const
    {
        const int line = std::max(node.Mark().line, 0) + 1;
        std::string detail = m_file + ":" + std::to_string(line) + ": ";
        if (!path.empty())
            detail += path + ": ";
        return failure(code, detail + text);
    }

    Result<void> wrongType(const YAML::Node &node, const std::string &path,
                           const std::string &text) const
    {
        return makeError(m_codes.wrongType, node, path, text);
    }

    Result<void> setDefault(Message &message, const FieldDescriptor &field,
                            const YAML::Node &parent, const std::string &path) const
    {
        const auto &rule = fieldRule(field);
        if (rule.required() || (field.is_repeated() && rule.min() > 0))
            return makeError(m_codes.missingKey, parent, path, "expected this key, it is missing");
        if (field.is_repeated())
            return success();
        if (field.type() == FieldDescriptor::TYPE_MESSAGE) {
            // Sets the defaults of the nested fields; fails if one of them is required.
            YAML::Node empty(YAML::NodeType::Map);
            return fill(*message.GetReflection()->MutableMessage(&message, &field), empty, path);
        }
        if (rule.fallback().empty())
            return success();
        return setScalar(message, field, YAML::Node(rule.fallback()), path);
    }

    Result<void> set(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                     const std::string &path) const
    {
        return field.is_repeated() ? setList(message, field, node, path)
                                   : setValue(message, field, node, path);
    }

    Result<void> setList(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                         const std::string &path) const
    {
        if (!node.IsSequence())
            return wrongType(node, path, "expected a list");
        const auto &rule = fieldRule(field);
        const auto entries = static_cast<double>(node.size());
        if (entries < rule.min())
            return makeError(m_codes.outOfRange, node, path,
                             "expected at least " + formatNumber(rule.min()) + " entries");
        if (rule.max() > 0 && entries > rule.max())
            return makeError(m_codes.outOfRange, node, path,
                             "expected at most " + formatNumber(rule.max()) + " entries");
        std::size_t index = 0;
        for (const auto &entry : node) {
            auto result =
                    setValue(message, field, entry, path + "[" + std::to_string(index++) + "]");
            if (!result)
                return result;
        }
        return success();
    }

    Result<void> setValue(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                          const std::string &path) const
    {
        if (field.type() != FieldDescriptor::TYPE_MESSAGE)
            return setScalar(message, field, node, path);
        const auto *reflection = message.GetReflection();
        auto *child = field.is_repeated() ? reflection->AddMessage(&message, &field)
                                          : reflection->MutableMessage(&message, &field);
        return fill(*child, node, path);
    }

    Result<void> setScalar(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                           const std::string &path) const
    {
        if (!node.IsScalar())
            return wrongType(node, path, "expected " + expectedValue(field));
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_UINT32:
            return setNumber<std::uint32_t>(message, field, node, path, &Reflection::SetUInt32,
                                            &Reflection::AddUInt32);
        case FieldDescriptor::CPPTYPE_UINT64:
            return setNumber<std::uint64_t>(message, field, node, path, &Reflection::SetUInt64,
                                            &Reflection::AddUInt64);
        case FieldDescriptor::CPPTYPE_INT32:
            return setNumber<std::int32_t>(message, field, node, path, &Reflection::SetInt32,
                                           &Reflection::AddInt32);
        case FieldDescriptor::CPPTYPE_INT64:
            return setNumber<std::int64_t>(message, field, node, path, &Reflection::SetInt64,
                                           &Reflection::AddInt64);
        case FieldDescriptor::CPPTYPE_DOUBLE:
            return setDouble(message, field, node, path);
        case FieldDescriptor::CPPTYPE_BOOL:
            return setBool(message, field, node, path);
        case FieldDescriptor::CPPTYPE_STRING:
            return setString(message, field, node, path);
        case FieldDescriptor::CPPTYPE_ENUM:
            return setEnum(message, field, node, path);
        default:
            return wrongType(node, path, "the schema uses a type that YAML files cannot set");
        }
    }

    static std::string expectedValue(const FieldDescriptor &field)
    {
        const auto &rule = fieldRule(field);
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_BOOL:
            return "true or false";
        case FieldDescriptor::CPPTYPE_STRING:
            return rule.expected().empty() ? "a text" : rule.expected();
        case FieldDescriptor::CPPTYPE_ENUM:
            return "one of " + yamlEnumNames(*field.enum_type());
        case FieldDescriptor::CPPTYPE_DOUBLE:
            return "a number" + formatRange(rule);
        default:
            return "a whole number" + formatRange(rule);
        }
    }

    static std::string formatRange(const schema::FieldRule &rule)
    {
        if (rule.max() > 0)
            return " from " + formatNumber(rule.min()) + " to " + formatNumber(rule.max());
        return rule.min() > 0 ? " of at least " + formatNumber(rule.min()) : "";
    }

    // yaml-cpp tags quoted scalars with "!". They are strings even if they look like a number.
    static bool isQuoted(const YAML::Node &node) { return node.Tag() == "!"; }

    template <typename Number>
    Result<void>
    setNumber(Message &message, const FieldDescriptor &field, const YAML::Node &node,
              const std::string &path,
              void (Reflection::*setter)(Message *, const FieldDescriptor *, Number) const,
              void (Reflection::*adder)(Message *, const FieldDescriptor *, Number) const) const
    {
        const std::string &text = node.Scalar();
        const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
        const std::size_t sign = text.starts_with('-') ? 1 : 0;
        if (isQuoted(node) || text.size() == sign
            || !std::all_of(text.begin() + static_cast<std::ptrdiff_t>(sign), text.end(), isDigit))
            return wrongType(node, path, "expected " + expectedValue(field));
        Number number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const auto &rule = fieldRule(field);
        const auto value = static_cast<double>(number);
        const bool belowMin = value < rule.min();
        const bool aboveMax = rule.max() > 0 && value > rule.max();
        if (error != std::errc() || end != text.data() + text.size() || belowMin || aboveMax)
            return makeError(m_codes.outOfRange, node, path, "expected " + expectedValue(field));
        const auto *reflection = message.GetReflection();
        (reflection->*(field.is_repeated() ? adder : setter))(&message, &field, number);
        return success();
    }

    Result<void> setDouble(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                           const std::string &path) const
    {
        const std::string &text = node.Scalar();
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (isQuoted(node) || error == std::errc::invalid_argument
            || end != text.data() + text.size() || std::isnan(number))
            return wrongType(node, path, "expected " + expectedValue(field));
        const auto &rule = fieldRule(field);
        if (error != std::errc() || number < rule.min() || (rule.max() > 0 && number > rule.max()))
            return makeError(m_codes.outOfRange, node, path, "expected " + expectedValue(field));
        const auto *reflection = message.GetReflection();
        if (field.is_repeated())
            reflection->AddDouble(&message, &field, number);
        else
            reflection->SetDouble(&message, &field, number);
        return success();
    }

    Result<void> setBool(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                         const std::string &path) const
    {
        const std::string &text = node.Scalar();
        if (isQuoted(node) || (text != "true" && text != "false"))
            return wrongType(node, path, "expected " + expectedValue(field));
        const auto *reflection = message.GetReflection();
        if (field.is_repeated())
            reflection->AddBool(&message, &field, text == "true");
        else
            reflection->SetBool(&message, &field, text == "true");
        return success();
    }

    Result<void> setString(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                           const std::string &path) const
    {
        const std::string &text = node.Scalar();
        if (text.size() > MaxStringBytes)
            return makeError(m_codes.outOfRange, node, path,
                             "expected at most " + std::to_string(MaxStringBytes) + " bytes");
        const auto &pattern = fieldRule(field).pattern();
        if (!pattern.empty() && !std::regex_match(text, cachedRegex(pattern)))
            return wrongType(node, path, "expected " + expectedValue(field));
        const auto *reflection = message.GetReflection();
        if (field.is_repeated())
            reflection->AddString(&message, &field, text);
        else
            reflection->SetString(&message, &field, text);
        return success();
    }

    Result<void> setEnum(Message &message, const FieldDescriptor &field, const YAML::Node &node,
                         const std::string &path) const
    {
        const auto &type = *field.enum_type();
        const auto *reflection = message.GetReflection();
        for (int i = 0; i < type.value_count(); ++i) {
            if (yamlEnumName(*type.value(i)) != node.Scalar())
                continue;
            if (field.is_repeated())
                reflection->AddEnum(&message, &field, type.value(i));
            else
                reflection->SetEnum(&message, &field, type.value(i));
            return success();
        }
        return wrongType(node, path, "expected " + expectedValue(field));
    }

    const std::string &m_file;
    const YamlErrorCodes &m_codes;
    std::vector<std::string> *m_warnings; // of lenient fields; null: they are checked like others
};

/// Ignores the content of a document.
class DocumentSkipper : public YAML::EventHandler
{
public:
    void OnDocumentStart(const YAML::Mark &) override { }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark &, YAML::anchor_t) override { }
    void OnAlias(const YAML::Mark &, YAML::anchor_t) override { }
    void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  const std::string &) override
    {
    }
    void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    {
    }
    void OnSequenceEnd() override { }
    void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                    YAML::EmitterStyle::value) override
    {
    }
    void OnMapEnd() override { }
};

/// True if \a text holds exactly one document. YAML::LoadAll() is not used because for some
/// malformed texts its parser returns documents without end, until the memory is used up.
bool hasOneDocument(const std::string &text)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    DocumentSkipper skipper;
    return parser.HandleNextDocument(skipper) && !parser.HandleNextDocument(skipper);
}

} // namespace

YamlErrorCodes manifestErrorCodes()
{
    constexpr auto Code = ErrorCode::ManifestInvalid;
    return {Code, Code, Code, Code, Code};
}

Result<void> parseYaml(std::string_view text, const std::string &file, Message &message,
                       const YamlErrorCodes &codes, std::vector<std::string> *warnings)
{
    message.Clear();
    try {
        if (!hasOneDocument(std::string(text)))
            return failure(codes.syntax, file + ":1: expected one YAML document");
        return Loader(file, codes, warnings).fill(message, YAML::Load(std::string(text)), "");
    } catch (const YAML::Exception &error) {
        const int line = std::max(error.mark.line, 0) + 1;
        return failure(codes.syntax,
                       file + ":" + std::to_string(line) + ": expected YAML: " + error.msg);
    }
}

Result<void> loadYaml(const std::string &file, Message &message, const YamlErrorCodes &codes,
                      std::vector<std::string> *warnings)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (!stream.is_open() || !(text << stream.rdbuf()))
        return failure(ErrorCode::SettingsUnreadable, file);
    return parseYaml(text.str(), file, message, codes, warnings);
}

} // namespace berylspur
