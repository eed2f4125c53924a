// Benchmark results: printed as a table, written as JSON and checked against targets.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace berylspur::bench {

enum class Bound { AtMost, AtLeast, Report };

/// One result and its baseline. Targets come from the stated requirements.
struct Row
{
    std::string name;
    std::string unit;
    double baseline = 0;
    double figure = 0;
    Bound bound = Bound::Report;
    double target = 0;
    std::uint32_t seeds = 0; ///< number of runs that the figure is taken from
};

/// Verdict of \a row: "holds", "fails" or, without a bound, "reported".
inline std::string verdict(const Row &row)
{
    if (row.bound == Bound::Report)
        return "reported";
    const bool isMet =
            row.bound == Bound::AtMost ? row.figure <= row.target : row.figure >= row.target;
    return isMet ? "holds" : "fails";
}

class Report
{
public:
    void add(Row row) { m_rows.push_back(std::move(row)); }

    /// Prints the table and writes the rows as JSON to \a jsonFile, if it is not empty. Returns the
    /// exit status: 1 if \a check is set and a row not in \a knownFailures misses its target.
    int finish(const std::string &jsonFile, bool check,
               const std::vector<std::string> &knownFailures = {}) const
    {
        nlohmann::json list = nlohmann::json::array();
        bool allPassed = true;
        std::printf("%-64s %12s %12s %12s %-8s %s\n", "name", "baseline", "figure", "target",
                    "unit", "verdict");
        for (const Row &row : m_rows) {
            const std::string result = verdict(row);
            const bool isKnownFailure =
                    std::find(knownFailures.begin(), knownFailures.end(), row.name)
                    != knownFailures.end();
            allPassed = allPassed && (result != "fails" || isKnownFailure);
            std::printf("%-64s %12.4g %12.4g %12.4g %-8s %s\n", row.name.c_str(), row.baseline,
                        row.figure, row.target, row.unit.c_str(), result.c_str());
            list.push_back({{"name", row.name},
                            {"unit", row.unit},
                            {"baseline", row.baseline},
                            {"figure", row.figure},
                            {"target", row.target},
                            {"verdict", result},
                            {"seeds", row.seeds}});
        }
        if (!jsonFile.empty())
            std::ofstream(jsonFile) << list.dump(2) << "\n";
        return check && !allPassed ? 1 : 0;
    }

private:
    std::vector<Row> m_rows;
};

} // namespace berylspur::bench
