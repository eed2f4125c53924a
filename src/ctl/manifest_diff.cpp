// Compares services by the fields of the schema.
#include "berylspur/ctl/manifest_diff.h"

#include <algorithm>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/text_format.h>
#include <map>
#include <set>

namespace berylspur {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::TextFormat;

/// Values by field.
using Values = std::map<std::string, std::string>;

std::string yamlKey(const FieldDescriptor &field)
{
    std::string key = field.name();
    std::replace(key.begin(), key.end(), '_', '-');
    return key;
}

template <typename Texts>
std::string joined(const Texts &texts, const char *separator)
{
    const std::set<std::string> sorted(texts.begin(), texts.end());
    std::string result;
    for (const auto &text : sorted)
        result.append(result.empty() ? "" : separator).append(text);
    return result;
}

/// What makes an entry of a list the same in another version.
std::string identityOf(const Message &entry, int index)
{
    if (const auto *route = dynamic_cast<const schema::Route *>(&entry)) {
        const auto methods = joined(route->methods(), ",");
        return (methods.empty() ? "any" : methods) + " " + route->host() + route->path_prefix();
    }
    if (const auto *limit = dynamic_cast<const schema::CustomerLimit *>(&entry))
        return limit->customer();
    if (const auto *part = dynamic_cast<const schema::WeightedService *>(&entry))
        return part->service();
    return std::to_string(index);
}

std::string valueOf(const Message &message, const FieldDescriptor &field, int index)
{
    std::string text;
    TextFormat::PrintFieldValueToString(message, &field, index, &text);
    return text;
}

void collect(const Message &message, const std::string &path, Values &values);

void collectList(const Message &message, const FieldDescriptor &field, const std::string &path,
                 Values &values)
{
    const auto &reflection = *message.GetReflection();
    const int size = reflection.FieldSize(message, &field);
    std::vector<std::string> scalars;
    for (int i = 0; i < size; ++i) {
        if (field.type() != FieldDescriptor::TYPE_MESSAGE) {
            scalars.push_back(valueOf(message, field, i));
            continue;
        }
        const auto &entry = reflection.GetRepeatedMessage(message, &field, i);
        const auto entryPath = path + "[" + identityOf(entry, i) + "]";
        values[entryPath] = "present";
        collect(entry, entryPath, values);
    }
    if (!scalars.empty())
        values[path] = joined(scalars, ", ");
}

void collect(const Message &message, const std::string &path, Values &values)
{
    const auto &type = *message.GetDescriptor();
    const auto &reflection = *message.GetReflection();
    for (int i = 0; i < type.field_count(); ++i) {
        const auto &field = *type.field(i);
        const auto fieldPath = (path.empty() ? "" : path + ".") + yamlKey(field);
        if (field.is_repeated())
            collectList(message, field, fieldPath, values);
        else if (field.type() == FieldDescriptor::TYPE_MESSAGE)
            collect(reflection.GetMessage(message, &field), fieldPath, values);
        else
            values[fieldPath] = valueOf(message, field, -1);
    }
}

std::string valueAt(const Values &values, const std::string &field)
{
    const auto found = values.find(field);
    return found == values.end() ? std::string() : found->second;
}

/// True if \a values has the entry of a list that \a field belongs to, or it belongs to none.
bool hasEntryOf(const Values &values, const std::string &field)
{
    const auto end = field.rfind("].");
    return end == std::string::npos || values.contains(field.substr(0, end + 1));
}

void compareService(const schema::Service &inForce, const schema::Service &next,
                    std::vector<ManifestDifference> &differences)
{
    Values before;
    Values after;
    collect(inForce, "", before);
    collect(next, "", after);
    std::set<std::string> fields;
    for (const auto &values : {before, after}) {
        for (const auto &[field, value] : values)
            fields.insert(field);
    }
    for (const auto &field : fields) {
        const auto old = valueAt(before, field);
        const auto changed = valueAt(after, field);
        // An entry that one side does not have is one difference, not one for each of its fields.
        if (old != changed && hasEntryOf(before, field) && hasEntryOf(after, field))
            differences.push_back({next.name(), field, old, changed, {}});
    }
}

const schema::Service *findService(const std::vector<schema::Service> &services,
                                   const std::string &name)
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&name](const auto &entry) { return entry.name() == name; });
    return found == services.end() ? nullptr : &*found;
}

} // namespace

std::vector<ManifestDifference> compareServices(const std::vector<schema::Service> &inForce,
                                                const std::vector<schema::Service> &next)
{
    std::vector<ManifestDifference> differences;
    for (const auto &service : inForce) {
        // Requests that run at an endpoint end as usual; no gate places them again.
        if (!findService(next, service.name()))
            differences.push_back({service.name(), "", "present", "",
                                   "requests of the service that are to be placed again are "
                                   "refused"});
    }
    for (const auto &service : next) {
        if (const auto *old = findService(inForce, service.name()))
            compareService(*old, service, differences);
        else
            differences.push_back({service.name(), "", "", "present", {}});
    }
    std::stable_sort(
            differences.begin(), differences.end(),
            [](const auto &left, const auto &right) { return left.service < right.service; });
    return differences;
}

std::string describe(const ManifestDifference &difference)
{
    const auto shown = [](const std::string &value) { return value.empty() ? "absent" : value; };
    auto text = difference.service + ": "
                + (difference.field.empty() ? "" : difference.field + ": ")
                + shown(difference.inForce) + " -> " + shown(difference.next);
    if (!difference.cutsOff.empty())
        text += ": cuts off: " + difference.cutsOff;
    return text;
}

} // namespace berylspur
