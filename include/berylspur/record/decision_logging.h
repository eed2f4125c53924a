// Log lines of decisions, and names of decision kinds.
#pragma once

#include "berylspur/core/enum_table.h"
#include "berylspur/record.pb.h"

#include <string_view>

namespace berylspur {

inline constexpr EnumTable<schema::DecisionKind, 11> DecisionKindNames {{
        {schema::DECISION_EJECT, "eject"},
        {schema::DECISION_RETURN, "return"},
        {schema::DECISION_SHED, "shed"},
        {schema::DECISION_RETRY, "retry"},
        {schema::DECISION_REFUSE, "refuse"},
        {schema::DECISION_CONFIG, "config"},
        {schema::DECISION_DRAIN, "drain"},
        {schema::DECISION_MEMBER, "member"},
        {schema::DECISION_DISPATCH, "dispatch"},
        {schema::DECISION_ANSWER, "answer"},
        {schema::DECISION_ABANDON, "abandon"},
}};

/// True for decisions that are only logged, and not stored as platform objects.
bool isLogOnly(schema::DecisionKind kind);

/// Adds an input value of the decision. The log shows values rounded to integers.
void addFigure(schema::DecisionRecord &record, std::string_view name, double value);

/// Logs \a record. With \a isFinal, which marks a refusal sent to the caller, the line is always
/// written, since it explains a failed request. Other lines are subject to rate limiting.
void logDecision(const schema::DecisionRecord &record, bool isFinal);

} // namespace berylspur
