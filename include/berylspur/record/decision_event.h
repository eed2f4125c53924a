// The log line of a decision, and the names of its kinds.
#pragma once

#include "berylspur/core/enum_table.h"
#include "berylspur/record.pb.h"

#include <string_view>

namespace berylspur {

inline constexpr EnumTable<schema::DecisionKind, 11> DecisionNames {{
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

/// True for decisions that are logged only and not kept as objects of the platform.
bool isLogOnly(schema::DecisionKind kind);

/// Adds an input of the decision. Values are rounded to whole numbers in the log.
void addFigure(schema::DecisionRecord &record, std::string_view name, double value);

/// Writes the line of \a record. A refusal of the request to its caller is the cause of a failed
/// request and is always written; other lines are limited in rate.
void logDecision(const schema::DecisionRecord &record, bool isFinal);

} // namespace berylspur
