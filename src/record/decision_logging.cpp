// Logs each decision as one line.
#include "berylspur/record/decision_logging.h"

#include "berylspur/core/log.h"

#include <cmath>
#include <string>

namespace berylspur {

bool isLogOnly(schema::DecisionKind kind)
{
    return kind == schema::DECISION_DISPATCH || kind == schema::DECISION_ANSWER
           || kind == schema::DECISION_ABANDON;
}

void addFigure(schema::DecisionRecord &record, std::string_view name, double value)
{
    auto *figure = record.add_figures();
    figure->set_name(std::string(name));
    figure->set_value(value);
}

void logDecision(const schema::DecisionRecord &record, bool isFinal)
{
    std::string figures;
    for (const auto &figure : record.figures()) {
        figures.append(figures.empty() ? "" : ",").append(figure.name()).append(":");
        figures.append(std::to_string(static_cast<std::int64_t>(std::lround(figure.value()))));
    }
    const auto write = isFinal ? log::infoUnlimited : log::info;
    write("decision", {{"kind", enumName(DecisionKindNames, record.kind())},
                       {"request", record.request_id()},
                       {"service", record.service()},
                       {"endpoint", record.endpoint()},
                       {"rule", record.rule()},
                       {"code", record.code()},
                       {"revision", record.config_revision()},
                       {"figures", figures}});
}

} // namespace berylspur
