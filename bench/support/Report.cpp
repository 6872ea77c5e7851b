#include "support/Report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace dragonfly::bench {
namespace {

std::string number(double Value) {
  if (std::isinf(Value))
    return "inf";
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.4g", Value);
  return Text;
}

std::string spreadOf(const std::vector<double> &Values) {
  if (Values.empty())
    return "-";
  const auto [Least, Most] = std::ranges::minmax(Values);
  return number(medianOf(Values)) + " [" + number(Least) + " .. " +
         number(Most) + "]";
}

const char *verdict(const Measure &Row) {
  if (Row.Side_ == BoundSide::Unbounded)
    return "-";
  return Row.met() ? "met" : "NOT MET";
}

boost::json::array arrayOf(const std::vector<double> &Values) {
  boost::json::array Out;
  for (double Value : Values)
    Out.push_back(std::isfinite(Value) ? boost::json::value(Value) : nullptr);
  return Out;
}

/// Maps values to positions on a plot.
struct Axis {
  double Least_ = 0;
  double Most_ = 1;

  double at(double Value) const {
    constexpr double Left = 20;
    constexpr double Width = 560;
    const double Range = Most_ > Least_ ? Most_ - Least_ : 1;
    return Left + Width * std::clamp((Value - Least_) / Range, 0.0, 1.0);
  }
};

void dots(std::ostream &Out, const Axis &Scale,
          const std::vector<double> &Values, int Y, const char *Color) {
  for (double Value : Values)
    Out << "<circle cx=\"" << Scale.at(Value) << "\" cy=\"" << Y
        << "\" r=\"4\" fill=\"" << Color << "\" fill-opacity=\"0.5\"/>\n";
  if (!Values.empty())
    Out << "<text x=\"" << Scale.at(medianOf(Values)) << "\" y=\"" << Y - 10
        << "\" text-anchor=\"middle\">" << number(medianOf(Values))
        << "</text>\n";
}

} // namespace

std::string tableOf(const std::string &Site, const Measures &Rows) {
  std::ostringstream Out;
  for (const Measure &Row : Rows) {
    Out << "| " << Site << " | " << Row.Name_ << " | " << spreadOf(Row.Values_)
        << " | " << Row.Bound_ << " | " << verdict(Row) << " | "
        << (Row.Baseline_.empty() ? "-" : Row.Baseline_) << " | "
        << spreadOf(Row.BaselineValues_) << " |\n";
  }
  return Out.str();
}

std::string jsonOf(const std::string &Site, const Measures &Rows) {
  boost::json::array Out;
  for (const Measure &Row : Rows)
    Out.push_back({{"measure", Row.Name_},
                   {"bound", Row.Bound_},
                   {"verdict", verdict(Row)},
                   {"median", arrayOf({Row.median()}).front()},
                   {"values", arrayOf(Row.Values_)},
                   {"baseline", Row.Baseline_},
                   {"baseline_values", arrayOf(Row.BaselineValues_)}});
  return boost::json::serialize(
      boost::json::object{{"deployment", Site}, {"measures", Out}});
}

std::string plotOf(const std::string &Site, const Measure &Row) {
  std::vector<double> All = Row.Values_;
  All.insert(All.end(), Row.BaselineValues_.begin(), Row.BaselineValues_.end());
  if (Row.Side_ != BoundSide::Unbounded)
    All.push_back(Row.Limit_);
  std::erase_if(All, [](double Value) { return !std::isfinite(Value); });
  All.push_back(0);
  const auto [Least, Most] = std::ranges::minmax(All);
  const Axis Scale{Least, Most};
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"600\" "
         "height=\"150\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<text x=\"20\" y=\"18\">" << Site << ": " << Row.Name_ << " ("
      << verdict(Row) << ")</text>\n";
  if (Row.Side_ != BoundSide::Unbounded)
    Out << "<line x1=\"" << Scale.at(Row.Limit_) << "\" x2=\""
        << Scale.at(Row.Limit_)
        << "\" y1=\"30\" y2=\"130\" stroke=\"red\"/>\n<text x=\"20\" "
           "y=\"145\" fill=\"red\">"
        << Row.Bound_ << "</text>\n";
  dots(Out, Scale, Row.Values_, 65, "steelblue");
  dots(Out, Scale, Row.BaselineValues_, 110, "gray");
  Out << "</svg>\n";
  return Out.str();
}

} // namespace dragonfly::bench
