// Checks that docs/settings.md lists the keys of settings and manifests as defined in the schema.
#define BOOST_TEST_MODULE settings_page
#include "berylspur/manifest.pb.h"
#include "berylspur/options.pb.h"
#include "berylspur/settings.pb.h"
#include "schema_generator.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace berylspur;

namespace {

using google::protobuf::Descriptor;
using Field = google::protobuf::FieldDescriptor;

std::string formatNumber(double value)
{
    return std::to_string(static_cast<std::uint64_t>(value));
}

std::string typeName(const Field &field)
{
    std::string type;
    switch (field.cpp_type()) {
    case Field::CPPTYPE_MESSAGE:
        type = "mapping";
        break;
    case Field::CPPTYPE_STRING:
        type = "text";
        break;
    case Field::CPPTYPE_BOOL:
        type = "boolean";
        break;
    case Field::CPPTYPE_ENUM:
        type = "choice";
        break;
    case Field::CPPTYPE_DOUBLE:
        type = "number";
        break;
    default:
        type = "whole number";
    }
    return field.is_repeated() ? "list of " + type : type;
}

std::string rangeColumn(const Field &field, const schema::FieldRule &rule)
{
    std::string range;
    if (field.is_repeated())
        range = formatNumber(rule.min()) + " to " + formatNumber(rule.max()) + " entries";
    if (field.cpp_type() == Field::CPPTYPE_STRING)
        range += (range.empty() ? "" : ": ") + rule.expected();
    if (field.cpp_type() == Field::CPPTYPE_UINT32 || field.cpp_type() == Field::CPPTYPE_UINT64
        || field.cpp_type() == Field::CPPTYPE_DOUBLE)
        range = formatNumber(rule.min()) + " to " + formatNumber(rule.max());
    if (field.cpp_type() == Field::CPPTYPE_BOOL)
        range = "true, false";
    for (int i = 0; field.enum_type() && i < field.enum_type()->value_count(); ++i)
        range += (i == 0 ? "" : ", ")
                 + test::detail::yamlEnumNames().at(field.enum_type()->value(i)->name());
    return range;
}

std::string defaultColumn(const Field &field, const schema::FieldRule &rule)
{
    if (rule.required() || (field.is_repeated() && rule.min() > 0))
        return "required";
    if (field.is_repeated())
        return "empty";
    if (field.cpp_type() == Field::CPPTYPE_MESSAGE)
        return "the defaults of its keys";
    if (field.cpp_type() == Field::CPPTYPE_ENUM)
        return test::detail::yamlEnumNames().at(field.enum_type()->value(0)->name());
    return rule.fallback().empty() ? "none" : rule.fallback();
}

void addRows(const Descriptor &type, const std::string &prefix, std::vector<std::string> &rows)
{
    for (int i = 0; i < type.field_count(); ++i) {
        const auto &field = *type.field(i);
        const auto &rule = field.options().GetExtension(schema::rule);
        const auto path = prefix + test::detail::yamlKey(field) + (field.is_repeated() ? "[]" : "");
        const auto range = rangeColumn(field, rule);
        rows.push_back("| `" + path + "` | " + typeName(field) + " | " + range
                       + (range.empty() ? "| " : " | ") + defaultColumn(field, rule) + " | ");
        if (field.message_type())
            addRows(*field.message_type(), path + ".", rows);
    }
}

} // namespace

// Guards against documenting keys, ranges or defaults that do not match the schema.
BOOST_AUTO_TEST_CASE(settings_page_lists_the_schema)
{
    std::vector<std::string> expected;
    addRows(*schema::NodeSettings::descriptor(), "", expected);
    addRows(*schema::Manifest::descriptor(), "", expected);
    std::ifstream page(BERYLSPUR_SOURCE_DIR "/docs/settings.md");
    std::vector<std::string> listed;
    std::string line;
    while (std::getline(page, line)) {
        if (line.starts_with("| `"))
            listed.push_back(line);
    }
    for (std::size_t i = 0; i < std::max(expected.size(), listed.size()); ++i) {
        const auto expectedRow = i < expected.size() ? expected[i] : std::string();
        const auto listedRow = i < listed.size() ? listed[i] : std::string();
        // Each row ends with a description, which the schema does not contain.
        constexpr std::size_t MinDescriptionLength = 10;
        BOOST_TEST((!expectedRow.empty() && listedRow.starts_with(expectedRow)
                    && listedRow.size() > expectedRow.size() + MinDescriptionLength),
                   "expected a row that starts with: " << expectedRow);
    }
}
